/** State that a member keeps only while it leads: the progress of its peers and the confirmation by a quorum. */
import type { Clock, Millis } from '../../clock/index.js'
import type { Notifier } from '../../clock/notifier/index.js'
import type { RemoteClock } from '../../clock/remoteClock/index.js'
import { MAX_PROMOTION_LAG_ENTRIES } from '../constants.js'
import { quorumValue } from '../membership/index.js'
import { PeerReplication } from '../replication/index.js'
import type { ReplicaState } from '../replica/state.js'
import type { ConsensusTimings, Member, PeerTransport, Snapshot } from '../types.js'

/** Dependencies of {@link Leadership}. */
export interface LeadershipDeps {
  readonly state: ReplicaState
  readonly clock: Clock
  readonly transport: PeerTransport
  readonly timings: ConsensusTimings
  readonly wake: Notifier
  readonly snapshot: () => Snapshot | null
  readonly onAcknowledged: () => void
  readonly onFatal: (err: unknown) => void
  readonly onPeerSilent?: ((peer: Member, firstIndex: number, reason: string) => void) | undefined
  readonly signal: AbortSignal
}

/** Replicates the log to all peers during one term as leader. */
export class Leadership {
  /** Clock reading at which leadership began. */
  readonly since: Millis
  /** Index of the first entry of the term. */
  readonly startIndex: number
  readonly #deps: LeadershipDeps
  readonly #replications = new Map<string, PeerReplication>()

  /** @param deps - state and dependencies of the member */
  constructor (deps: LeadershipDeps) {
    this.#deps = deps
    this.since = deps.clock.now()
    this.startIndex = deps.state.log.lastIndex + 1
  }

  /** Starts a replication loop for each peer that has none. */
  startReplications (): void {
    for (const peer of this.#deps.state.peers) {
      if (this.#replications.has(peer.instance)) continue
      const replication = new PeerReplication(peer, this.#deps)
      this.#replications.set(peer.instance, replication)
      replication.run(this.#deps.signal)
        .then(() => { this.#replications.delete(peer.instance) })
        .catch(this.#deps.onFatal)
    }
  }

  /**
   * Returns the highest index known to be durable at a member.
   *
   * @param member - this member or a peer
   * @returns the index, or 0 when none is known
   */
  matchIndexOf (member: Member): number {
    const { state } = this.#deps
    if (member.instance === state.instance) return state.durableIndex
    return this.#replications.get(member.instance)?.matchIndex ?? 0
  }

  /** Highest index that is durable at a quorum. */
  get quorumIndex (): number {
    return quorumValue(this.#deps.state.log.members, (member) => this.matchIndexOf(member))
  }

  /** Latest clock reading for which a quorum has confirmed this leader. */
  get confirmedAt (): Millis {
    return quorumValue(this.#deps.state.log.members, (member) => this.confirmedAtOf(member))
  }

  /**
   * Returns the clock reading at which the newest request that a member has confirmed was sent.
   *
   * @param member - this member or a peer
   * @returns the reading in milliseconds: now for this member, negative infinity for a peer that has confirmed none
   */
  confirmedAtOf (member: Member): Millis {
    const { clock, state } = this.#deps
    if (member.instance === state.instance) return clock.now()
    return this.#replications.get(member.instance)?.confirmedAt ?? Number.NEGATIVE_INFINITY
  }

  /**
   * Returns the clock of a peer.
   *
   * @param instance - instance of the peer
   */
  clockOf (instance: string): RemoteClock | null {
    return this.#replications.get(instance)?.peerClock ?? null
  }

  /** Returns a learner that has caught up, if there is one. */
  findCaughtUpLearner (): Member | undefined {
    const { log } = this.#deps.state
    return log.members.find((member) => {
      const matchIndex = this.matchIndexOf(member)
      return member.role === 'learner' && matchIndex >= log.membersIndex && matchIndex + MAX_PROMOTION_LAG_ENTRIES >= log.lastIndex
    })
  }

  /** Returns the other voter whose log is the most complete, if there is one. */
  findSuccessor (): Member | undefined {
    const { log, instance } = this.#deps.state
    const others = log.members.filter((member) => member.role === 'voter' && member.instance !== instance)
    return others.sort((a, b) => this.matchIndexOf(b) - this.matchIndexOf(a))[0]
  }
}
