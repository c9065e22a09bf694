/**
 * Decides which runs may have crashed their worker.
 *
 * Handles tasks that crash each worker that starts them, beside neighbours that ran on the same worker, and racks that lose power. A
 * worker has survived a run that it went on listing, so only its fresh runs are suspected. A worker that fell silent together with
 * others of its rack was lost with the rack, unless the same job had just started on all of them.
 */
import type { Millis } from '../../clock/index.js'
import { parseTask } from '../types.js'

/** A worker that fell silent or was replaced by its next incarnation. */
export interface SilentWorker {
  /** Labels of the worker, which name its kind and its rack. */
  readonly labels: readonly string[]
  /** Clock reading of its last answer; minus infinity before the first one. */
  readonly answeredAt: Millis
  /** Clock reading of the first call that it left unanswered. */
  readonly silentSince: Millis
  /** Tasks with runs there that it is not known to have survived. */
  readonly freshTasks: readonly string[]
  /** Whether all of them are of one job that was suspected before. */
  readonly isTrial: boolean
}

/** `shared`: runs of other jobs may be the cause as well; `sole`: all fresh runs were of one job. */
export type CrashSuspicion = 'shared' | 'sole'

/** This many workers of a rack that fall silent together, without a job that they share, were lost with the rack. */
const MIN_RACK_LOSS_WORKERS = 3

/**
 * Judges the crash of one worker.
 *
 * @param crashed - the worker
 * @param others - the other workers that are silent or were replaced
 * @returns the suspicion against each of its fresh runs, by task; empty when the cause lies elsewhere
 */
export function judgeCrash (crashed: SilentWorker, others: readonly SilentWorker[]): ReadonlyMap<string, CrashSuspicion> {
  // A second crash under a job that was kept apart since the first is hardly a coincidence.
  if (crashed.isTrial) return new Map(crashed.freshTasks.map((task) => [task, 'sole']))
  const lostTogether = [crashed, ...others.filter((other) => isSameRack(crashed, other) && areSimultaneous(crashed, other))]
  const jobSets = lostTogether.map(({ freshTasks }) => new Set(freshTasks.map(parseJob)))
  const [ownJobs = new Set<string>(), ...otherJobSets] = jobSets
  const hasCommonJob = [...ownJobs].some((job) => otherJobSets.every((jobs) => jobs.has(job)))
  const isRackLoss = jobSets.some((jobs) => jobs.size === 0) || (lostTogether.length >= MIN_RACK_LOSS_WORKERS && !hasCommonJob)
  if (isRackLoss) return new Map()
  const suspicion: CrashSuspicion = ownJobs.size === 1 ? 'sole' : 'shared'
  return new Map(crashed.freshTasks.map((task) => [task, suspicion]))
}

function parseJob (task: string): string {
  return parseTask(task)?.job ?? task
}

/** Workers without labels are not known to share a rack. */
function isSameRack (a: SilentWorker, b: SilentWorker): boolean {
  return a.labels.length > 0 && a.labels.length === b.labels.length && a.labels.every((label) => b.labels.includes(label))
}

/** Whether the spans between the last answer and the first silence overlap, so that both may have been lost at the same moment. */
function areSimultaneous (a: SilentWorker, b: SilentWorker): boolean {
  return a.answeredAt <= b.silentSince && b.answeredAt <= a.silentSince
}
