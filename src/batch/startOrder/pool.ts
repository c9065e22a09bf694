/** Capacity and runs of pools, as the order of starts needs them. */
import { addAmounts, NO_AMOUNTS } from '../../workspaces/amounts.js'
import type { WorkerSession } from '../../workers/session/index.js'
import type { PoolWorker } from '../planStarts/index.js'
import type { BatchState } from '../state/index.js'
import type { Resources } from '../types.js'

/**
 * Returns the capacity of some workers together.
 *
 * @param workers - the workers
 */
export function sumRooms (workers: readonly PoolWorker[]): Resources {
  const sum = { ...NO_AMOUNTS }
  for (const { room } of workers) addAmounts(sum, room)
  return sum
}

/**
 * Lists the tasks of the runs that workers list and the state does not know.
 *
 * @param sessions - sessions with the workers
 * @param state - replicated state
 */
export function * listStrayTasks (sessions: Iterable<WorkerSession>, state: BatchState): Generator<string> {
  for (const { key, strayTasks } of sessions) {
    for (const task of strayTasks) if (!state.runsOn(key).has(task)) yield task
  }
}
