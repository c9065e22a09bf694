/** Scenarios about waves, failures of whole domains and moves. */
import { setTimeout as sleep } from 'node:timers/promises'
import type { Wave } from '../../src/state/types.js'
import type { WavePlan } from '../../src/waves/plan/index.js'
import type { StandInEndpoint } from '../../standins/endpoint/index.js'
import type { Deployment } from '../harness/deployment.js'
import { FLEETS, listVms } from '../harness/fleet.js'
import type { RequestStream } from '../load/index.js'
import type { Measurements } from '../report/index.js'
import { FleetSampler } from '../sampler/index.js'
import { runUnderLoad } from './requests.js'
import type { RunOptions, Scenario } from './types.js'

/** Time of one reboot, in milliseconds. */
const REBOOT_MS = 4000

/** Time that one request takes, in milliseconds. */
const SERVICE_MS = 50

/** Target of the issue for a wave's time over its lower bound. */
const MAX_ROLLOUT_RATIO = 1.2

const WAVE_TIMEOUT_MS = 120_000

/** Budgets by deployment: INLA's pools give a third, Lindenhof's two VMs. */
const MAX_DOWN = { inla: '34%', lindenhof: 2 } as const

interface WaveRun {
  readonly ratio: number
  readonly state: string
}

/** Starts a wave and waits for its end. */
export async function runWave (deployment: Deployment, selection: readonly string[], onPaused: () => Promise<void> = async () => {}): Promise<WaveRun> {
  const plan = await deployment.ctlJson<WavePlan>(['wave', 'plan', ...selection])
  const startedAt = Date.now()
  const { wave } = await deployment.ctlJson<{ wave: string }>(['wave', 'start', ...selection])
  const perVmMs = REBOOT_MS + SERVICE_MS
  const boundMs = plan.boundMs / (Math.ceil(REBOOT_MS / 1000) * 1000) * perVmMs
  let state = ''
  let tookMs = Number.POSITIVE_INFINITY
  while (state !== 'done' && Date.now() - startedAt < WAVE_TIMEOUT_MS) {
    const waves = await deployment.ctl(['--json', 'wave', 'status'])
    const found = waves.code === 0 ? (JSON.parse(waves.stdout) as Wave[]).find((each) => each.id === wave) : undefined
    state = found?.state ?? state
    // By the wave's own record: the client's start takes longer than a step of the wave.
    if (found?.endedAt != null) tookMs = found.endedAt - found.startedAt
    if (state === 'paused') await onPaused()
  }
  return { ratio: tookMs / boundMs, state }
}

/** Runs something under load with samples of the fleet. */
function runSampled (options: RunOptions, parts: { sustainSeconds?: number, streams?: readonly RequestStream[], perSecond?: number, during: (deployment: Deployment) => Promise<Measurements> }): Promise<Measurements> {
  return runUnderLoad(options, {
    perSecond: parts.perSecond ?? 100,
    ...(parts.streams === undefined ? {} : { load: { streams: parts.streams, maxResends: 1 } }),
    deployment: {
      rebootMs: () => REBOOT_MS,
      serviceMs: () => SERVICE_MS,
      ruleOverrides: { secondsPerVm: Math.ceil(REBOOT_MS / 1000), maxDown: MAX_DOWN[options.deployment], sustainSeconds: parts.sustainSeconds ?? 600 }
    },
    during: async (deployment) => {
      const sampler = new FleetSampler(deployment)
      const sampling = sampler.run()
      const measured = await parts.during(deployment)
      sampler.stop()
      await sampling
      return { ...sampler.measure(), ...measured, violations: [...sampler.violations, ...measured.violations ?? []] }
    }
  })
}

/** A wave over the whole fleet. */
export const wave: Scenario = {
  name: 'wave',
  about: 'a maintenance wave over the whole fleet under load, as wide as the budgets allow',
  run: (options) => runSampled(options, {
    during: async (deployment) => {
      await sleep(1000)
      const { ratio, state } = await runWave(deployment, [])
      const violations = [
        ...(state === 'done' ? [] : [`the wave is ${state}`]),
        ...(ratio > MAX_ROLLOUT_RATIO ? [`the wave took ${ratio.toFixed(2)} times its lower bound`] : [])
      ]
      return { rolloutRatio: ratio, violations, extra: { reboots: deployment.platform.reboots } }
    }
  })
}

/** Endpoints of the VMs that match. */
function endpointsWhere (deployment: Deployment, matches: (vm: ReturnType<typeof listVms>[number]) => boolean): StandInEndpoint[] {
  return listVms(deployment.options.fleet).filter(matches).map((vm) => deployment.endpoints.get(vm.id)).filter((endpoint) => endpoint !== undefined)
}

/** A rack is lost in the midst of a wave. */
export const waveRackLoss: Scenario = {
  name: 'wave-rack-loss',
  about: 'a rack is lost during a wave: the wave pauses, takes back what is not stopped, and goes on when the rack is back',
  run: (options) => runSampled(options, {
    during: async (deployment) => {
      await sleep(1000)
      const racks = [...new Set(listVms(deployment.options.fleet).map((vm) => vm.rack))]
      const rack = racks[options.seed % racks.length]
      let pauses = 0
      const lose = async (): Promise<void> => {
        await sleep(2000 + options.seed * 137 % 3000)
        const lost = endpointsWhere(deployment, (vm) => vm.rack === rack).filter((endpoint) => endpoint.isRunning)
        for (const endpoint of lost) endpoint.stop(false)
        await sleep(6000)
        for (const endpoint of lost) if (!endpoint.isRunning) await endpoint.start()
      }
      const [{ ratio, state }] = await Promise.all([runWave(deployment, [], async () => { pauses += 1 }), lose()])
      return { rolloutRatio: ratio, violations: state === 'done' ? [] : [`the wave is ${state}`], extra: { samplesPaused: pauses } }
    }
  })
}

/** An availability zone is lost. */
export const zoneLoss: Scenario = {
  name: 'zone-loss',
  about: 'an availability zone is lost with its VMs; the rest serves on, and all return',
  run: (options) => runSampled(options, {
    during: async (deployment) => {
      const { zones } = deployment.options.fleet
      const zone = zones[options.seed % zones.length]
      await sleep(options.seconds * 200)
      const lost = endpointsWhere(deployment, (vm) => vm.zone === zone)
      for (const endpoint of lost) endpoint.stop(false)
      await sleep(options.seconds * 400)
      for (const endpoint of lost) await endpoint.start()
      await deployment.waitForAllUp()
      return { extra: { lostVms: lost.length } }
    }
  })
}

/** How long demand must have shifted in the bench, in seconds. */
const SUSTAIN_SECONDS = { inla: 8, lindenhof: 2 } as const

/** Demand shifts to one service for good. */
export const shiftedDemand: Scenario = {
  name: 'shifted-demand',
  about: 'short surges move no VM; demand that shifts for good moves VMs, one at a time',
  run: (options) => {
    const fleet = FLEETS[options.deployment]
    const pools = Object.keys(fleet.services)
    const shifted = pools[options.seed % pools.length] ?? ''
    const capacity = (fleet.pools[shifted] ?? 0) * fleet.slots * 1000 / SERVICE_MS
    const shiftAt = options.seconds * 0.35
    const team = fleet.teams[0] ?? 'default'
    const streams = pools.map((pool): RequestStream => ({
      service: fleet.services[pool] ?? '',
      team,
      class: 'normal',
      method: 'GET',
      deadlineMs: 2000,
      rate: (second) => {
        const isShifted = pool === shifted && second > shiftAt
        // A surge of a second and a half before the shift is met without a move.
        const isSurge = pool === shifted && second > 2 && second < 3.5
        return capacity * (isShifted || isSurge ? 1.1 : 0.03)
      }
    }))
    return runSampled(options, {
      sustainSeconds: SUSTAIN_SECONDS[options.deployment],
      streams,
      during: async (deployment) => {
        await sleep(shiftAt * 1000)
        const early = (await deployment.show()).vms.filter((vm) => vm.pool !== vm.id.replace(/-\d+$/, '')).length
        await sleep((options.seconds - shiftAt) * 1000)
        const moved = (await deployment.show()).vms.filter((vm) => vm.pool !== vm.id.replace(/-\d+$/, '')).length
        return { violations: early > 0 ? [`${early} VMs moved for a short surge`] : [], extra: { movedForSurge: early, movedForShift: moved } }
      }
    })
  }
}
