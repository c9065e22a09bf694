/** Logs the calls that were refused for their key, whatever their number: one line a second at most. */
import type { Clock, Millis } from '../../clock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'

const MIN_INTERVAL_MS: Millis = 1000

/** Counts refused calls between two lines. */
export class RefusalLog {
  readonly #clock: Clock
  readonly #log: EventLog
  #loggedAt: Millis = Number.NEGATIVE_INFINITY
  #count = 0

  /**
   * @param clock - source of time
   * @param log - receives the lines
   */
  constructor (clock: Clock, log: EventLog) {
    this.#clock = clock
    this.#log = log
  }

  /**
   * Records a refused call. The line has the number of calls since the line before it, and the queue of the last one.
   *
   * @param queue - name of the queue that was called
   * @param hasKey - whether the call carried a key
   */
  record (queue: string, hasKey: boolean): void {
    this.#count += 1
    const now = this.#clock.now()
    if (now - this.#loggedAt < MIN_INTERVAL_MS) return
    this.#log.info('calls.refused', { count: this.#count, queue, reason: hasKey ? 'the key is unknown' : 'the call has no key' })
    this.#loggedAt = now
    this.#count = 0
  }
}
