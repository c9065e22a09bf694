/** Describes a worker for the planner: its capacity minus what its runs use. */
import { LONG_LEASE_MS } from '../../workers/constants.js'
import type { WorkerSession } from '../../workers/session/index.js'
import type { PoolWorker } from '../planStarts/index.js'
import type { BatchState } from '../state/index.js'
import type { WorkerTrialState } from '../trials/index.js'
import { parseTask } from '../types.js'

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
  const worker: PoolWorker = { key, machine: record.machine === '' ? record.id : record.machine, zone: record.zone, labels: record.labels, room: record.room, free: { ...record.room }, taskCountByStep: new Map(), startsLeft, slowdown, freshRuns, trialJob: null, hasLongLease: session.leaseLeftMs > LONG_LEASE_MS }
  for (const task of state.runsOn(key).keys()) deductTask(worker, task, state)
  for (const task of session.strayTasks) if (!state.runsOn(key).has(task)) deductTask(worker, task, state)
  // A start that an earlier incarnation left unanswered may reach this one.
  for (const [earlier, { born }] of state.workerIndex.withId(record.id)) {
    if (born < record.born) for (const task of state.runsOn(earlier).keys()) deductTask(worker, task, state)
  }
  return worker
}

/**
 * Returns whether the runs that were placed on a worker need more than its capacity, which may have shrunk since.
 *
 * @param session - session with the worker
 * @param state - replicated state with its runs
 */
export function isOvercommitted (session: WorkerSession, state: BatchState): boolean {
  const { free } = createPoolWorker(session, state)
  return free.cpu < 0 || free.memory < 0 || free.accelerators < 0
}

function deductTask (worker: PoolWorker, task: string, state: BatchState): void {
  const position = parseTask(task)
  const step = position === null ? undefined : state.data.jobs.get(position.job)?.steps[position.step]
  if (position === null || step === undefined) return
  worker.free.memory -= step.memory
  worker.free.accelerators -= step.accelerators
  if (!step.isFiller) worker.free.cpu -= step.cpu
  const stepKey = `${position.job}.${position.occurrence}.${position.step}`
  worker.taskCountByStep.set(stepKey, (worker.taskCountByStep.get(stepKey) ?? 0) + 1)
}
