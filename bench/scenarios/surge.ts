/** Surges in turn between the pools. */
import { Deployment } from '../harness/deployment.js'
import { FLEETS, type FleetSpec } from '../harness/fleet.js'
import { UsageMeter } from '../harness/usage.js'
import { LoadGenerator, type RequestStream } from '../load/index.js'
import { CONTROL_COUNT, ENTRY_COUNT } from './requests.js'
import type { RunOptions, Scenario } from './types.js'

/** Time that one request takes at an endpoint, in milliseconds. */
export const REQUEST_DURATION_MS = 200

/** Length of one surge, in seconds. */
const SURGE_SECONDS = 5

/** Mean demand as a share of what a pool's slots can do. */
const MEAN_DEMAND_SHARE = 0.5
const SURGE_FACTOR = 5
const QUIET_FACTOR = 1 / 20

/** Requests a second that a pool's slots can do. */
export function computeCapacity (fleet: FleetSpec, pool: string): number {
  return (fleet.pools[pool] ?? 0) * fleet.slots * 1000 / REQUEST_DURATION_MS
}

/** Streams that surge by turns. */
export function createSurgeStreams (fleet: FleetSpec): RequestStream[] {
  const pools = Object.keys(fleet.services)
  return pools.flatMap((pool, index): RequestStream[] => {
    const service = fleet.services[pool] ?? ''
    const mean = MEAN_DEMAND_SHARE * computeCapacity(fleet, pool)
    const isSurging = (second: number): boolean => Math.floor(second / SURGE_SECONDS) % pools.length === index
    const total = (second: number): number => mean * (isSurging(second) ? SURGE_FACTOR : QUIET_FACTOR)
    const team = fleet.teams[0] ?? 'default'
    const otherTeam = fleet.teams[1] ?? 'default'
    return [
      { service, team, class: 'urgent', method: 'GET', deadlineMs: 1000, rate: (second) => total(second) * 0.1 },
      { service, team, class: 'normal', method: 'GET', deadlineMs: 2000, rate: (second) => total(second) * 0.5 },
      { service, team: otherTeam, class: 'normal', method: 'POST', deadlineMs: 2000, rate: (second) => total(second) * 0.2 },
      { service, team: otherTeam, class: 'bulk', method: 'GET', deadlineMs: 4000, rate: (second) => total(second) * 0.2 }
    ]
  })
}

/** Ratio of what was answered in surges to what the slots of the pool and the spare pool can do. */
function computeGoodputRatio (fleet: FleetSpec, load: LoadGenerator, seconds: number): number {
  const pools = Object.keys(fleet.services)
  let answered = 0
  let feasible = 0
  for (let second = 0; second < seconds; second += 1) {
    // The first two seconds of a surge fill the slots; the answers of the rest count.
    if (second % SURGE_SECONDS < 2) continue
    const pool = pools[Math.floor(second / SURGE_SECONDS) % pools.length] ?? ''
    const offered = MEAN_DEMAND_SHARE * SURGE_FACTOR * computeCapacity(fleet, pool)
    answered += load.countAnswered(fleet.services[pool] ?? '', second)
    feasible += Math.min(offered, computeCapacity(fleet, pool) + computeCapacity(fleet, fleet.sparePool))
  }
  return feasible === 0 ? 0 : answered / feasible
}

async function run (options: RunOptions): Promise<ReturnType<LoadGenerator['measure']>> {
  const fleet = FLEETS[options.deployment]
  const sharing = process.env['SLOT_SHARING']
  const deployment = new Deployment({ fleet, controls: CONTROL_COUNT, entries: ENTRY_COUNT, serviceMs: () => REQUEST_DURATION_MS, ruleOverrides: { queueLimit: 300 }, entryArgs: sharing === undefined ? [] : ['--slot-sharing', sharing] })
  try {
    await deployment.start()
    const load = new LoadGenerator({ streams: createSurgeStreams(fleet), seed: options.seed, entries: () => deployment.entryAddresses, oracle: deployment.oracle, maxResends: 0 })
    const meter = new UsageMeter(deployment)
    await meter.begin()
    await load.run(options.seconds)
    const control = await meter.end()
    if (process.env['BENCH_DEBUG'] !== undefined) process.stderr.write(`${JSON.stringify([...load.failureReasons])}\n`)
    return { ...load.measure(), control, goodputRatio: computeGoodputRatio(fleet, load, options.seconds), moves: 0 }
  } finally {
    await deployment.stop()
  }
}

/** Every pool in turn surges to five times its mean. */
export const surge: Scenario = {
  name: 'surge',
  description: 'every pool in turn surges to five times its mean, with a twentieth of it in between',
  run
}
