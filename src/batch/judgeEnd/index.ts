/** Decides what the reported end of a run changes in the replicated state. */
import type { BatchData, RunEnd } from '../state/records.js'
import { parseTask, type TaskPosition } from '../types.js'

/**
 * What an end changes. `recorded`: it ends a run that may be running; `completed`: the run was recorded as over before, but its worker
 * has finished it, so that the task is done. The others change nothing: `unknownTask`: no job has this task; `neverPlaced`: no run with this
 * number was placed; `jobEnded`, `taskDone`: it comes after the job has ended or the task was done; `runOver`: the end of this run, or of
 * a run on another worker under this number, was recorded before.
 */
export type EndEffect = 'recorded' | 'completed' | 'unknownTask' | 'neverPlaced' | 'jobEnded' | 'taskDone' | 'runOver'

/**
 * Judges the end of a run.
 *
 * @param data - replicated state
 * @param end - the end
 */
export function judgeEnd (data: BatchData, { task: name, run, worker, outcome }: RunEnd): EndEffect {
  const position = parseTask(name)
  const job = position === null ? undefined : data.jobs.get(position.job)
  const task = position === null ? undefined : job?.occurrences.get(position.occurrence)?.[position.step]?.tasks[position.index]
  if (job === undefined || task === undefined) return 'unknownTask'
  if (task.active.some((active) => active.run === run && active.worker === worker)) return 'recorded'
  if (run > task.lastRun) return 'neverPlaced'
  if (job.state !== 'active') return 'jobEnded'
  if (task.isDone) return 'taskDone'
  return outcome === 'done' && job.steps[(position as TaskPosition).step]?.isLasting !== true ? 'completed' : 'runOver'
}
