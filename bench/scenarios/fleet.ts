/** Scenarios about maintenance waves, loss of a rack or zone, and moves of VMs between pools. */
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

const REBOOT_MS = 4000

/** Time that an endpoint spends on a request. */
const REQUEST_DURATION_MS = 50

/** Target for the duration of a wave as a multiple of its lower bound. */
const MAX_ROLLOUT_RATIO = 1.2

const WAVE_TIMEOUT_MS = 120_000

/** Budgets by deployment: a third of each pool at INLA, two VMs of each pool at Lindenhof. */
const MAX_DOWN_BY_DEPLOYMENT = { inla: '34%', lindenhof: 2 } as const

/** Result of one wave. */
interface WaveResult {
  /** Duration as a multiple of the lower bound; infinite when the wave didn't end in time. */
  readonly ratio: number
  readonly state: string
}

/**
 * Starts a wave and waits for its end.
 *
 * @param deployment - deployment with the VMs
 * @param selection - arguments of `oleanderctl wave start` that select VMs
 * @param onPaused - called for each poll that finds the wave paused
 */
export async function runWave (deployment: Deployment, selection: readonly string[], onPaused: () => Promise<void> = async () => {}): Promise<WaveResult> {
  const plan = await deployment.ctlJson<WavePlan>(['wave', 'plan', ...selection])
  const startedAt = Date.now()
  const { wave } = await deployment.ctlJson<{ wave: string }>(['wave', 'start', ...selection])
  const perVmMs = REBOOT_MS + REQUEST_DURATION_MS
  const boundMs = plan.boundMs / (Math.ceil(REBOOT_MS / 1000) * 1000) * perVmMs
  let state = ''
  let tookMs = Number.POSITIVE_INFINITY
  while (state !== 'done' && Date.now() - startedAt < WAVE_TIMEOUT_MS) {
    const waves = await deployment.ctl(['--json', 'wave', 'status'])
    const found = waves.code === 0 ? (JSON.parse(waves.stdout) as Wave[]).find((each) => each.id === wave) : undefined
    state = found?.state ?? state
    // From the times that the wave records: starting the client takes longer than a step of the wave.
    if (found?.endedAt != null) tookMs = found.endedAt - found.startedAt
    if (state === 'paused') await onPaused()
  }
  return { ratio: tookMs / boundMs, state }
}

/** Runs a scenario under load while the fleet is sampled. */
function runSampled (options: RunOptions, setup: { sustainSeconds?: number, streams?: readonly RequestStream[], requestsPerSecond?: number, during: (deployment: Deployment) => Promise<Measurements> }): Promise<Measurements> {
  return runUnderLoad(options, {
    requestsPerSecond: setup.requestsPerSecond ?? 100,
    ...(setup.streams === undefined ? {} : { load: { streams: setup.streams, maxResends: 1 } }),
    deployment: {
      rebootMs: () => REBOOT_MS,
      serviceMs: () => REQUEST_DURATION_MS,
      ruleOverrides: { secondsPerVm: Math.ceil(REBOOT_MS / 1000), maxDown: MAX_DOWN_BY_DEPLOYMENT[options.deployment], sustainSeconds: setup.sustainSeconds ?? 600 }
    },
    during: async (deployment) => {
      const sampler = new FleetSampler(deployment)
      const sampling = sampler.run()
      const measurements = await setup.during(deployment)
      sampler.stop()
      await sampling
      return { ...sampler.measure(), ...measurements, violations: [...sampler.violations, ...measurements.violations ?? []] }
    }
  })
}

/** Runs a maintenance wave over the whole fleet. */
export const wave: Scenario = {
  name: 'wave',
  description: 'a maintenance wave over the whole fleet under load, as wide as the budgets allow',
  run: (options) => runSampled(options, {
    during: async (deployment) => {
      await sleep(1000)
      const { ratio, state } = await runWave(deployment, [])
      const violations = [
        ...(state === 'done' ? [] : [`the wave is ${state}`]),
        ...(ratio > MAX_ROLLOUT_RATIO ? [`the wave took ${ratio.toFixed(2)} times as long as its lower bound`] : [])
      ]
      return { rolloutRatio: ratio, violations, extra: { reboots: deployment.platform.rebootCount } }
    }
  })
}

/** Returns the endpoints of the VMs that match. */
function selectEndpoints (deployment: Deployment, matches: (vm: ReturnType<typeof listVms>[number]) => boolean): StandInEndpoint[] {
  return listVms(deployment.options.fleet).filter(matches).map((vm) => deployment.endpoints.get(vm.id)).filter((endpoint) => endpoint !== undefined)
}

/** Loses a rack during a wave. */
export const waveRackLoss: Scenario = {
  name: 'wave-rack-loss',
  description: 'a rack is lost during a wave: the wave pauses, cancels drains that have not stopped their VM, and resumes when the rack is back',
  run: (options) => runSampled(options, {
    during: async (deployment) => {
      await sleep(1000)
      const racks = [...new Set(listVms(deployment.options.fleet).map((vm) => vm.rack))]
      const rack = racks[options.seed % racks.length]
      let pausedSamples = 0
      const loseRack = async (): Promise<void> => {
        await sleep(2000 + options.seed * 137 % 3000)
        const lostEndpoints = selectEndpoints(deployment, (vm) => vm.rack === rack).filter((endpoint) => endpoint.isRunning)
        for (const endpoint of lostEndpoints) endpoint.stop(false)
        await sleep(6000)
        for (const endpoint of lostEndpoints) if (!endpoint.isRunning) await endpoint.start()
      }
      const [{ ratio, state }] = await Promise.all([runWave(deployment, [], async () => { pausedSamples += 1 }), loseRack()])
      return { rolloutRatio: ratio, violations: state === 'done' ? [] : [`the wave is ${state}`], extra: { samplesPaused: pausedSamples } }
    }
  })
}

/** Loses an availability zone. */
export const zoneLoss: Scenario = {
  name: 'zone-loss',
  description: 'an availability zone is lost with its VMs; the other zones keep serving, and all VMs return',
  run: (options) => runSampled(options, {
    during: async (deployment) => {
      const { zones } = deployment.options.fleet
      const zone = zones[options.seed % zones.length]
      await sleep(options.seconds * 200)
      const lostEndpoints = selectEndpoints(deployment, (vm) => vm.zone === zone)
      for (const endpoint of lostEndpoints) endpoint.stop(false)
      await sleep(options.seconds * 400)
      for (const endpoint of lostEndpoints) await endpoint.start()
      await deployment.waitForAllUp()
      return { extra: { lostVms: lostEndpoints.length } }
    }
  })
}

/** Time for which shifted demand must last before VMs move, by deployment. */
const SUSTAIN_SECONDS_BY_DEPLOYMENT = { inla: 8, lindenhof: 2 } as const

/** Shifts demand to one service permanently, after a short surge. */
export const shiftedDemand: Scenario = {
  name: 'shifted-demand',
  description: 'a short surge moves no VM; a permanent shift of demand moves VMs, one at a time',
  run: (options) => {
    const fleet = FLEETS[options.deployment]
    const pools = Object.keys(fleet.services)
    const shiftedPool = pools[options.seed % pools.length] ?? ''
    const capacity = (fleet.pools[shiftedPool] ?? 0) * fleet.slots * 1000 / REQUEST_DURATION_MS
    const shiftSecond = options.seconds * 0.35
    const team = fleet.teams[0] ?? 'default'
    const streams = pools.map((pool): RequestStream => ({
      service: fleet.services[pool] ?? '',
      team,
      class: 'normal',
      method: 'GET',
      deadlineMs: 2000,
      rate: (second) => {
        const isShifted = pool === shiftedPool && second > shiftSecond
        // A surge of 1.5 s before the shift must not move a VM.
        const isSurge = pool === shiftedPool && second > 2 && second < 3.5
        return capacity * (isShifted || isSurge ? 1.1 : 0.03)
      }
    }))
    return runSampled(options, {
      sustainSeconds: SUSTAIN_SECONDS_BY_DEPLOYMENT[options.deployment],
      streams,
      during: async (deployment) => {
        await sleep(shiftSecond * 1000)
        const surgeMoveCount = (await deployment.show()).vms.filter((vm) => vm.pool !== vm.id.replace(/-\d+$/, '')).length
        await sleep((options.seconds - shiftSecond) * 1000)
        const shiftMoveCount = (await deployment.show()).vms.filter((vm) => vm.pool !== vm.id.replace(/-\d+$/, '')).length
        return { violations: surgeMoveCount > 0 ? [`${surgeMoveCount} VMs were moved because of a short surge`] : [], extra: { movedForSurge: surgeMoveCount, movedForShift: shiftMoveCount } }
      }
    })
  }
}
