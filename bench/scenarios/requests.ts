/** Scenarios about requests: faulty answers and connections, killed entries and resends. */
import { setTimeout as sleep } from 'node:timers/promises'
import { Deployment, type DeploymentOptions } from '../harness/deployment.js'
import { FLEETS, type FleetSpec } from '../harness/fleet.js'
import { UsageMeter } from '../harness/usage.js'
import { LoadGenerator, type LoadOptions, type RequestStream } from '../load/index.js'
import type { Measurements } from '../report/index.js'
import type { RunOptions, Scenario } from './types.js'

/** Present number of entry VMs. */
export const ENTRY_COUNT = 7

/** Present number of control processes, which share five of the entry VMs. */
export const CONTROL_COUNT = 5

/**
 * Creates steady streams of reads and writes in all classes to all services.
 *
 * @param fleet - fleet with the services and teams
 * @param requestsPerSecond - total rate
 */
export function createSteadyStreams (fleet: FleetSpec, requestsPerSecond: number): RequestStream[] {
  const services = Object.values(fleet.services)
  const share = requestsPerSecond / services.length
  return services.flatMap((service): RequestStream[] => {
    const team = fleet.teams[0] ?? 'default'
    const otherTeam = fleet.teams[1] ?? 'default'
    return [
      { service, team, class: 'urgent', method: 'GET', deadlineMs: 3000, rate: () => share * 0.2 },
      { service, team, class: 'normal', method: 'GET', deadlineMs: 5000, rate: () => share * 0.4 },
      { service, team: otherTeam, class: 'normal', method: 'POST', deadlineMs: 5000, rate: () => share * 0.3 },
      { service, team: otherTeam, class: 'bulk', method: 'POST', deadlineMs: 10_000, rate: () => share * 0.1 }
    ]
  })
}

/**
 * Runs a scenario on a deployment under load, steady by default.
 *
 * @param options - options of the run
 * @param setup - deviations from the default deployment and load, and the scenario to run
 * @returns measurements of the load, overridden by those of the scenario
 */
export async function runUnderLoad (options: RunOptions, setup: { deployment?: Partial<DeploymentOptions>, load?: Partial<LoadOptions>, requestsPerSecond?: number, during: (deployment: Deployment) => Promise<Measurements | undefined> }): Promise<Measurements> {
  const fleet = FLEETS[options.deployment]
  const deployment = new Deployment({ fleet, controls: 3, entries: 3, ...setup.deployment })
  try {
    await deployment.start()
    const load = new LoadGenerator({ streams: createSteadyStreams(fleet, setup.requestsPerSecond ?? 150), seed: options.seed, entries: () => deployment.entryAddresses, oracle: deployment.oracle, maxResends: 2, ...setup.load })
    const meter = new UsageMeter(deployment)
    await meter.begin()
    const [, during] = await Promise.all([load.run(options.seconds), setup.during(deployment)])
    const control = await meter.end()
    if (process.env['BENCH_DEBUG'] !== undefined) process.stderr.write(`${deployment.logs()}\n${JSON.stringify([...load.failureReasons])}\n`)
    return { ...load.measure(), control, ...during }
  } finally {
    await deployment.stop()
  }
}

/** Applies a fault to one of every `stride` endpoints for three fifths of the run. */
async function injectEndpointFault (deployment: Deployment, options: RunOptions, fault: 'crossesAnswers' | 'truncates' | 'resets' | 'oversized' | 'late' | 'silent' | 'failsAll', stride: number): Promise<undefined> {
  await sleep(options.seconds * 100)
  const endpoints = [...deployment.endpoints.values()].filter((_each, index) => index % stride === options.seed % stride)
  for (const endpoint of endpoints) endpoint.fault = fault
  await sleep(options.seconds * 600)
  for (const endpoint of endpoints) endpoint.fault = 'none'
  return undefined
}

const CROSSED_FAULTS = ['crossesAnswers', 'truncates', 'resets', 'late'] as const

/** Makes endpoints cross, truncate, reset and delay answers. */
export const crossed: Scenario = {
  name: 'crossed',
  description: 'endpoints cross, truncate, reset or delay answers; no caller may receive such an answer as valid',
  run: (options) => runUnderLoad(options, {
    deployment: { ruleOverrides: { attemptTimeoutMs: 200 } },
    during: async (deployment) => {
      const faults = CROSSED_FAULTS.map((fault, index) => injectEndpointFault(deployment, { ...options, seed: options.seed + index }, fault, 7))
      await Promise.all(faults)
      return undefined
    }
  })
}

/** Makes open connections to endpoints unresponsive while new ones work. */
export const silent: Scenario = {
  name: 'silent',
  description: 'open connections to endpoints become unresponsive permanently while new ones work',
  run: (options) => runUnderLoad(options, {
    deployment: { hasEndpointProxies: true, ruleOverrides: { attemptTimeoutMs: 300 } },
    during: async (deployment) => {
      const until = Date.now() + options.seconds * 900
      for (let round = options.seed; Date.now() < until; round += 1) {
        const proxies = [...deployment.endpointProxies.values()].filter((_each, index) => (index + round) % 3 === 0)
        for (const proxy of proxies) proxy.setFault('silentOld')
        await sleep(1000)
      }
      return undefined
    }
  })
}

/** Kills and restarts entries while they handle requests. */
export const entryKill: Scenario = {
  name: 'entry-kill',
  description: 'an entry is killed about every second and restarted; callers resend through another one',
  run: (options) => runUnderLoad(options, {
    load: { maxResends: 5 },
    during: async (deployment) => {
      const until = Date.now() + options.seconds * 900
      for (let round = options.seed; Date.now() < until; round += 1) {
        const entry = deployment.entries[round % deployment.entries.length]
        await entry?.process.kill()
        await sleep(700)
        entry?.process.start()
        await sleep(600)
      }
      return undefined
    }
  })
}

/** Sends the same keys through several entries at once while the control processes restart. */
export const resend: Scenario = {
  name: 'resend',
  description: 'callers send the same writes twice at once while all control processes restart in turn',
  run: (options) => runUnderLoad(options, {
    load: { maxResends: 4 },
    during: async (deployment) => {
      const [duplicates] = await Promise.all([sendTwice(deployment, options), restartControls(deployment, options)])
      const doubles = duplicates['twiceSentDoubles'] ?? 0
      return { extra: duplicates, violations: doubles > 0 ? [`${doubles} keys that were sent twice at once ran more than once`] : [] }
    }
  })
}

/** Kills and restarts the control processes one after the other. */
async function restartControls (deployment: Deployment, options: RunOptions): Promise<void> {
  await sleep(options.seconds * 200)
  for (const control of deployment.controls) {
    await control.process.kill()
    await sleep(300)
    control.process.start()
    await sleep(Math.max(1500, options.seconds * 100))
  }
}

/** Sends the same writes from two load generators at once; returns how many keys were sent, answered and run more than once. */
async function sendTwice (deployment: Deployment, options: RunOptions): Promise<Record<string, number>> {
  const fleet = FLEETS[options.deployment]
  const service = Object.values(fleet.services)[3] ?? ''
  const stream: RequestStream = { service, team: fleet.teams[0] ?? 'default', class: 'normal', method: 'POST', deadlineMs: 5000, rate: () => 20 }
  const loads = [1, 2].map(() => new LoadGenerator({ streams: [stream], seed: 100_000 + options.seed, entries: () => deployment.entryAddresses, oracle: deployment.oracle, maxResends: 3 }))
  await Promise.all(loads.map((load) => load.run(options.seconds * 0.9)))
  const [first] = loads.map((load) => load.measure())
  return { twiceSent: first?.requests ?? 0, twiceSentAnswered: first?.answered ?? 0, twiceSentDoubles: first?.doubles ?? 0 }
}
