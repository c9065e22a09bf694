/** Seeded random numbers for tests. */
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'

/** A stream of numbers that its seed repeats. */
export class Random {
  readonly #generator: ReturnType<typeof xoroshiro128plus>

  /** @param seed - names the stream */
  constructor (seed: number) {
    this.#generator = xoroshiro128plus(seed)
  }

  /** Returns a number in [0, 1). */
  next (): number {
    return uniformFloat64(this.#generator)
  }

  /** @param bound - returns a whole number below it */
  nextInt (bound: number): number {
    return Math.floor(this.next() * bound)
  }
}
