/** Surges the demand of one pool after the other. */
import { Deployment } from '../harness/deployment.js'
import { FLEETS, type FleetSpec } from '../harness/fleet.js'
import { UsageMeter } from '../harness/usage.js'
import { LoadGenerator, type RequestStream } from '../load/index.js'
import { CONTROL_COUNT, ENTRY_COUNT } from './requests.js'
import type { RunOptions, Scenario } from './types.js'

/** Time that an endpoint spends on a request. */
export const REQUEST_DURATION_MS = 200

const SURGE_SECONDS = 5

/** Mean demand as a share of the capacity of the pool's slots. */
const MEAN_DEMAND_SHARE = 0.5
/** Demand during and between surges, as multiples of the mean. */
const SURGE_FACTOR = 5
const QUIET_FACTOR = 1 / 20

/**
 * Returns the capacity of a pool's slots.
 *
 * @param fleet - fleet of the pool
 * @param pool - name of the pool
 * @returns requests a second
 */
export function computeCapacity (fleet: FleetSpec, pool: string): number {
  return (fleet.pools[pool] ?? 0) * fleet.slots * 1000 / REQUEST_DURATION_MS
}

/** Creates streams in which one pool after the other surges. */
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

/** Returns the requests answered in surges as a share of the offered ones, at most the capacity of the pool and the spare pool. */
function computeGoodputRatio (fleet: FleetSpec, load: LoadGenerator, seconds: number): number {
  const pools = Object.keys(fleet.services)
  let answered = 0
  let feasible = 0
  for (let second = 0; second < seconds; second += 1) {
    // Excludes the first two seconds of a surge, in which requests fill the slots.
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

/** Surges the demand of every pool in turn to five times its mean. */
export const surge: Scenario = {
  name: 'surge',
  description: 'the demand of every pool in turn surges to five times its mean, with a twentieth of the mean in between',
  run
}
