/**
 * Decides which runs go on elsewhere because their worker stands still or has become slow.
 *
 * Answers workers that are reachable and renew their leases while the tasks on them make no progress, or a fraction of
 * what is usual: waiting for them makes every job that has a task there late. A single slow task says nothing, since
 * estimates are far off; what all tasks of a worker have in common does.
 */
import type { Millis } from '../../clock/index.js'

/** One run that is at work. */
export interface RunProgress {
  readonly task: string
  /** Job, occurrence and step: the tasks of a step share the error of their estimate. */
  readonly stepKey: string
  readonly percent: number
  /** How long it has run, in ms. */
  readonly ranMs: Millis
  /** How long its percentage has not changed, in ms. */
  readonly unchangedMs: Millis
  /** How long it should take on a sound worker, in ms. */
  readonly expectedMs: Millis
}

/** What is wrong with a worker, and which of its runs go on elsewhere. */
export interface ProgressAssessment {
  readonly state: 'sound' | 'stalled' | 'slow'
  readonly tasksToStop: readonly string[]
}

/** Percentages are told with each look, 0.7 s apart at the most: no change over two looks is a standstill. */
const STALL_MS: Millis = 1500

/** Tasks that would not have moved by this much in that time tell nothing. */
const MIN_EXPECTED_PERCENT = 5

/** A worker is slow when the tasks of its steps take this many times as long as expected, in the median of the steps. */
const SLOW_FACTOR = 4

/** Fewest steps that tell of a slow worker: estimates are off by up to three times, by step. */
const MIN_STEPS = 3

/** A run must have lasted this long before its speed is judged. */
const MIN_RUN_MS: Millis = 900

/** On a slow worker, runs that are further than this go on. */
const KEEP_RUNNING_PERCENT = 60

const COMPLETE_PERCENT = 100

/**
 * Judges one worker.
 *
 * @param runs - its runs, without tasks that last or wait for a gang
 */
export function judgeProgress (runs: readonly RunProgress[]): ProgressAssessment {
  const conclusive = runs.filter(({ percent, ranMs, expectedMs }) => percent < COMPLETE_PERCENT && ranMs >= STALL_MS && (STALL_MS / Math.max(1, expectedMs)) * COMPLETE_PERCENT >= MIN_EXPECTED_PERCENT)
  const hasRecentStart = runs.some(({ ranMs, percent }) => ranMs < STALL_MS && percent > 0)
  if (conclusive.length > 0 && !hasRecentStart && conclusive.every(({ unchangedMs }) => unchangedMs >= STALL_MS)) {
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
  if (factors.length < MIN_STEPS || median < SLOW_FACTOR) return { state: 'sound', tasksToStop: [] }
  return { state: 'slow', tasksToStop: runs.filter(({ percent }) => percent < KEEP_RUNNING_PERCENT).map(({ task }) => task) }
}
