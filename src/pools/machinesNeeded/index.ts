/**
 * Computes how many machines a service needs now.
 *
 * Handles demand that rises fivefold for a few seconds and falls to a twentieth: the backlog must be done before it is
 * late, the machines must keep up with arrivals, and long-running tasks need their capacity at any time.
 */
import type { Millis } from '../../clock/index.js'

/** Waiting or running work. */
export interface Demand {
  /** How long it keeps one whole machine busy, in milliseconds. */
  readonly load: number
  /** Time until it is late, in milliseconds. */
  readonly dueInMs: Millis
}

/** Demand on the machines of one service. */
export interface PoolDemand {
  readonly work: readonly Demand[]
  /** Number of machines that keep up with arrivals. */
  readonly arrivalRate: number
  /** Capacity that long-running tasks take, in whole machines. */
  readonly longRunningLoad: number
  /** Minimum number of machines over which long-running tasks must be spread. */
  readonly longRunningSpread: number
  /** Whether tasks wait and none has started for some time, because they fit on none of the machines. */
  readonly isStarved: boolean
}

/** Share of a machine's capacity that is planned for work: tasks don't fit without gaps. */
const USABLE_SHARE = 0.85

/** Work that is due sooner is planned as if it were due then: a machine that is requested now arrives after 1.6 s. */
const MIN_DUE_MS: Millis = 1800

/** Every service keeps one machine, so that its first job starts at once. */
const MIN_MACHINES = 1

/** Services with long-running tasks keep two, so that the tasks of a lost machine can restart on the other. */
const MIN_LONG_RUNNING_MACHINES = 2

/**
 * Returns how many machines a service needs.
 *
 * @param demand - demand on the service
 * @param have - number of machines that it has
 */
export function machinesNeeded ({ work, arrivalRate, longRunningLoad, longRunningSpread, isStarved }: PoolDemand, have: number): number {
  let load = 0
  let backlog = 0
  for (const { load: own, dueInMs } of [...work].sort((a, b) => a.dueInMs - b.dueInMs)) {
    load += own
    backlog = Math.max(backlog, load / Math.max(MIN_DUE_MS, dueInMs))
  }
  const busy = Math.max(backlog, arrivalRate) + longRunningLoad
  const minMachines = longRunningLoad > 0 ? Math.max(MIN_LONG_RUNNING_MACHINES, longRunningSpread) : MIN_MACHINES
  return Math.max(minMachines, Math.ceil(busy / USABLE_SHARE), isStarved ? have + 1 : 0)
}
