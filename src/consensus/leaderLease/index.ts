/** The leader's lease: the time in which no other member can have become leader. */
import type { Clock, Millis } from '../../clock/index.js'
import { SuspensionDetector } from '../../clock/suspensionDetector/index.js'
import type { Replica } from '../replica/index.js'

/** Share of the minimum election timeout for which the lease is valid; leaves a margin for clock rates that differ by 2 %. */
const LEASE_SHARE_OF_ELECTION_TIMEOUT = 0.9

/** Decides whether a member may act as the leader at this moment. */
export class LeaderLease {
  readonly #replica: Replica
  readonly #clock: Clock
  readonly #guard: SuspensionDetector
  readonly #lengthMs: Millis

  /**
   * @param replica - the member
   * @param clock - source of time
   * @param electionMinMs - time after contact with a leader during which followers grant no pre-vote, in milliseconds
   */
  constructor (replica: Replica, clock: Clock, electionMinMs: Millis) {
    this.#replica = replica
    this.#clock = clock
    this.#guard = new SuspensionDetector(clock)
    this.#lengthMs = electionMinMs * LEASE_SHARE_OF_ELECTION_TIMEOUT
  }

  /**
   * Returns whether the lease is held. The result is valid only until the next asynchronous wait.
   *
   * @returns false when this member does not lead, has no recent confirmation by a quorum, or may have been suspended
   */
  isHeld (): boolean {
    const since = this.#replica.confirmedAt
    return this.#guard.isContinuousSince(since) && this.#clock.now() - since < this.#lengthMs
  }
}
