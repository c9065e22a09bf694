/** Tracks whether a worker answers its long polls. */
import type { Clock, Millis } from '../../clock/index.js'
import { MAX_RETRY_DELAY_MS, POLL_TIMEOUT_MS, POLL_WAIT_MS, RETRY_DELAY_INCREMENT_MS } from '../constants.js'

/** Tells whether a long poll was sent before or after an answer was last required. */
export interface PollTicket {
  readonly requirement: number
}

/** Records the answers and the failures of one incarnation's long polls. */
export class WorkerContact {
  readonly #clock: Clock
  #answeredAt: Millis = Number.NEGATIVE_INFINITY
  /** Time since the last answer after which the worker counts as unresponsive: that of the current long poll with its time-out. */
  #unresponsiveAfterMs: Millis = POLL_WAIT_MS + POLL_TIMEOUT_MS
  #consecutiveFailures = 0
  #silentSince: Millis | null = null
  /** How often an answer to a later long poll was required, and the last requirement that was met. */
  #requirement = 0
  #metRequirement = 0

  /** @param clock - source of time */
  constructor (clock: Clock) {
    this.#clock = clock
  }

  /** Long polls in a row that failed. */
  get consecutiveFailures (): number {
    return this.#consecutiveFailures
  }

  /** Time since the last answer, in milliseconds; infinite before the first one. */
  get unresponsiveMs (): Millis {
    return this.#clock.now() - this.#answeredAt
  }

  /** Clock reading of the last answer; minus infinity before the first one. */
  get answeredAt (): Millis {
    return this.#answeredAt
  }

  /** Clock reading of the first long poll that failed since the last answer; null while the worker answers. */
  get silentSince (): Millis | null {
    return this.#silentSince
  }

  /** Whether no long poll was answered or has failed yet. */
  get isUntried (): boolean {
    return this.#answeredAt === Number.NEGATIVE_INFINITY && this.#consecutiveFailures === 0
  }

  /** Whether the worker may be gone and has not yet answered a long poll that was sent since. */
  get isAnswerRequired (): boolean {
    return this.#metRequirement < this.#requirement
  }

  /** Whether the worker must answer a short poll before its lease is renewed, run ends are acknowledged and runs are started. */
  get isInDoubt (): boolean {
    return !this.isResponsive || this.#consecutiveFailures > 0
  }

  /** Whether the worker has answered recently. */
  get isResponsive (): boolean {
    return !this.isAnswerRequired && this.#clock.now() - this.#answeredAt < this.#unresponsiveAfterMs
  }

  /** Time to wait before the next poll after a failure, in milliseconds. */
  get retryDelayMs (): Millis {
    return Math.min(MAX_RETRY_DELAY_MS, RETRY_DELAY_INCREMENT_MS * this.#consecutiveFailures)
  }

  /** Counts the worker as unresponsive until it answers a long poll that is sent from now on: it may be gone. */
  requireNewAnswer (): void {
    this.#requirement += 1
  }

  /**
   * Records that a long poll is sent.
   *
   * @param waitMs - how long the worker may hold it
   * @returns what {@link recordAnswer} needs
   */
  recordPoll (waitMs: Millis): PollTicket {
    if (waitMs > 0) this.#unresponsiveAfterMs = waitMs + POLL_TIMEOUT_MS
    return { requirement: this.#requirement }
  }

  /**
   * Records the answer to a long poll.
   *
   * @param ticket - returned when the poll was sent
   */
  recordAnswer ({ requirement }: PollTicket): void {
    this.#answeredAt = this.#clock.now()
    this.#metRequirement = Math.max(this.#metRequirement, requirement)
    this.#consecutiveFailures = 0
    this.#silentSince = null
  }

  /** Records that a long poll has failed. */
  recordFailure (): void {
    this.#consecutiveFailures += 1
    this.#silentSince ??= this.#clock.now()
  }
}
