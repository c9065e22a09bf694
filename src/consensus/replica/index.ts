/** A member of the replicated log: handles proposals, reads, membership changes and messages of peers. */
import { setMaxListeners } from 'node:events'
import { Notifier } from '../../clock/notifier/index.js'
import type { RemoteClock } from '../../clock/remoteClock/index.js'
import { checkAppendRequest, checkSnapshotChunk, checkVoteRequest } from '../checkMessage/index.js'
import { Election } from '../election/index.js'
import { MembershipError, NotLeaderError } from '../errors.js'
import { Leadership } from '../leadership/index.js'
import { removeMember, addLearner, withRole } from '../membership/index.js'
import { ReplicatedLog } from '../log/index.js'
import { ReportingStore } from '../reportingStore/index.js'
import { ReplicaState } from './state.js'
import type { ReplicaDeps } from './deps.js'
import { Compactor } from './compactor.js'
import { PendingProposals } from './pendingProposals.js'
import { LeaderMessageHandler } from './leaderMessageHandler.js'
import type { AppendRequest, AppendResponse, EntryKind, LogEntry, Member, ReplicaStatus, Snapshot, SnapshotChunk, SnapshotResponse, VoteRequest, VoteResponse } from '../types.js'

const CONFIRMATION_TIMEOUT_MS = 4000

/** A member of the group: recovers its state, takes part in elections and applies committed entries until it is stopped. */
export class Replica {
  readonly #deps: ReplicaDeps
  readonly #state: ReplicaState
  readonly #election: Election
  readonly #leaderMessageHandler: LeaderMessageHandler
  readonly #wake: Notifier
  readonly #changed: Notifier
  readonly #stop = new AbortController()
  readonly #pending = new PendingProposals()
  /** Returns whether a learner that has caught up may become a voter now; asked after each acknowledgement while there is one. */
  mayPromote: (learner: Member) => boolean = () => true
  #leadership: Leadership | null = null
  readonly #compactor: Compactor
  #lastApplied = 0

  /** @param deps - identity, storage, transport and clock of this member */
  constructor (deps: ReplicaDeps) {
    const store = new ReportingStore(deps.store, (err) => { if (!this.#stop.signal.aborted) deps.onFatal(err) })
    this.#deps = { ...deps, store }
    setMaxListeners(0, this.#stop.signal)
    this.#wake = new Notifier(deps.clock)
    this.#changed = new Notifier(deps.clock)
    this.#state = new ReplicaState(deps.id, deps.address, store, deps.clock)
    this.#state.onChange = () => { this.#onStateChange() }
    this.#election = new Election({ ...deps, state: this.#state, onElected: () => { this.#onElected() }, reportFailure: (work) => { this.#reportFailure(work) } })
    this.#compactor = new Compactor({ ...deps, store, state: this.#state, reportFailure: (work) => { this.#reportFailure(work) } })
    this.#leaderMessageHandler = new LeaderMessageHandler(this.#state, deps.clock, (snapshot) => this.#installSnapshot(snapshot), deps.processClock)
  }

  get isLeader (): boolean {
    return this.#state.role === 'leader'
  }

  get leader (): Member | null {
    return this.#state.leader
  }

  get term (): number {
    return this.#state.term
  }

  get lastApplied (): number {
    return this.#lastApplied
  }

  /** Clock reading at which this member last became the leader; infinity if it never did. */
  get leaderSince (): number {
    return this.#leadership?.since ?? Number.POSITIVE_INFINITY
  }

  /** Whether this member leads and has applied everything that was committed before its term. */
  get isReadyLeader (): boolean {
    return this.isLeader && this.#leadership !== null && this.#lastApplied >= this.#leadership.startIndex
  }

  /**
   * Latest clock reading for which a quorum has confirmed that this member leads. No other member can lead until
   * {@link ConsensusTimings.electionMinMs} later.
   */
  get confirmedAt (): number {
    return this.isReadyLeader ? this.#confirmedAt : Number.NEGATIVE_INFINITY
  }

  /** Clock reading of the last contact with a leader; the current reading while this member leads. */
  get lastLeaderContactAt (): number {
    return this.isLeader ? this.#deps.clock.now() : this.#state.lastLeaderContactAt
  }

  /** Notifies after each change of the log, commit index or role (except to candidate) and each acknowledgement of a peer. */
  get changed (): Notifier {
    return this.#changed
  }

  /** Recovers the state and starts the loops; resolves to how many bytes of an incomplete write were truncated. */
  async start (): Promise<number> {
    const recovered = await this.#deps.store.recover()
    this.#compactor.adopt(recovered.snapshot)
    if (recovered.snapshot !== null) this.#deps.machine.restore(recovered.snapshot.data)
    this.#state.load(recovered)
    this.#lastApplied = this.#state.log.baseIndex
    this.#state.lastLeaderContactAt = this.#deps.startedAt ?? this.#deps.clock.now()
    this.#reportFailure(this.#election.run(this.#stop.signal))
    this.#reportFailure(this.#watchQuorum())
    return recovered.tornBytes
  }

  /** Stops all loops, rejects pending proposals with an `UncertainCommitError` and closes the store. */
  async stop (): Promise<void> {
    this.#stop.abort()
    this.#pending.rejectAll()
    this.#wake.notify()
    await this.#deps.store.close()
  }

  /**
   * Bootstraps a new group of members with empty data folders.
   *
   * @param members - the initial voters, including this member
   * @throws MembershipError when this member already has a log
   */
  async bootstrap (members: ReadonlyArray<Omit<Member, 'role'>>): Promise<void> {
    if (this.#state.log.lastIndex > 0) throw new MembershipError('This member already belongs to a group.')
    const voters = members.map((member): Member => ({ ...member, role: 'voter' }))
    await this.#state.append([{ index: 1, term: 0, kind: 'members', data: voters }])
    this.#state.lastLeaderContactAt = Number.NEGATIVE_INFINITY
  }

  /**
   * Replicates a command and applies it once it is committed.
   *
   * @param command - input of the state machine
   * @returns the state machine's result
   * @throws NotLeaderError when this member does not lead and nothing was written; UncertainCommitError when the outcome is unknown
   */
  propose (command: unknown): Promise<unknown> {
    return this.#propose('command', command)
  }

  /**
   * Waits until a quorum has answered requests sent after this call and thus confirmed that this member still leads.
   *
   * @throws NotLeaderError when it does not lead, or the confirmation does not arrive in time
   */
  async confirmLeadership (): Promise<void> {
    const since = this.#deps.clock.now()
    await this.confirmLeadershipSince(since, true)
  }

  /**
   * Waits until a quorum has answered requests sent at or after a clock reading and thus confirmed leadership.
   *
   * @param since - clock reading, in milliseconds
   * @param shouldHeartbeatNow - whether to send heartbeats at once instead of with the next interval
   * @throws NotLeaderError when this member does not lead, or the confirmation does not arrive in time
   */
  async confirmLeadershipSince (since: number, shouldHeartbeatNow: boolean): Promise<void> {
    const { clock } = this.#deps
    const deadline = clock.now() + CONFIRMATION_TIMEOUT_MS
    if (shouldHeartbeatNow && this.#confirmedAt < since) this.#wake.notify()
    while (!(this.isReadyLeader && this.#confirmedAt >= since)) {
      if (!this.isLeader || clock.now() >= deadline) throw new NotLeaderError(this.#state.leader)
      const seen = this.#changed.count
      await this.#changed.waitBeyond(seen, Math.max(1, deadline - clock.now()), this.#stop.signal)
      if (this.#stop.signal.aborted) throw new NotLeaderError(null)
    }
  }

  /**
   * Adds a member as a learner; the leader promotes it to voter once it has caught up.
   *
   * @param newMember - the new member
   */
  async addMember (newMember: Omit<Member, 'role'>): Promise<void> {
    await this.#changeMembers((members) => addLearner(members, newMember))
  }

  /** @param id - name of the member to remove */
  async removeMember (id: string): Promise<void> {
    await this.#changeMembers((members) => removeMember(members, id))
  }

  /**
   * Resigns as leader in favour of another voter. The caller must first have stopped everything that relies on leadership.
   *
   * @returns the voter that should start an election at once, or null when this member does not lead or is the only voter
   */
  resign (): Member | null {
    if (!this.isLeader) return null
    const successor = this.#leadership?.findSuccessor() ?? null
    this.#state.becomeFollower(null)
    return successor
  }

  /**
   * Starts an election at once because the leader has resigned.
   *
   * @param term - term of the leader that resigned
   */
  startElectionNow (term: number): Promise<void> { return this.#election.startElectionNow(term) }

  /** Returns the state of this member for operators. */
  status (): ReplicaStatus {
    const { id, instance, role, term, leader, log, commitIndex, membersVersion, memberAddresses } = this.#state
    const members = log.members.map((member) => ({
      ...member,
      matchIndex: this.isLeader ? this.#leadership?.matchIndexOf(member) ?? 0 : null,
      confirmedAt: this.isLeader ? this.#leadership?.confirmedAtOf(member) ?? null : null
    }))
    return { id, instance, role, term, leader, lastIndex: log.lastIndex, commitIndex, snapshotIndex: log.baseIndex, areMembersPending: log.membersIndex > commitIndex, members, membersVersion, memberAddresses }
  }

  /**
   * Returns the clock of a peer while this member leads.
   *
   * @param instance - instance of the peer
   */
  clockOf (instance: string): RemoteClock | null {
    return this.isLeader ? this.#leadership?.clockOf(instance) ?? null : null
  }

  /** Handles a vote or pre-vote request of a candidate. */
  async onVote (req: VoteRequest): Promise<VoteResponse> { return await this.#election.answer(checkVoteRequest(req)) }

  /** Handles entries or a heartbeat from a leader. */
  async onAppend (req: AppendRequest): Promise<AppendResponse> {
    return await this.#leaderMessageHandler.append(checkAppendRequest(req))
  }

  /** Handles a snapshot chunk from a leader. */
  async onSnapshot (req: SnapshotChunk): Promise<SnapshotResponse> {
    return await this.#leaderMessageHandler.snapshot(checkSnapshotChunk(req))
  }

  #propose (kind: EntryKind, data: unknown): Promise<unknown> {
    const state = this.#state
    if (state.role !== 'leader') return Promise.reject(new NotLeaderError(state.leader))
    const entry: LogEntry = { index: state.log.lastIndex + 1, term: state.term, kind, data }
    return new Promise((resolve, reject) => {
      this.#pending.add(entry, resolve, reject)
      this.#reportFailure(state.append([entry]).then(() => { this.#advanceCommitIndex() }))
      this.#wake.notify()
    })
  }

  async #changeMembers (change: (members: readonly Member[]) => readonly Member[]): Promise<void> {
    const { log, commitIndex } = this.#state
    if (!this.isLeader) throw new NotLeaderError(this.#state.leader)
    if (!this.isReadyLeader) throw new MembershipError('The leader has just been elected and is not ready yet; try again.')
    if (log.membersIndex > commitIndex) throw new MembershipError('Another membership change is in progress; try again once it is committed.')
    await this.#propose('members', change(log.members))
  }

  #onElected (): void {
    this.#leadership = new Leadership({
      ...this.#deps,
      state: this.#state,
      wake: this.#wake,
      snapshot: () => this.#compactor.snapshot,
      onAcknowledged: () => { this.#onAcknowledged() },
      signal: this.#stop.signal
    })
    this.#propose('noop', null).catch(() => {})
    this.#leadership.startReplications()
  }

  #onAcknowledged (): void {
    this.#advanceCommitIndex()
    this.#promoteLearner()
    this.#changed.notify()
  }

  #advanceCommitIndex (): void {
    const state = this.#state
    if (state.role !== 'leader' || this.#leadership === null) return
    const index = this.#leadership.quorumIndex
    if (index <= state.commitIndex || state.log.termAt(index) !== state.term) return
    state.commitIndex = index
    state.onChange()
  }

  #promoteLearner (): void {
    const { log, commitIndex } = this.#state
    if (!this.isReadyLeader || log.membersIndex > commitIndex) return
    const learner = this.#leadership?.findCaughtUpLearner()
    if (learner === undefined || !this.mayPromote(learner)) return
    this.#propose('members', withRole(log.members, learner.id, 'voter')).catch(() => {})
  }

  get #confirmedAt (): number {
    return this.#leadership?.confirmedAt ?? Number.NEGATIVE_INFINITY
  }

  /** Steps down when no quorum has answered for the minimum election timeout. */
  async #watchQuorum (): Promise<void> {
    const { clock, timings } = this.#deps
    while (!this.#stop.signal.aborted) {
      await clock.sleep(timings.heartbeatMs, this.#stop.signal)
      if (!this.isLeader) continue
      const since = Math.max(this.#confirmedAt, this.leaderSince)
      if (clock.now() - since > timings.electionMinMs) this.#state.becomeFollower(null)
    }
  }

  #onStateChange (): void {
    this.#applyCommitted()
    if (this.isLeader) this.#leadership?.startReplications()
    else this.#pending.rejectAll()
    this.#changed.notify()
  }

  #applyCommitted (): void {
    const state = this.#state
    while (this.#lastApplied < state.commitIndex) {
      const entry = state.log.at(this.#lastApplied + 1)
      if (entry === undefined) break
      this.#lastApplied = entry.index
      this.#compactor.onApplied(entry.index)
      const result = entry.kind === 'command' ? this.#deps.machine.apply(entry.index, entry.data) : undefined
      this.#pending.resolve(entry, result)
      if (entry.kind === 'members' && this.isLeader && !this.#isMember()) state.becomeFollower(null)
    }
    this.#compactor.compactIfNeeded(this.#lastApplied)
  }

  #isMember (): boolean {
    return this.#state.log.members.some((member) => member.instance === this.#state.instance)
  }

  /** Replaces the state and the covered part of the log with a snapshot received from the leader. */
  async #installSnapshot (snapshot: Snapshot): Promise<void> {
    if (snapshot.index <= this.#lastApplied) return
    const state = this.#state
    if (state.log.termAt(snapshot.index) === snapshot.term) state.log.dropUpTo(snapshot.index)
    else state.log = new ReplicatedLog(snapshot.index, snapshot.term, snapshot.members)
    this.#deps.machine.restore(snapshot.data)
    this.#lastApplied = snapshot.index
    state.commitIndex = Math.max(state.commitIndex, snapshot.index)
    this.#compactor.adopt(snapshot)
    await this.#deps.store.compact(snapshot, () => this.#state.recordsAfter(snapshot.index))
    state.durableIndex = Math.max(state.durableIndex, snapshot.index)
    state.onChange()
  }

  #reportFailure (promise: Promise<unknown>): void {
    promise.catch((err: unknown) => { if (!this.#stop.signal.aborted) this.#deps.onFatal(err) })
  }
}
