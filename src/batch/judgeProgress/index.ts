/**
 * Decides which runs to move to other workers because their worker is stalled or slow.
 *
 * Handles workers that stay reachable and renew their leases while their tasks make no progress, or a fraction of the usual
 * progress: every job with a task there would be late. A single slow task proves nothing, since estimates are far off;
 * only what all tasks of a worker have in common does.
 */
import type { Millis } from '../../clock/index.js'

/** Progress of one running task. */
export interface RunProgress {
  readonly task: string
  /** Names the job, occurrence and step; tasks of one step share the error of their estimate. */
  readonly stepKey: string
  readonly percent: number
  /** Time since the run started, in ms. */
  readonly ranMs: Millis
  /** Time since the percentage last changed, in ms. */
  readonly unchangedMs: Millis
  /** Expected run time on a healthy worker, in ms. */
  readonly expectedMs: Millis
}

/** Health of a worker by the progress of its runs. */
export interface ProgressAssessment {
  /** Whether the worker is healthy, makes no progress at all, or makes much less than expected. */
  readonly state: 'healthy' | 'stalled' | 'slow'
  /** Tasks to stop here, so that they start on other workers. */
  readonly tasksToStop: readonly string[]
}

/** Workers report progress with each long poll, at most 0.7 s apart; no change over two polls is a stall. */
const STALL_MS: Millis = 1500

/** Runs with less expected progress within {@link STALL_MS} prove no stall: an unchanged percentage is normal for them. */
const MIN_EXPECTED_PERCENT = 5

/** A worker is slow when, in the median of the steps, runs take this many times the expected time. */
const SLOW_FACTOR = 4

/** A worker with tasks of fewer steps is not judged slow: the estimate of a step may be off by up to three times. */
const MIN_STEPS = 3

/** The speed of a run is considered only after this run time. */
const MIN_RUN_MS: Millis = 900

/** On a slow worker, runs with at least this progress continue. */
const KEEP_RUNNING_PERCENT = 60

/** Progress of a run that is about to end, and of a long-running task that is at work. */
export const COMPLETE_PERCENT = 100

/**
 * Judges the health of one worker by the progress of its runs.
 *
 * @param runs - its runs, without those of long-running tasks, gangs and fillers
 */
export function judgeProgress (runs: readonly RunProgress[]): ProgressAssessment {
  const conclusive = runs.filter(({ percent, ranMs, expectedMs }) => percent < COMPLETE_PERCENT && ranMs >= STALL_MS && (STALL_MS / Math.max(1, expectedMs)) * COMPLETE_PERCENT >= MIN_EXPECTED_PERCENT)
  const hasNewRunWithProgress = runs.some(({ ranMs, percent }) => ranMs < STALL_MS && percent > 0)
  if (conclusive.length > 0 && !hasNewRunWithProgress && conclusive.every(({ unchangedMs }) => unchangedMs >= STALL_MS)) {
    return { state: 'stalled', tasksToStop: runs.map(({ task }) => task) }
  }
  const factorByStep = new Map<string, number>()
  for (const { stepKey, ranMs, percent, expectedMs } of runs) {
    if (ranMs < MIN_RUN_MS || expectedMs <= 0 || percent >= COMPLETE_PERCENT) continue
    const factor = ranMs / (Math.max(percent, 1) / COMPLETE_PERCENT) / expectedMs
    factorByStep.set(stepKey, Math.min(factor, factorByStep.get(stepKey) ?? Number.POSITIVE_INFINITY))
  }
  const factors = [...factorByStep.values()].sort((a, b) => a - b)
  const median = factors[Math.floor((factors.length - 1) / 2)] ?? 1
  if (factors.length < MIN_STEPS || median < SLOW_FACTOR) return { state: 'healthy', tasksToStop: [] }
  return { state: 'slow', tasksToStop: runs.filter(({ percent }) => percent < KEEP_RUNNING_PERCENT).map(({ task }) => task) }
}
