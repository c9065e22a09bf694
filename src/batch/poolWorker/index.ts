/** Describes a worker for the planner: its capacity minus what its runs use. */
import { LONG_LEASE_MS } from '../../workers/constants.js'
import { computeOccupancy } from '../../workers/computeOccupancy/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import type { PoolWorker } from '../planStarts/index.js'
import type { BatchState } from '../state/index.js'
import type { WorkerTrialState } from '../trials/index.js'

/** Health of a worker, derived from its past runs. */
export interface WorkerHealth {
  /** How many more tasks may start on it. */
  readonly startsLeft: number
  /** Run time there divided by the run time on a healthy worker. */
  readonly slowdown: number
}

/** State of a worker while no job is suspected of crashing workers. */
const NO_TRIALS: WorkerTrialState = { freshRuns: 0, isTrial: false }

/** A worker without failures or slowdown. */
export const HEALTHY_WORKER: WorkerHealth = { startsLeft: Number.POSITIVE_INFINITY, slowdown: 1 }

/**
 * Describes a worker for the planner.
 *
 * @param session - session with the worker
 * @param state - replicated state with its runs
 * @param health - its health; healthy by default
 * @param trials - its fresh runs; left out while no job is suspected of crashing workers
 */
export function createPoolWorker (session: WorkerSession, state: BatchState, { startsLeft, slowdown }: WorkerHealth = HEALTHY_WORKER, { freshRuns }: WorkerTrialState = NO_TRIALS): PoolWorker {
  const { record, key } = session
  return {
    key,
    machine: record.machine === '' ? record.id : record.machine,
    zone: record.zone,
    labels: record.labels,
    room: record.room,
    ...computeOccupancy(session, state),
    startsLeft,
    slowdown,
    freshRuns,
    trialJob: null,
    hasLongLease: session.leaseLeftMs > LONG_LEASE_MS
  }
}
