/**
 * Bounds the moment at which a worker crashed that answers no more.
 *
 * Handles answers that are lost on their way: a poll without an answer doesn't tell whether the worker was gone when the answer was due or
 * crashed later.
 */
import type { Clock, Millis } from '../../clock/index.js'
import { POLL_TIMEOUT_MS } from '../constants.js'

/** A poll that the worker has not answered yet. */
export interface OpenPoll {
  /** Clock reading by which a live worker would have answered. */
  readonly dueAt: Millis
}

/** A live worker answers within milliseconds; an answer that is later than this is missing. */
const OVERDUE_MS: Millis = 100

/** One answer may be lost; this many in a row show that the worker was gone when they were due. */
const MIN_MISSING_ANSWERS = 2

/** Records the polls of one incarnation that were not answered since its last answer. */
export class CrashWindow {
  readonly #clock: Clock
  readonly #openPolls = new Set<OpenPoll>()
  /** When the answers that did not come were due. */
  #missedDues: Millis[] = []
  #brokenAt: Millis = Number.POSITIVE_INFINITY

  /** @param clock - source of time */
  constructor (clock: Clock) {
    this.#clock = clock
  }

  /**
   * Records that a poll is sent.
   *
   * @param waitMs - how long the worker may hold it
   */
  open (waitMs: Millis): OpenPoll {
    const poll: OpenPoll = { dueAt: this.#clock.now() + waitMs }
    this.#openPolls.add(poll)
    return poll
  }

  /** @param poll - a poll that the worker has answered */
  recordAnswer (poll: OpenPoll): void {
    this.#openPolls.delete(poll)
    this.#missedDues = []
    this.#brokenAt = Number.POSITIVE_INFINITY
  }

  /**
   * Records that a poll has failed. Before its time-out that is a broken connection, which a crashing worker leaves at once.
   *
   * @param poll - the poll
   */
  recordFailure (poll: OpenPoll): void {
    if (!this.#openPolls.delete(poll)) return
    const now = this.#clock.now()
    if (now < poll.dueAt + POLL_TIMEOUT_MS) this.#brokenAt = Math.min(this.#brokenAt, now)
    else this.#missedDues.push(poll.dueAt)
  }

  /** Clock reading by which the worker had crashed if it is gone; infinity while too little is known. */
  get crashedBy (): Millis {
    const now = this.#clock.now()
    const overdue = [...this.#openPolls].map(({ dueAt }) => dueAt).filter((dueAt) => now - dueAt > OVERDUE_MS)
    const dues = [...this.#missedDues, ...overdue].sort((a, b) => a - b)
    return Math.min(this.#brokenAt, dues[MIN_MISSING_ANSWERS - 1] ?? Number.POSITIVE_INFINITY)
  }
}
