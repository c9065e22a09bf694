/** Numbers the runs of planned starts. */
import type { PlannedStart } from '../planStarts/index.js'
import type { BatchState } from '../state/index.js'
import type { JobRecord, Placement } from '../state/records.js'
import { parseTask, type TaskPosition } from '../types.js'

/**
 * Assigns run numbers: one above the last run of the task, or of the whole step for a gang, whose members share a number.
 *
 * @param planned - starts of tasks of the state
 * @param state - replicated state with their last runs
 */
export function assignRunNumbers (planned: readonly PlannedStart[], state: BatchState): Placement[] {
  return planned.map(({ task, worker }) => {
    const position = parseTask(task) as TaskPosition
    const job = state.data.jobs.get(position.job) as JobRecord
    const tasks = job.occurrences.get(position.occurrence)?.[position.step]?.tasks ?? []
    const lastRunOfTask = tasks[position.index]?.lastRun ?? 0
    const last = job.steps[position.step]?.isGang === true ? Math.max(...tasks.map(({ lastRun }) => lastRun)) : lastRunOfTask
    return { task, worker, run: last + 1 }
  })
}
