/** Detects suspensions of the machine, during which the monotonic clock stands still. */
import type { Clock, Millis } from '../index.js'

/** A wall clock that gains more than this on the monotonic clock indicates a suspension, or that it was set forward. */
const JUMP_MS = 60

/**
 * Detects suspensions by comparing the monotonic clock with the wall clock. A wall clock that is set forward is taken for a
 * suspension too, which costs no more than a renewed confirmation of a lease.
 */
export class SuspensionDetector {
  readonly #clock: Clock
  #offset: number
  #jumpedAt: Millis = Number.NEGATIVE_INFINITY
  #suspendedMs: Millis = 0

  /** @param clock - source of the monotonic and the wall-clock time */
  constructor (clock: Clock) {
    this.#clock = clock
    this.#offset = clock.wall() - clock.now()
  }

  /**
   * Returns whether the monotonic clock has run without a suspension since a reading, so that a lease may start there.
   *
   * @param since - reading of the monotonic clock
   * @returns false when the machine may have been suspended after that reading
   */
  isContinuousSince (since: Millis): boolean {
    this.#detect()
    return since > this.#jumpedAt
  }

  /** Total time of all suspensions so far, which the monotonic clock has not counted. */
  get suspendedMs (): Millis {
    this.#detect()
    return this.#suspendedMs
  }

  #detect (): void {
    const now = this.#clock.now()
    const offset = this.#clock.wall() - now
    const gain = offset - this.#offset
    if (gain > JUMP_MS) {
      this.#jumpedAt = now
      this.#suspendedMs += gain
    }
    this.#offset = offset
  }
}
