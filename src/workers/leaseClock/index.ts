/** Computes when the lease of a worker's runs expires, on the worker's clock and on the leader's. */
import type { Millis } from '../../clock/index.js'
import type { WorkerReading } from '../attributeAnswer/index.js'
import { CLOCK_MARGIN_MS, RELAY_MARGIN_MS, SLOWEST_CLOCK_RATE } from '../constants.js'

/**
 * Returns for how long a lease may last at most.
 *
 * @param leaseMs - its duration on the worker's clock, in milliseconds
 * @returns its longest duration on the leader's clock, in milliseconds
 */
export function computeLongestDuration (leaseMs: Millis): Millis {
  return leaseMs / SLOWEST_CLOCK_RATE + CLOCK_MARGIN_MS
}

/** Estimates one worker's clock from the readings in its answers, and records the leases that the worker may hold. */
export class LeaseClock {
  #workerClockMs: Millis | null = null
  #observedAt: Millis = 0
  /** Latest time, on the worker's clock, at which a lease that it may hold expires. */
  #latestExpiryMs: Millis = Number.NEGATIVE_INFINITY
  #lastArrivalAt: Millis = Number.NEGATIVE_INFINITY
  /** Latest time, on the leader's clock, at which a lease from an earlier leader expires. */
  readonly #inheritedExpiresAt: Millis
  readonly #leaseMs: Millis

  /**
   * @param leaseMs - longest duration of a lease that the worker may hold from before, in milliseconds
   * @param now - reading of the leader's clock
   */
  constructor (leaseMs: Millis, now: Millis) {
    this.#leaseMs = leaseMs
    this.#inheritedExpiresAt = now + computeLongestDuration(leaseMs)
  }

  /**
   * Records a reading of the worker's clock, unless a later answer has overtaken it.
   *
   * @param workerClockMs - reading of the worker's clock in an answer
   * @param receivedAt - reading of the leader's clock when the answer arrived
   */
  observe (workerClockMs: Millis, receivedAt: Millis): void {
    if (this.#workerClockMs === null) this.#latestExpiryMs = workerClockMs + this.#leaseMs
    else if (workerClockMs < this.estimate(receivedAt) && workerClockMs <= this.#workerClockMs) return
    this.#workerClockMs = workerClockMs
    this.#observedAt = receivedAt
  }

  /** Whether the worker has given a reading of its clock. */
  get isKnown (): boolean {
    return this.#workerClockMs !== null
  }

  /** The newest reading, or null before the first one. */
  get reading (): WorkerReading | null {
    return this.#workerClockMs === null ? null : { workerClockMs: this.#workerClockMs, observedAt: this.#observedAt }
  }

  /**
   * Estimates the worker's clock.
   *
   * @param now - reading of the leader's clock
   * @returns the estimated reading, in milliseconds
   */
  estimate (now: Millis): Millis {
    return (this.#workerClockMs ?? 0) + (now - this.#observedAt)
  }

  /**
   * Records a lease that begins now. It counts from here on, whether or not it reaches the worker.
   *
   * @param now - reading of the leader's clock
   * @param durationMs - duration of the lease, in milliseconds
   * @param timeoutMs - time-out of the call that carries it, in milliseconds
   * @returns when it expires, on the worker's clock
   */
  grant (now: Millis, durationMs: Millis, timeoutMs: Millis): Millis {
    this.#lastArrivalAt = Math.max(this.#lastArrivalAt, now + timeoutMs + RELAY_MARGIN_MS)
    const expiryMs = Math.floor(this.estimate(now) + durationMs)
    this.#latestExpiryMs = Math.max(this.#latestExpiryMs, expiryMs)
    return expiryMs
  }

  /** Latest time, on the leader's clock, at which the last call with a lease can have arrived unless it was delayed. */
  get lastArrivalAt (): Millis {
    return this.#lastArrivalAt
  }

  /** When every lease that may have been granted has expired, on the leader's clock. */
  get expiresAt (): Millis {
    if (this.#workerClockMs === null) return this.#inheritedExpiresAt
    return this.#observedAt + computeLongestDuration(this.#latestExpiryMs - this.#workerClockMs)
  }
}
