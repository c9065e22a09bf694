/** The leader's lease: the time in which no other member can have become leader. */
import type { Clock, Millis } from '../../clock/index.js'
import { SuspensionDetector } from '../../clock/suspensionDetector/index.js'
import type { Replica } from '../replica/index.js'

/** Share of the followers' patience that the leader relies on: steady clocks may differ by 2 %. */
const SAFE_SHARE = 0.9

/** Tells whether a member may act as the leader at this moment. */
export class ConfirmedLease {
  readonly #replica: Replica
  readonly #clock: Clock
  readonly #guard: SuspensionDetector
  readonly #lengthMs: Millis

  /**
   * @param replica - the member
   * @param clock - source of time
   * @param electionMinMs - how long followers that have heard a leader refuse votes to others
   */
  constructor (replica: Replica, clock: Clock, electionMinMs: Millis) {
    this.#replica = replica
    this.#clock = clock
    this.#guard = new SuspensionDetector(clock)
    this.#lengthMs = electionMinMs * SAFE_SHARE
  }

  /**
   * Tells whether the lease holds. Must be asked again after every wait.
   *
   * @returns false when this member does not lead, or has not heard from a quorum lately, or may have been suspended
   */
  holds (): boolean {
    const since = this.#replica.confirmedAt
    return this.#guard.isContinuousSince(since) && this.#clock.now() - since < this.#lengthMs
  }
}
