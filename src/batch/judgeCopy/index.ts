/**
 * Decides whether a running task gets a copy on another worker.
 *
 * Handles steps that allow copies and are held up by one task: its worker has stopped answering, so that without a copy the end of its
 * lease would be waited for, or the run takes several times as long as the others of its step.
 */
import type { Millis } from '../../clock/index.js'

/** One run of a task that allows copies. */
export interface ObservedRun {
  /** Whether the worker has left the last polls unanswered. */
  readonly isWorkerSilent: boolean
  /** Time since the run started, in ms. */
  readonly ranMs: Millis
  /** Progress that the worker reported last; -1 when it has reported none. */
  readonly percent: number
  /** Time since the percentage last changed, in ms. */
  readonly unchangedMs: Millis
  /** Usual run time of the other tasks of the step, in ms; null when too little is known. */
  readonly usualMs: Millis | null
}

/** Why a task gets a copy. */
export type CopyReason = 'silentWorker' | 'straggler'

/** A run is not judged slow before it has run for this many times the usual run time. */
const MIN_RUN_FACTOR = 1.5

/** Remaining time, as a factor of the usual run time, from which a copy is likely to finish first although it has to be started. */
const MIN_REMAINING_FACTOR = 1.5

/** The progress of a run is not judged before: workers report it with each long poll, at most 0.7 s apart. */
const MIN_RUN_MS: Millis = 900

const COMPLETE_PERCENT = 100

/**
 * Returns why a task should get a copy, or null when it should not.
 *
 * @param run - its only run
 */
export function judgeCopy ({ isWorkerSilent, ranMs, percent, unchangedMs, usualMs }: ObservedRun): CopyReason | null {
  if (isWorkerSilent) return 'silentWorker'
  if (usualMs === null || percent < 0 || percent >= COMPLETE_PERCENT) return null
  if (ranMs < Math.max(MIN_RUN_MS, usualMs * MIN_RUN_FACTOR)) return null
  return estimateRemaining({ ranMs, percent, unchangedMs }) > usualMs * MIN_REMAINING_FACTOR ? 'straggler' : null
}

/** Estimates how much longer a run takes if it goes on as it has done until its percentage changed last. */
function estimateRemaining ({ ranMs, percent, unchangedMs }: Pick<ObservedRun, 'ranMs' | 'percent' | 'unchangedMs'>): Millis {
  if (percent <= 0) return Number.POSITIVE_INFINITY
  const totalMs = (ranMs - unchangedMs) / (percent / COMPLETE_PERCENT)
  return Math.max(0, totalMs - ranMs)
}
