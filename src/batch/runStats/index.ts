/** What the leader learns from runs: how far estimates are off, how large jobs are, and which workers fail or are slow. */
import type { Millis } from '../../clock/index.js'

/** Weight of a new observation in a moving average. */
const MOVING_AVERAGE_WEIGHT = 0.1

/** Correction of estimates before anything is learned: tasks take longer than submitters say, more often than shorter. */
const INITIAL_CORRECTION = 1.3

/** Weight of a new observation in the correction: tasks of one step share their error, and many end together. */
const CORRECTION_WEIGHT = 0.05

/** Bounds of the learned correction of estimates. */
const MIN_CORRECTION = 0.3
const MAX_CORRECTION = 4

/** Failures of different tasks in a row after which a worker is on trial. */
const PROBATION_AFTER_FAILURES = 2

/** Pause between two trials, doubled with each that fails, in milliseconds. */
const INITIAL_PROBE_DELAY_MS: Millis = 600
const MAX_PROBE_DELAY_MS: Millis = 5000

interface WorkerHistory {
  consecutiveFailures: number
  lastFailureAt: Millis
  slowdown: number
}

/** Moving averages by queue and by worker, kept by the leader of a term. */
export class RunStats {
  readonly #corrections = new Map<string, number>()
  readonly #meanWork = new Map<string, number>()
  readonly #workers = new Map<string, WorkerHistory>()

  /**
   * Returns what estimates of a queue's tasks are to be multiplied by.
   *
   * @param queue - key of the queue
   */
  getEstimateCorrection (queue: string): number {
    return this.#corrections.get(queue) ?? INITIAL_CORRECTION
  }

  /**
   * Returns the mean work of a queue's jobs, in core-ms.
   *
   * @param queue - key of the queue
   */
  getMeanWork (queue: string): number {
    return this.#meanWork.get(queue) ?? 0
  }

  /**
   * Takes in an accepted job.
   *
   * @param queue - key of the queue
   * @param work - in core-ms
   */
  observeJob (queue: string, work: number): void {
    const previous = this.#meanWork.get(queue)
    this.#meanWork.set(queue, previous === undefined ? work : previous + MOVING_AVERAGE_WEIGHT * (work - previous))
  }

  /**
   * Takes in a run that has ended as done.
   *
   * @param queue - key of the queue
   * @param worker - key of the worker's life
   * @param estimateMs - the submitter's estimate
   * @param durationMs - how long it ran
   */
  observeCompletedRun (queue: string, worker: string, estimateMs: Millis, durationMs: Millis): void {
    const history = this.#getHistory(worker)
    history.consecutiveFailures = 0
    if (estimateMs <= 0) return
    const correction = this.getEstimateCorrection(queue)
    const ratio = durationMs / estimateMs
    history.slowdown += MOVING_AVERAGE_WEIGHT * 2 * (Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, ratio / correction)) - history.slowdown)
    const bounded = Math.min(MAX_CORRECTION, Math.max(MIN_CORRECTION, ratio))
    this.#corrections.set(queue, correction + CORRECTION_WEIGHT * (bounded - correction))
  }

  /**
   * Takes in a run that has failed, or a start that was refused for the worker's own reasons.
   *
   * @param worker - key of the worker's life
   * @param now - clock reading
   */
  observeFailedRun (worker: string, now: Millis): void {
    const history = this.#getHistory(worker)
    history.consecutiveFailures += 1
    history.lastFailureAt = now
  }

  /**
   * Takes in that a worker stands still or is much slower than others: it is on trial from now on.
   *
   * @param worker - key of the worker's life
   * @param now - clock reading
   */
  observeUnhealthyWorker (worker: string, now: Millis): void {
    const history = this.#getHistory(worker)
    history.consecutiveFailures = Math.max(history.consecutiveFailures + 1, PROBATION_AFTER_FAILURES + 1)
    history.lastFailureAt = now
  }

  /**
   * Returns how many starts a worker may be given now.
   *
   * @param worker - key of the worker's life
   * @param now - clock reading
   * @param runs - how many runs it has
   * @returns infinity for a sound worker, at most one for one that has failed lately
   */
  countAllowedStarts (worker: string, now: Millis, runs: number): number {
    const history = this.#workers.get(worker)
    if (history === undefined || history.consecutiveFailures < PROBATION_AFTER_FAILURES) return Number.POSITIVE_INFINITY
    const delayMs = Math.min(MAX_PROBE_DELAY_MS, INITIAL_PROBE_DELAY_MS * 2 ** (history.consecutiveFailures - PROBATION_AFTER_FAILURES))
    return runs === 0 && now - history.lastFailureAt >= delayMs ? 1 : 0
  }

  /** @param worker - key of the worker's life; the time that work takes there over what it takes elsewhere */
  getSlowdown (worker: string): number {
    return this.#workers.get(worker)?.slowdown ?? 1
  }

  /** @param worker - key of a worker's life that is over */
  forget (worker: string): void {
    this.#workers.delete(worker)
  }

  #getHistory (worker: string): WorkerHistory {
    let history = this.#workers.get(worker)
    if (history === undefined) {
      history = { consecutiveFailures: 0, lastFailureAt: Number.NEGATIVE_INFINITY, slowdown: 1 }
      this.#workers.set(worker, history)
    }
    return history
  }
}
