/** Notices early that the leader no longer answers, so that requests find its successor as soon as there is one. */
import type { Clock, Millis } from '../../clock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import type { LeaderClient } from '../leaderClient/index.js'

/** A leader that leaves a request unanswered for this long, and then a ping, is lost; that is noticed before a successor is elected. */
export const MAX_SILENCE_MS: Millis = 250
const PING_TIMEOUT_MS: Millis = 450
const CHECK_INTERVAL_MS: Millis = 125

/**
 * Interval of the pings of an idle process, which show that it is ready to serve. Their answers also bring the members of the
 * group, which change when a member is replaced. Every entry process pings the one leader, so the interval is long.
 */
export const MAX_PING_INTERVAL_MS: Millis = 1000

/** Pings the leader when requests wait for it, unless its answers to other requests already show that it is there. */
export class LeaderWatch {
  readonly #leaderClient: LeaderClient
  readonly #clock: Clock
  readonly #log: EventLog

  /**
   * @param leaderClient - sends the pings and knows when the leader answered last
   * @param clock - source of time
   * @param log - receives one line whenever the leader is reached again or lost
   */
  constructor (leaderClient: LeaderClient, clock: Clock, log: EventLog) {
    this.#leaderClient = leaderClient
    this.#clock = clock
    this.#log = log
  }

  /**
   * Watches the leader until aborted.
   *
   * @param signal - ends the watch
   */
  async run (signal?: AbortSignal): Promise<void> {
    let wasReached = false
    let pingedAt = Number.NEGATIVE_INFINITY
    while (!(signal?.aborted ?? false)) {
      const now = this.#clock.now()
      let isReached = true
      let reason: string | undefined
      const isSilent = now - this.#leaderClient.lastAnswerAt >= MAX_SILENCE_MS
      const isAnswerMissing = !wasReached || now - this.#leaderClient.waitingSince >= MAX_SILENCE_MS
      if ((isSilent && isAnswerMissing) || now - pingedAt >= MAX_PING_INTERVAL_MS) {
        pingedAt = now
        const answer = await this.#leaderClient.ask({ kind: 'ping' }, now + PING_TIMEOUT_MS)
        isReached = answer.kind !== 'unanswered'
        if (answer.kind === 'unanswered') reason = answer.reason
      }
      if (isReached !== wasReached) this.#log.info(isReached ? 'leader.reached' : 'leader.lost', { leader: this.#leaderClient.leader, reason })
      wasReached = isReached
      await this.#clock.sleep(CHECK_INTERVAL_MS, signal)
    }
  }
}
