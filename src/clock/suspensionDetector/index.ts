/** Notices time that the steady clock has not counted because the machine was suspended. */
import type { Clock, Millis } from '../index.js'

/** A wall clock that gains this much on the steady clock tells of a suspension, or of a step; in milliseconds. */
const SUSPENSION_THRESHOLD_MS = 60

/** Compares the steady clock with the wall clock. A step of the wall clock costs no more than a renewed confirmation. */
export class SuspensionDetector {
  readonly #clock: Clock
  #offset: number
  #lastJumpAt: Millis = Number.NEGATIVE_INFINITY

  /** @param clock - both clocks */
  constructor (clock: Clock) {
    this.#clock = clock
    this.#offset = clock.wall() - clock.now()
  }

  /**
   * Tells whether a moment on the steady clock can still be trusted as a beginning of a lease.
   *
   * @param since - reading of the steady clock
   * @returns false when the machine may have been suspended after that reading
   */
  isContinuousSince (since: Millis): boolean {
    const now = this.#clock.now()
    const offset = this.#clock.wall() - now
    if (offset - this.#offset > SUSPENSION_THRESHOLD_MS) this.#lastJumpAt = now
    this.#offset = offset
    return since > this.#lastJumpAt
  }
}
