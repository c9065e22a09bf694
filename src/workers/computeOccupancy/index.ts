/** Computes what the runs on a worker leave of its capacity. */
import type { BatchState } from '../../batch/state/index.js'
import type { WorkerRecord } from '../../batch/state/records.js'
import { parseTask } from '../../batch/types.js'

/** A worker and the runs that it lists without having them in the state. */
export interface OccupiedWorker {
  /** Key of the worker's incarnation. */
  readonly key: string
  readonly record: WorkerRecord
  /** Tasks with runs that the worker lists and the state doesn't have there. */
  readonly strayTasks: readonly string[]
}

/** Capacity that no run has reserved; below 0 where the capacity has shrunk below what runs. */
export interface FreeCapacity {
  cpu: number
  memory: number
  accelerators: number
}

/** What the runs on a worker leave of its capacity, and the steps that they belong to. */
export interface WorkerOccupancy {
  readonly free: FreeCapacity
  /** Number of tasks by step key, `job.occurrence.step`. */
  readonly taskCountByStep: Map<string, number>
}

/**
 * Computes the occupancy of a worker: runs that may be running on it, those that it lists although the state doesn't have them, and those
 * placed on earlier incarnations, since a start that these left unanswered may reach this one.
 *
 * @param worker - the worker
 * @param state - replicated state with its runs
 */
export function computeOccupancy ({ key, record, strayTasks }: OccupiedWorker, state: BatchState): WorkerOccupancy {
  const occupancy: WorkerOccupancy = { free: { ...record.room }, taskCountByStep: new Map() }
  for (const task of state.runsOn(key).keys()) deductTask(occupancy, task, state)
  for (const task of strayTasks) if (!state.runsOn(key).has(task)) deductTask(occupancy, task, state)
  for (const [earlier, { born }] of state.workerIndex.withId(record.id)) {
    if (born < record.born) for (const task of state.runsOn(earlier).keys()) deductTask(occupancy, task, state)
  }
  return occupancy
}

/**
 * Returns whether the runs that were placed on a worker need more than its capacity, which may have shrunk since.
 *
 * @param worker - the worker
 * @param state - replicated state with its runs
 */
export function isOvercommitted (worker: OccupiedWorker, state: BatchState): boolean {
  const { free } = computeOccupancy(worker, state)
  return free.cpu < 0 || free.memory < 0 || free.accelerators < 0
}

function deductTask ({ free, taskCountByStep }: WorkerOccupancy, task: string, state: BatchState): void {
  const position = parseTask(task)
  const step = position === null ? undefined : state.data.jobs.get(position.job)?.steps[position.step]
  if (position === null || step === undefined) return
  free.memory -= step.memory
  free.accelerators -= step.accelerators
  if (!step.isFiller) free.cpu -= step.cpu
  const stepKey = `${position.job}.${position.occurrence}.${position.step}`
  taskCountByStep.set(stepKey, (taskCountByStep.get(stepKey) ?? 0) + 1)
}
