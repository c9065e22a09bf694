/** Sets endpoints aside that fail everything, and lets them back by a trial. */
import type { Clock, Millis } from '../../clock/index.js'

/** Failures in a row after which an endpoint is ejected. */
const EJECT_AFTER_FAILURES = 5

const MIN_EJECTION_MS = 1000
const MAX_EJECTION_MS = 30_000

/** Health of one endpoint as one entry has seen it. */
export class Ejection {
  readonly #clock: Clock
  #failures = 0
  #ejections = 0
  #ejectedUntil: Millis = 0
  #isProbing = false

  /** @param clock - source of time */
  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Whether the endpoint is set aside, a trial under way included. */
  get isEjected (): boolean {
    return this.#ejections > 0
  }

  /** Whether a request may go to the endpoint. */
  get isAvailable (): boolean {
    if (!this.isEjected) return true
    return !this.#isProbing && this.#clock.now() >= this.#ejectedUntil
  }

  /** Takes in that a request is sent; for an ejected endpoint this is its trial. */
  beginRequest (): void {
    if (this.isEjected) this.#isProbing = true
  }

  /** Takes in a success. */
  recordSuccess (): void {
    this.#failures = 0
    this.#ejections = 0
    this.#isProbing = false
  }

  /** Takes in that a trial ended without telling anything, for instance by a refusal. */
  cancelProbe (): void {
    this.#isProbing = false
  }

  /**
   * Takes in a failure.
   *
   * @param mayEject - whether the cap on ejected endpoints has room
   * @returns whether the endpoint is newly ejected
   */
  recordFailure (mayEject: boolean): boolean {
    this.#failures += 1
    if (!this.isEjected && (this.#failures < EJECT_AFTER_FAILURES || !mayEject)) return false
    const isNew = !this.isEjected
    this.#isProbing = false
    this.#ejectedUntil = this.#clock.now() + Math.min(MAX_EJECTION_MS, MIN_EJECTION_MS * 2 ** this.#ejections)
    this.#ejections += 1
    return isNew
  }
}
