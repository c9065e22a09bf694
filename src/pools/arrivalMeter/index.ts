/** Measures how much work arrives for a service, weighted towards the last half second. */
import type { Millis } from '../../clock/index.js'

/** Time constant of the exponential decay. */
const DECAY_MS: Millis = 500

/** Sum of arrivals that decays exponentially. */
export class ArrivalMeter {
  #sum = 0
  #updatedAt: Millis = 0

  /**
   * Adds an arrival.
   *
   * @param load - how long the work keeps one whole machine busy, in milliseconds
   * @param now - clock reading
   */
  add (load: number, now: Millis): void {
    this.#sum = this.#decayed(now) + load
    this.#updatedAt = now
  }

  /**
   * Returns how many machines are needed to keep up with the arrivals.
   *
   * @param now - clock reading
   */
  rate (now: Millis): number {
    return this.#decayed(now) / DECAY_MS
  }

  #decayed (now: Millis): number {
    return this.#sum * Math.exp(-(now - this.#updatedAt) / DECAY_MS)
  }
}
