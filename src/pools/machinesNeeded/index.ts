/**
 * Decides how many machines a service needs now.
 *
 * Answers demand that rises fivefold for a few seconds and falls to a twentieth: what waits must be done before it is
 * late, what comes in must be kept up with, and tasks that last need their room at any time.
 */
import type { Millis } from '../../clock/index.js'

/** Work that waits or runs. */
export interface Demand {
  /** Time that it takes one whole machine, in ms. */
  readonly load: number
  /** Time until it is late, in ms. */
  readonly dueInMs: Millis
}

/** What a service is asked for. */
export interface PoolDemand {
  readonly work: readonly Demand[]
  /** Machines that keep up with what comes in. */
  readonly arrivalRate: number
  /** Machines' worth of room that tasks which last take. */
  readonly longRunningLoad: number
  /** Fewest machines over which they must be spread. */
  readonly longRunningSpread: number
  /** Tasks wait, and none has started for long: they fit on none of the machines. */
  readonly isStarved: boolean
}

/** Work is planned into this share of a machine's room: tasks don't fit without gaps. */
const USABLE_SHARE = 0.85

/** Work that is due sooner than this is planned as if it were due then: a machine that is asked for now comes after 1.6 s. */
const MIN_DUE_MS: Millis = 1800

/** Every service keeps a machine, so that a first job starts at once. */
const MIN_MACHINES = 1

/** Services with tasks that last keep two, so that the loss of one leaves a place to start again. */
const MIN_LONG_RUNNING_MACHINES = 2

/**
 * Returns how many machines a service needs.
 *
 * @param demand - what it is asked for
 * @param have - machines that it has
 */
export function machinesNeeded ({ work, arrivalRate, longRunningLoad, longRunningSpread, isStarved }: PoolDemand, have: number): number {
  let load = 0
  let backlog = 0
  for (const { load: own, dueInMs } of [...work].sort((a, b) => a.dueInMs - b.dueInMs)) {
    load += own
    backlog = Math.max(backlog, load / Math.max(MIN_DUE_MS, dueInMs))
  }
  const busy = Math.max(backlog, arrivalRate) + longRunningLoad
  const smallest = longRunningLoad > 0 ? Math.max(MIN_LONG_RUNNING_MACHINES, longRunningSpread) : MIN_MACHINES
  return Math.max(smallest, Math.ceil(busy / USABLE_SHARE), isStarved ? have + 1 : 0)
}
