/** Measures how much work arrives, weighted towards the last moments. */
import type { Millis } from '../../clock/index.js'

/** Usual time constant of the exponential decay. */
const DECAY_MS: Millis = 500

/** Sum of arrivals that decays exponentially. */
export class ArrivalMeter {
  readonly #decayMs: Millis
  #sum = 0
  #updatedAt: Millis = 0

  /** @param decayMs - time constant of the decay, in milliseconds: longer is steadier, and later */
  constructor (decayMs: Millis = DECAY_MS) {
    this.#decayMs = decayMs
  }

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
    return this.#decayed(now) / this.#decayMs
  }

  #decayed (now: Millis): number {
    return this.#sum * Math.exp(-(now - this.#updatedAt) / this.#decayMs)
  }
}
