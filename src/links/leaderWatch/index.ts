/** Notices early that the leader no longer answers, so that requests find its successor as soon as there is one. */
import type { Clock, Millis } from '../../clock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import type { LeaderClient } from '../leaderClient/index.js'

/** The leader must have answered this recently, and answer a ping this soon, for its loss to be noticed before a successor is elected. */
export const MAX_SILENCE_MS: Millis = 250
const PING_TIMEOUT_MS: Millis = 450

/** Answers to pings also bring the members of the group, which change when a member is replaced. */
export const MAX_PING_INTERVAL_MS: Millis = 1000

/** Pings the leader unless its answers to other requests already show that it is there. */
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
      if (now - this.#leaderClient.lastAnswerAt >= MAX_SILENCE_MS || now - pingedAt >= MAX_PING_INTERVAL_MS) {
        pingedAt = now
        const answer = await this.#leaderClient.ask({ kind: 'ping' }, now + PING_TIMEOUT_MS)
        isReached = answer.kind !== 'unanswered'
        if (answer.kind === 'unanswered') reason = answer.reason
      }
      if (isReached !== wasReached) this.#log.info(isReached ? 'leader.reached' : 'leader.lost', { leader: this.#leaderClient.leader, reason })
      wasReached = isReached
      const silentMs = isReached ? this.#clock.now() - this.#leaderClient.lastAnswerAt : 0
      await this.#clock.sleep(Math.max(1, MAX_SILENCE_MS - silentMs), signal)
    }
  }
}
