/** Combines surges, waves, changes by two operators, jobs, and random faults, one or two at a time. */
import { setTimeout as sleep } from 'node:timers/promises'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { FAULTS, type RandomBelow } from '../faults/index.js'
import { Deployment } from '../harness/deployment.js'
import { FLEETS } from '../harness/fleet.js'
import { UsageMeter } from '../harness/usage.js'
import { JobTracker, type JobKind } from '../jobs/index.js'
import { LoadGenerator } from '../load/index.js'
import { ChangeTracker } from '../operators/index.js'
import type { Measurements } from '../report/index.js'
import { FleetSampler } from '../sampler/index.js'
import { CONTROL_COUNT, ENTRY_COUNT } from './requests.js'
import { REQUEST_DURATION_MS, createSurgeStreams } from './surge.js'
import type { RunOptions, Scenario } from './types.js'

const REBOOT_MS = 2000

/**
 * Returns the names of the faults that a run chooses from: those of `--fault`, or all.
 *
 * @throws Error when `--fault` names an unknown fault
 */
function selectFaultNames (options: RunOptions): readonly string[] {
  const unknown = options.faults.find((name) => FAULTS[name] === undefined)
  if (unknown !== undefined) throw new Error(`--fault: expected one of ${Object.keys(FAULTS).join(', ')}; got "${unknown}"`)
  return options.faults.length > 0 ? options.faults : Object.keys(FAULTS)
}

/** Injects one or two random faults at a time; returns the names of each combination. */
async function injectFaults (deployment: Deployment, options: RunOptions, until: number): Promise<string[]> {
  const generator = xoroshiro128plus(options.seed)
  const randomBelow: RandomBelow = (exclusiveMax) => uniformInt(generator, 0, exclusiveMax - 1)
  const names = selectFaultNames(options)
  const injected: string[] = []
  while (Date.now() < until) {
    const chosen = Array.from({ length: 1 + randomBelow(2) }, () => names[randomBelow(names.length)] ?? '')
    injected.push(chosen.join('+'))
    if (process.env['BENCH_DEBUG'] !== undefined) process.stderr.write(`${new Date().toISOString()} ${chosen.join(' + ')}\n`)
    await Promise.all(chosen.map((name) => FAULTS[name]?.(deployment, randomBelow)))
    await sleep(500 + randomBelow(1500))
  }
  return injected
}

/** Starts waves over one pool after the other, each when no wave is active; returns the number of waves. */
async function startWavesUntil (deployment: Deployment, until: number): Promise<number> {
  const pools = Object.keys(deployment.options.fleet.pools)
  let waves = 0
  while (Date.now() < until) {
    const res = await deployment.ctl(['--json', 'wave', 'status'])
    const isIdle = res.code === 0 && (JSON.parse(res.stdout) as Array<{ state: string }>).every((wave) => wave.state === 'done' || wave.state === 'aborted')
    if (isIdle && (await deployment.ctl(['wave', 'start', '--pool', pools[waves % pools.length] ?? ''])).code === 0) waves += 1
    await sleep(1500)
  }
  return waves
}

/** Submits jobs of various kinds, one every 150 ms. */
async function submitJobsUntil (tracker: JobTracker, options: RunOptions, until: number): Promise<void> {
  const fleet = FLEETS[options.deployment]
  const services = Object.values(fleet.services)
  for (let index = 0; Date.now() < until; index += 1) {
    const kind: JobKind = { service: services[index % services.length] ?? '', team: fleet.teams[0] ?? '', class: index % 4 === 0 ? 'urgent' : 'normal', cores: 2, runMs: 500, repeatable: index % 3 !== 0, checkpointable: index % 2 === 0, payload: { ranMs: 300 + index % 7 * 200 } }
    await tracker.submit(kind)
    await sleep(150)
  }
}

async function run (options: RunOptions): Promise<Measurements> {
  const fleet = FLEETS[options.deployment]
  const deployment = new Deployment({ fleet, controls: CONTROL_COUNT, entries: ENTRY_COUNT, hasEndpointProxies: true, rebootMs: () => REBOOT_MS, serviceMs: () => REQUEST_DURATION_MS, ruleOverrides: { secondsPerVm: 2, queueLimit: 300, attemptTimeoutMs: 1000 } })
  try {
    await deployment.start()
    const streams = createSurgeStreams(fleet).map((stream) => ({ ...stream, rate: (second: number) => stream.rate(second) * 0.4 }))
    const load = new LoadGenerator({ streams, seed: options.seed, entries: () => deployment.entryAddresses, oracle: deployment.oracle, maxResends: 3 })
    const changes = new ChangeTracker(deployment)
    const sampler = new FleetSampler(deployment)
    const sampling = sampler.run()
    const jobs = new JobTracker(deployment)
    const meter = new UsageMeter(deployment)
    await meter.begin()
    const until = Date.now() + options.seconds * 1000
    const [, faults, waves] = await Promise.all([
      load.run(options.seconds),
      injectFaults(deployment, options, until - 5000),
      startWavesUntil(deployment, until),
      submitJobsUntil(jobs, options, until),
      changes.churn('ana', until, 300),
      changes.churn('ben', until, 400)
    ])
    const control = await meter.end()
    const { violations, ...changeMeasurements } = await changes.measure()
    sampler.stop()
    await sampling
    const loadMeasurements = load.measure()
    if (process.env['BENCH_DEBUG'] !== undefined) process.stderr.write(`${JSON.stringify([...load.failureReasons])}\n${deployment.logs()}\n`)
    return {
      ...loadMeasurements,
      ...sampler.measure(),
      ...changeMeasurements,
      control,
      doubles: (loadMeasurements.doubles ?? 0) + jobs.doubles() + deployment.oracle.overlappingTaskStarts,
      violations: [...violations, ...sampler.violations],
      extra: { faults: faults.length, waves, reboots: deployment.platform.rebootCount, changes: changes.accepted.length, jobs: jobs.submitted.length, doubleTasks: deployment.oracle.overlappingTaskStarts, doubleJobs: jobs.doubles(), urgentJobLateness: jobs.computeUrgentLateness(), confirmMsMax: changes.confirmMsMax }
    }
  } finally {
    await deployment.stop()
  }
}

/** Runs everything at once, at the real size of the user's fleet. */
export const mixed: Scenario = {
  name: 'mixed',
  description: 'surges, waves, jobs, two operators and one or two random faults at a time, at the real size of the fleet',
  run
}
