/** When the lease of a worker's runs ends, on its clock and on ours. */
import type { Millis } from '../../clock/index.js'

/** A worker's steady clock runs at this share of real time at the slowest. */
const SLOWEST_CLOCK_RATE = 0.98

/** Allowance for late timers on both sides, in milliseconds. */
const TIMER_MARGIN_MS: Millis = 60

/** Follows one worker's clock by the readings in its answers. */
export class LeaseClock {
  #workerClockMs: Millis | null = null
  #observedAt: Millis = 0
  #latestExpiryMs: Millis = Number.NEGATIVE_INFINITY
  /** When a lease that an earlier leader gave is over at the latest, on our clock. */
  readonly #inheritedExpiresAt: Millis
  readonly #leaseMs: Millis

  /**
   * @param leaseMs - length of the leases that any leader gives
   * @param now - our clock
   */
  constructor (leaseMs: Millis, now: Millis) {
    this.#leaseMs = leaseMs
    this.#inheritedExpiresAt = now + leaseMs / SLOWEST_CLOCK_RATE + TIMER_MARGIN_MS
  }

  /**
   * Takes a reading of the worker's clock.
   *
   * @param workerClockMs - from an answer
   * @param receivedAt - our clock when the answer came
   */
  observe (workerClockMs: Millis, receivedAt: Millis): void {
    if (this.#workerClockMs === null) this.#latestExpiryMs = workerClockMs + this.#leaseMs
    else if (workerClockMs < this.estimate(receivedAt) && workerClockMs <= this.#workerClockMs) return
    this.#workerClockMs = workerClockMs
    this.#observedAt = receivedAt
  }

  get isKnown (): boolean {
    return this.#workerClockMs !== null
  }

  /**
   * Returns the worker's clock as far as it is known.
   *
   * @param now - our clock
   */
  estimate (now: Millis): Millis {
    return (this.#workerClockMs ?? 0) + (now - this.#observedAt)
  }

  /**
   * Returns the end of a lease that begins now, and remembers that it may be given.
   *
   * @param now - our clock
   * @param durationMs - length of the lease
   */
  grant (now: Millis, durationMs: Millis): Millis {
    const expiryMs = Math.floor(this.estimate(now) + durationMs)
    this.#latestExpiryMs = Math.max(this.#latestExpiryMs, expiryMs)
    return expiryMs
  }

  /** When everything that may have been granted is over, on our clock. */
  get expiresAt (): Millis {
    if (this.#workerClockMs === null) return this.#inheritedExpiresAt
    return this.#observedAt + (this.#latestExpiryMs - this.#workerClockMs) / SLOWEST_CLOCK_RATE + TIMER_MARGIN_MS
  }
}
