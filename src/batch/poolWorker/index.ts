/** Describes a worker to the planner: its room less what its runs take. */
import type { WorkerSession } from '../../workers/session/index.js'
import type { PoolWorker } from '../planStarts/index.js'
import type { BatchState } from '../state/index.js'
import { parseTask } from '../types.js'

/** What is learned of a worker from its runs. */
export interface WorkerHealth {
  /** Most further starts. */
  readonly startsLeft: number
  /** Time that work takes there over what it takes on a sound worker. */
  readonly slowdown: number
}

/** A worker of which nothing bad is known. */
export const HEALTHY_WORKER: WorkerHealth = { startsLeft: Number.POSITIVE_INFINITY, slowdown: 1 }

/**
 * Describes a worker to the planner.
 *
 * @param session - the worker
 * @param state - the replicated state, which has its runs
 * @param history - what is learned of it
 */
export function createPoolWorker (session: WorkerSession, state: BatchState, { startsLeft, slowdown }: WorkerHealth = HEALTHY_WORKER): PoolWorker {
  const { record, key } = session
  const worker: PoolWorker = { key, zone: record.zone, labels: record.labels, room: record.room, free: { ...record.room }, taskCountByStep: new Map(), startsLeft, slowdown }
  for (const task of state.runsOn(key).keys()) deductTask(worker, task, state)
  return worker
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
