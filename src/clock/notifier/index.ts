/** Wakes waiting callers when something has changed. */
import type { Clock, Millis } from '../index.js'

/** Counts notifications, so that a caller that waits beyond the count it has seen misses none between check and wait. */
export class Notifier {
  #count = 0
  #waiting = new Set<() => void>()
  readonly #clock: Clock

  /** @param clock - source of time for the limits of waits */
  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Number of calls of {@link notify}. */
  get count (): number {
    return this.#count
  }

  /** Increments the count and ends all pending waits. */
  notify (): void {
    this.#count += 1
    const waiting = this.#waiting
    this.#waiting = new Set()
    for (const wake of waiting) wake()
  }

  /**
   * Waits until the count exceeds a given value, for a limited time.
   *
   * @param seen - count at the last check by the caller
   * @param ms - maximum wait in milliseconds
   * @param signal - ends the wait early
   */
  waitBeyond (seen: number, ms: Millis, signal?: AbortSignal): Promise<void> {
    if (this.#count > seen || signal?.aborted === true || ms <= 0) return Promise.resolve()
    return new Promise((resolve) => {
      const finish = (): void => {
        cancel()
        this.#waiting.delete(finish)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const cancel = this.#clock.after(ms, finish)
      this.#waiting.add(finish)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }
}
