/** Statistics of past runs: accuracy of estimates, size of jobs, and failures and slowdown of workers. */
import type { Millis } from '../../clock/index.js'

const MOVING_AVERAGE_WEIGHT = 0.1

/** Correction without any observation: submitters underestimate run times more often than they overestimate them. */
const INITIAL_CORRECTION = 1.3

/** Low, because many tasks of one step share the error of their estimate and end at about the same time. */
const CORRECTION_WEIGHT = 0.05

/** Bounds of an observed ratio of run time to estimate. */
const MIN_CORRECTION = 0.3
const MAX_CORRECTION = 4

/** Consecutive failures after which a worker is on probation, where those of one job count once while it has failed everywhere. */
const PROBATION_AFTER_FAILURES = 2

/**
 * Back-off before a worker on probation gets a probe task; doubled with each further failure. While all workers of a pool are on probation,
 * a job that has nothing running waits for the next probe, which it may do for less than 3 s.
 */
const INITIAL_PROBE_DELAY_MS: Millis = 600
const MAX_PROBE_DELAY_MS: Millis = 2000

/** A probe that has not ended after this time, such as a long-running task, holds up the next one no longer. */
const PROBE_TIMEOUT_MS: Millis = 2000

interface WorkerHistory {
  consecutiveFailures: number
  /** Jobs with failures here since the last run in order. */
  readonly failedJobs: Set<string>
  lastFailureAt: Millis
  /** When the last task was placed here during the probation. */
  probedAt: Millis
  /** Moving average of the run time here divided by the expected run time. */
  slowdown: number
}

/** A run that has failed. */
export interface FailedRun {
  readonly job: string
  /** Whether tasks of the same step have ended as done. */
  readonly isStepProven: boolean
}

/** Moving averages by queue and failure history by worker, kept by the leader for one term. */
export class RunStats {
  readonly #corrections = new Map<string, number>()
  readonly #meanWork = new Map<string, number>()
  readonly #workers = new Map<string, WorkerHistory>()

  /**
   * Returns the factor to apply to the submitter's estimates of a queue's tasks.
   *
   * @param queue - key of the queue
   */
  getEstimateCorrection (queue: string): number {
    return this.#corrections.get(queue) ?? INITIAL_CORRECTION
  }

  /**
   * Returns the mean work of a queue's jobs, in core-ms; 0 before the first job.
   *
   * @param queue - key of the queue
   */
  getMeanWork (queue: string): number {
    return this.#meanWork.get(queue) ?? 0
  }

  /**
   * Records an accepted job.
   *
   * @param queue - key of the queue
   * @param work - work of the job, in core-ms
   */
  observeJob (queue: string, work: number): void {
    const previous = this.#meanWork.get(queue)
    this.#meanWork.set(queue, previous === undefined ? work : previous + MOVING_AVERAGE_WEIGHT * (work - previous))
  }

  /**
   * Returns whether a worker has failed runs and none in order since.
   *
   * @param worker - key of the worker's incarnation
   */
  hasFailures (worker: string): boolean {
    return (this.#workers.get(worker)?.consecutiveFailures ?? 0) > 0
  }

  /**
   * Records that a run on a worker is in order: it ended as done, or it is long-running and at work. Ends the probation of a worker unless it has
   * failed a run since.
   *
   * @param worker - key of the worker's incarnation
   * @param startedAt - clock reading when the run started; left out for a run that has ended now
   */
  observeSoundRun (worker: string, startedAt: Millis = Number.POSITIVE_INFINITY): void {
    const history = this.#workers.get(worker)
    if (history === undefined || startedAt <= history.lastFailureAt) return
    history.consecutiveFailures = 0
    history.failedJobs.clear()
  }

  /**
   * Records the run time of a run that ended as done.
   *
   * @param queue - key of the queue
   * @param worker - key of the worker's incarnation
   * @param estimateMs - the submitter's estimate, in ms
   * @param durationMs - run time, in ms
   */
  observeCompletedRun (queue: string, worker: string, estimateMs: Millis, durationMs: Millis): void {
    if (estimateMs <= 0) return
    const history = this.#getHistory(worker)
    const correction = this.getEstimateCorrection(queue)
    const ratio = durationMs / estimateMs
    history.slowdown += MOVING_AVERAGE_WEIGHT * 2 * (Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, ratio / correction)) - history.slowdown)
    const bounded = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, ratio))
    this.#corrections.set(queue, correction + CORRECTION_WEIGHT * (bounded - correction))
  }

  /**
   * Records a failed run. A job that can't be done fails wherever it runs, so that its failures count once against a worker; those of a step
   * of which other tasks are done count each.
   *
   * @param worker - key of the worker's incarnation
   * @param run - id of the job, and whether tasks of the same step have ended as done
   * @param now - clock reading
   */
  observeFailedRun (worker: string, { job, isStepProven }: FailedRun, now: Millis): void {
    const history = this.#getHistory(worker)
    if (isStepProven || !history.failedJobs.has(job)) history.consecutiveFailures += 1
    history.failedJobs.add(job)
    history.lastFailureAt = now
  }

  /**
   * Records that a worker is stalled or much slower than others, which puts it on probation.
   *
   * @param worker - key of the worker's incarnation
   * @param now - clock reading
   */
  observeUnhealthyWorker (worker: string, now: Millis): void {
    const history = this.#getHistory(worker)
    history.consecutiveFailures = Math.max(history.consecutiveFailures + 1, PROBATION_AFTER_FAILURES + 1)
    history.lastFailureAt = now
  }

  /**
   * Records that a task was placed on a worker, which is a probe while the worker is on probation.
   *
   * @param worker - key of the worker's incarnation
   * @param now - clock reading
   */
  observePlacement (worker: string, now: Millis): void {
    const history = this.#workers.get(worker)
    if (history !== undefined && isOnProbation(history)) history.probedAt = now
  }

  /**
   * Returns how many tasks may start on a worker now.
   *
   * @param worker - key of the worker's incarnation
   * @param now - clock reading
   * @returns infinity for a healthy worker; on probation 1 when a probe is due, otherwise 0
   */
  countAllowedStarts (worker: string, now: Millis): number {
    const history = this.#workers.get(worker)
    if (history === undefined || !isOnProbation(history)) return Number.POSITIVE_INFINITY
    const { consecutiveFailures, lastFailureAt, probedAt } = history
    const delayMs = Math.min(MAX_PROBE_DELAY_MS, INITIAL_PROBE_DELAY_MS * 2 ** (consecutiveFailures - PROBATION_AFTER_FAILURES))
    const isProbeOpen = probedAt > lastFailureAt && now - probedAt < PROBE_TIMEOUT_MS
    return !isProbeOpen && now - lastFailureAt >= delayMs ? 1 : 0
  }

  /**
   * Returns the run time on a worker divided by the usual run time; 1 without observations.
   *
   * @param worker - key of the worker's incarnation
   */
  getSlowdown (worker: string): number {
    return this.#workers.get(worker)?.slowdown ?? 1
  }

  /**
   * Drops the history of a worker that is gone.
   *
   * @param worker - key of the worker's incarnation
   */
  forget (worker: string): void {
    this.#workers.delete(worker)
  }

  #getHistory (worker: string): WorkerHistory {
    let history = this.#workers.get(worker)
    if (history === undefined) {
      history = { consecutiveFailures: 0, failedJobs: new Set(), lastFailureAt: Number.NEGATIVE_INFINITY, probedAt: Number.NEGATIVE_INFINITY, slowdown: 1 }
      this.#workers.set(worker, history)
    }
    return history
  }
}

function isOnProbation ({ consecutiveFailures }: WorkerHistory): boolean {
  return consecutiveFailures >= PROBATION_AFTER_FAILURES
}
