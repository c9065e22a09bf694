/** Dependencies of a member of the replicated log. */
import type { Clock, Millis } from '../../clock/index.js'
import type { ProcessClock } from '../../clock/processClock/index.js'
import type { CompactionLimits, ConsensusTimings, Member, PeerTransport, StateMachine, Store } from '../types.js'

/** Dependencies of {@link Replica}. */
export interface ReplicaDeps {
  readonly id: string
  readonly address: string
  readonly store: Store
  readonly machine: StateMachine
  readonly transport: PeerTransport
  readonly clock: Clock
  /**
   * Clock reading at the start of the process, which can have confirmed a leader right before. This member grants no pre-vote for an
   * election timeout after it. The start of the replica when omitted.
   */
  readonly startedAt?: Millis
  /** Clock whose readings this member adds to its answers to a leader; none by default. */
  readonly processClock?: ProcessClock
  readonly timings: ConsensusTimings
  readonly compaction: CompactionLimits
  /** Called while this member leads, with the first of the entries that a peer has left unanswered, and why. */
  readonly onPeerSilent?: (peer: Member, firstIndex: number, reason: string) => void
  /** Returns a number in [0, 1). */
  readonly random: () => number
  /** Called when storage has failed; the process must exit. */
  readonly onFatal: (err: unknown) => void
}
