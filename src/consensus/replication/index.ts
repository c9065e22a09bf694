/** Replicates the leader's log to one peer in a single loop that sends entries, heartbeats and snapshots. */
import type { Clock, Millis } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import { RemoteClock } from '../../clock/remoteClock/index.js'
import { APPEND_TIMEOUT_MS, MAX_BYTES_PER_APPEND, MAX_ENTRIES_PER_APPEND, MIN_APPEND_BYTES_PER_MS, SNAPSHOT_CHUNK_BYTES } from '../constants.js'
import type { ReplicaState } from '../replica/state.js'
import type { AppendResponse, ConsensusTimings, LogEntry, Member, PeerTransport, Snapshot } from '../types.js'

/** Dependencies of {@link PeerReplication}. */
export interface ReplicationDeps {
  readonly state: ReplicaState
  readonly clock: Clock
  readonly transport: PeerTransport
  readonly timings: ConsensusTimings
  /** Notifies when there are new entries to send or when a confirmation is needed at once. */
  readonly wake: Notifier
  /** Returns the newest snapshot. */
  readonly snapshot: () => Snapshot | null
  /** Called after each acknowledgement. */
  readonly onAcknowledged: () => void
  /** Called when a peer that has answered before, or was not called yet, leaves a message unanswered. */
  readonly onPeerSilent?: ((peer: Member, firstIndex: number, reason: string) => void) | undefined
}

/** Replicates the leader's log to one peer until the term ends. */
export class PeerReplication {
  /** Highest index known to be durable at the peer. */
  matchIndex = 0
  /** Clock reading at which the newest acknowledged request was sent. */
  confirmedAt: Millis = Number.NEGATIVE_INFINITY
  /** Clock of the peer as far as its answers tell. */
  readonly peerClock: RemoteClock
  readonly #deps: ReplicationDeps
  readonly #term: number
  #nextIndex: number
  #isSilent = false

  /**
   * @param peer - the member that receives the log
   * @param deps - state and dependencies of the leader
   */
  constructor (readonly peer: Member, deps: ReplicationDeps) {
    this.#deps = deps
    this.peerClock = new RemoteClock(deps.clock)
    this.#term = deps.state.term
    this.#nextIndex = deps.state.log.lastIndex + 1
  }

  /**
   * Sends missing entries, and heartbeats when there are none, until aborted or the term ends.
   *
   * @param signal - ends the loop
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock, timings, wake } = this.#deps
    while (!signal.aborted && this.#isCurrent()) {
      const seen = wake.count
      const sentAt = clock.now()
      const hasAnswered = await this.#sendNext(sentAt)
      if (hasAnswered && this.#hasUnsentEntries()) continue
      if (hasAnswered) await wake.waitBeyond(seen, timings.heartbeatMs, signal)
      else await clock.sleep(Math.max(0, timings.heartbeatMs / 2 - (clock.now() - sentAt)), signal)
    }
  }

  #isCurrent (): boolean {
    const { state } = this.#deps
    const isMember = state.log.members.some((member) => member.instance === this.peer.instance)
    return state.role === 'leader' && state.term === this.#term && isMember
  }

  #hasUnsentEntries (): boolean {
    return this.#nextIndex <= this.#deps.state.log.lastIndex
  }

  /**
   * Sends the next entries, a heartbeat or a snapshot. Resolves to false when the peer did not answer, has another data
   * folder or did not receive the whole snapshot, so that the loop pauses before the next attempt.
   */
  async #sendNext (sentAt: Millis): Promise<boolean> {
    try {
      const isSnapshot = this.#deps.state.log.termAt(this.#nextIndex - 1) === undefined
      const hasAnswered = await (isSnapshot ? this.#sendSnapshot(sentAt) : this.#sendEntries(sentAt))
      this.#isSilent = false
      return hasAnswered
    } catch (err) {
      if (!this.#isSilent) this.#deps.onPeerSilent?.(this.peer, this.#nextIndex, (err as Error).message)
      this.#isSilent = true
      return false
    }
  }

  async #sendEntries (sentAt: Millis): Promise<boolean> {
    const { log } = this.#deps.state
    const entries = log.slice(this.#nextIndex, MAX_ENTRIES_PER_APPEND, MAX_BYTES_PER_APPEND)
    const bytes = log.bytesOf(this.#nextIndex, entries.length)
    const sending = this.#append(this.#nextIndex - 1, entries, APPEND_TIMEOUT_MS + bytes / MIN_APPEND_BYTES_PER_MS)
    const res = await (bytes > MAX_BYTES_PER_APPEND ? this.#sendHeartbeatsDuring(sending) : sending)
    await this.#onAppendResponse(res, sentAt)
    return res.wrongInstance !== true
  }

  async #append (prevIndex: number, entries: readonly LogEntry[], timeoutMs: Millis): Promise<AppendResponse> {
    const { state, transport } = this.#deps
    const res = await transport.append(this.peer, {
      term: this.#term,
      leader: state.self,
      target: this.peer.instance,
      prevIndex,
      prevTerm: state.log.termAt(prevIndex) ?? 0,
      entries,
      commitIndex: state.commitIndex
    }, timeoutMs)
    if (res.clock !== undefined && res.wrongInstance !== true) this.peerClock.record(res.clock)
    return res
  }

  /** Keeps the peer from standing for election, and its confirmations coming, while it receives a large entry. */
  async #sendHeartbeatsDuring<T> (sending: Promise<T>): Promise<T> {
    const { clock, timings } = this.#deps
    let isSettled = false
    const settled = sending.then(() => { isSettled = true }, () => { isSettled = true })
    for (;;) {
      await Promise.race([settled, clock.sleep(timings.heartbeatMs)])
      if (isSettled || !this.#isCurrent()) return await sending
      void this.#sendHeartbeat()
    }
  }

  async #sendHeartbeat (): Promise<void> {
    const { clock, state, onAcknowledged } = this.#deps
    const sentAt = clock.now()
    try {
      const res = await this.#append(this.matchIndex, [], APPEND_TIMEOUT_MS)
      await state.adoptTerm(res.term)
      if (!this.#isCurrent() || res.wrongInstance === true) return
      this.confirmedAt = Math.max(this.confirmedAt, sentAt)
      onAcknowledged()
    } catch {
      // The append that it accompanies decides whether the peer is reached.
    }
  }

  async #onAppendResponse (res: AppendResponse, sentAt: Millis): Promise<void> {
    const { state } = this.#deps
    await state.adoptTerm(res.term)
    if (!this.#isCurrent() || res.wrongInstance === true) return
    this.confirmedAt = Math.max(this.confirmedAt, sentAt)
    if (res.ok) {
      this.matchIndex = Math.max(this.matchIndex, res.matchIndex)
      this.#nextIndex = this.matchIndex + 1
    } else {
      this.#nextIndex = Math.max(1, Math.min(this.#nextIndex - 1, res.matchIndex + 1))
    }
    this.#deps.onAcknowledged()
  }

  async #sendSnapshot (sentAt: Millis): Promise<boolean> {
    const { state, transport } = this.#deps
    const snapshot = this.#deps.snapshot()
    if (snapshot === null) return false
    let offset = 0
    while (offset < snapshot.data.length && this.#isCurrent()) {
      const chunkSentAt = this.#deps.clock.now()
      const chunk = snapshot.data.subarray(offset, offset + SNAPSHOT_CHUNK_BYTES)
      const res = await transport.snapshot(this.peer, {
        term: this.#term,
        leader: state.self,
        target: this.peer.instance,
        index: snapshot.index,
        snapshotTerm: snapshot.term,
        members: snapshot.members,
        offset,
        total: snapshot.data.length,
        data: Buffer.from(chunk).toString('base64')
      })
      if (res.clock !== undefined) this.peerClock.record(res.clock)
      await state.adoptTerm(res.term)
      if (!this.#isCurrent()) return false
      this.confirmedAt = Math.max(this.confirmedAt, chunkSentAt, sentAt)
      if (res.received <= offset) return false
      offset = res.received
    }
    if (!this.#isCurrent()) return false
    this.matchIndex = Math.max(this.matchIndex, snapshot.index)
    this.#nextIndex = snapshot.index + 1
    this.#deps.onAcknowledged()
    return true
  }
}
