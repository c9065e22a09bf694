/** Estimates the clock of another process from the readings in its answers. */
import type { Clock, Millis } from '../index.js'
import type { ClockReading } from '../processClock/index.js'

/** Maximum difference between the rates of two clocks. */
const MAX_DRIFT = 0.02

/**
 * A lower bound of the clock of another process. An answer may be delayed for any time, but is never received before the reading in
 * it was taken, so the other clock has reached at least that reading.
 */
export class RemoteClock {
  readonly #clock: Clock
  #process: number | null = null
  /** Largest known difference between the other clock and this one that is certainly not too large, as of the reading below. */
  #offset: Millis = Number.NEGATIVE_INFINITY
  #recordedAt: Millis = 0

  /** @param clock - monotonic clock of this process */
  constructor (clock: Clock) {
    this.#clock = clock
  }

  /**
   * Records a reading in an answer that has just been received.
   *
   * @param reading - reading of the other clock
   */
  record ({ process, ms }: ClockReading): void {
    const now = this.#clock.now()
    const offset = ms - now
    if (process === this.#process && offset <= this.#offsetAt(now)) return
    this.#process = process
    this.#offset = offset
    this.#recordedAt = now
  }

  /**
   * Translates a time to the other clock.
   *
   * @param at - reading of this clock, not earlier than the last recorded one
   * @returns a reading that the other clock reaches no later than at that time, or null while none was recorded
   */
  translate (at: Millis): ClockReading | null {
    return this.#process === null ? null : { process: this.#process, ms: at + this.#offsetAt(at) }
  }

  #offsetAt (at: Millis): Millis {
    return this.#offset - (at - this.#recordedAt) * MAX_DRIFT
  }
}
