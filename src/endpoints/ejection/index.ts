/** Outlier ejection: stops sending to endpoints that fail consecutively, and readmits them after a successful probe. */
import type { Clock, Millis } from '../../clock/index.js'

/** Consecutive failures after which an endpoint is ejected. */
const EJECT_AFTER_FAILURES = 5

const MIN_EJECTION_MS = 1000
const MAX_EJECTION_MS = 30_000

/** Health of one endpoint as observed by one entry. The ejection time doubles with each further failure. */
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

  /** Whether the endpoint is ejected, including while a probe is in flight. */
  get isEjected (): boolean {
    return this.#ejections > 0
  }

  /** Whether a request may be sent to the endpoint: it is not ejected, or it is due for a probe. */
  get isAvailable (): boolean {
    if (!this.isEjected) return true
    return !this.#isProbing && this.#clock.now() >= this.#ejectedUntil
  }

  /** Records that a request is about to be sent. For an ejected endpoint the request is the probe. */
  beginRequest (): void {
    if (this.isEjected) this.#isProbing = true
  }

  /** Records a success, which readmits an ejected endpoint. */
  recordSuccess (): void {
    this.#failures = 0
    this.#ejections = 0
    this.#isProbing = false
  }

  /** Records that a probe ended without a result, for instance with a refusal. Another probe may follow immediately. */
  cancelProbe (): void {
    this.#isProbing = false
  }

  /**
   * Records a failure.
   *
   * @param mayEject - whether the cap on ejected endpoints allows another one
   * @returns whether this failure has ejected the endpoint
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
