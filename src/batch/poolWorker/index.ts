/** Describes a worker to the planner: its room less what its runs take. */
import type { WorkerSession } from '../../workers/session/index.js'
import type { PoolWorker } from '../planStarts/index.js'
import type { BatchState } from '../state/index.js'
import { parseTask } from '../types.js'

/** What is learned of a worker from its runs. */
export interface WorkerHistorySummary {
  /** Most further starts. */
  readonly startsLeft: number
  /** Time that work takes there over what it takes on a sound worker. */
  readonly slowness: number
}

/** A worker of which nothing bad is known. */
export const SOUND_WORKER: WorkerHistorySummary = { startsLeft: Number.POSITIVE_INFINITY, slowness: 1 }

/**
 * Describes a worker to the planner.
 *
 * @param session - the worker
 * @param state - the replicated state, which has its runs
 * @param history - what is learned of it
 */
export function createPoolWorker (session: WorkerSession, state: BatchState, { startsLeft, slowness }: WorkerHistorySummary = SOUND_WORKER): PoolWorker {
  const { record, key } = session
  const worker: PoolWorker = { key, zone: record.zone, labels: record.labels, room: record.room, free: { ...record.room }, perStep: new Map(), startsLeft, slowness }
  for (const task of state.runsOn(key).keys()) takeRoom(worker, task, state)
  return worker
}

function takeRoom (worker: PoolWorker, task: string, state: BatchState): void {
  const place = parseTask(task)
  const step = place === null ? undefined : state.data.jobs.get(place.job)?.steps[place.step]
  if (place === null || step === undefined) return
  worker.free.memory -= step.memory
  worker.free.accelerators -= step.accelerators
  if (!step.isFiller) worker.free.cpu -= step.cpu
  const stepKey = `${place.job}.${place.occurrence}.${place.step}`
  worker.perStep.set(stepKey, (worker.perStep.get(stepKey) ?? 0) + 1)
}
