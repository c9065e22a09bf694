/** Seeded random numbers for tests. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** Reproducible stream of pseudo-random numbers. */
export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>

  /** @param seed - selects the stream */
  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** Returns a number in [0, 1). */
  next (): number {
    return uniformFloat64(this.#generator)
  }

  /**
   * Returns an integer in [0, bound).
   *
   * @param bound - exclusive upper bound
   */
  nextInt (bound: number): number {
    return Math.floor(this.next() * bound)
  }

  /**
   * Returns a number between two bounds.
   *
   * @param bounds - lower bound, and upper bound, which is exclusive
   */
  nextBetween ([min, max]: readonly [min: number, max: number]): number {
    return min + this.next() * (max - min)
  }

  /**
   * Returns whether an event with a probability occurs. Draws no number when it can't.
   *
   * @param probability - 0 to 1
   */
  isBelow (probability: number): boolean {
    return probability > 0 && this.next() < probability
  }
}
