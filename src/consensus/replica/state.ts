/** State of a member: log, term, vote and role. */
import type { Clock, Millis } from '../../clock/index.js'
import { checkTerm } from '../checkMessage/index.js'
import { ReplicatedLog } from '../log/index.js'
import type { LogEntry, Member, RecoveredState, ReplicaRole, Store, StoreRecord } from '../types.js'

/** State that election, replication and message handlers of a member share. */
export class ReplicaState {
  term = 0
  votedFor: string | null = null
  role: ReplicaRole = 'follower'
  leader: Member | null = null
  log = new ReplicatedLog()
  commitIndex = 0
  durableIndex = 0
  /** Clock reading of the last contact with a leader; a granted vote and the end of this member's leadership count too. */
  lastLeaderContactAt: Millis = Number.NEGATIVE_INFINITY
  /** Called when entries are added, become durable or are committed, and when this member becomes a leader or a follower. */
  onChange: () => void = () => {}
  readonly #store: Store
  readonly #clock: Clock

  /**
   * @param id - this member's name
   * @param address - host and port of its control interface
   * @param store - durable storage
   * @param clock - source of time
   */
  constructor (readonly id: string, readonly address: string, store: Store, clock: Clock) {
    this.#store = store
    this.#clock = clock
  }

  get instance (): string {
    return this.#store.instance
  }

  /** This member as recorded in the membership; a learner when it is not recorded there. */
  get self (): Member {
    const ownMember = this.log.members.find((member) => member.instance === this.instance)
    return ownMember ?? { id: this.id, instance: this.instance, address: this.address, role: 'learner' }
  }

  get isVoter (): boolean {
    return this.self.role === 'voter'
  }

  get peers (): readonly Member[] {
    return this.log.members.filter((member) => member.instance !== this.instance)
  }

  /** Index of the committed membership in the log; 0 when none is known to be committed. Grows with each change. */
  get membersVersion (): number {
    return this.log.membersAt(this.commitIndex).length === 0 ? 0 : this.log.membersIndexAt(this.commitIndex)
  }

  /** Addresses of the committed members and of those of the newest membership entry, committed or not. */
  get memberAddresses (): readonly string[] {
    return [...new Set([...this.log.membersAt(this.commitIndex), ...this.log.members].map(({ address }) => address))]
  }

  /**
   * Loads the recovered state.
   *
   * @param recovered - state that the store has recovered
   */
  load (recovered: RecoveredState): void {
    const { snapshot } = recovered
    this.term = recovered.term
    this.votedFor = recovered.votedFor
    if (snapshot !== null) this.log = new ReplicatedLog(snapshot.index, snapshot.term, snapshot.members)
    for (const entry of recovered.entries) {
      if (entry.index > this.log.baseIndex) this.log.put(entry)
    }
    this.commitIndex = this.log.baseIndex
    this.durableIndex = this.log.lastIndex
  }

  /**
   * Adopts a higher term, and becomes a follower that has not voted in it. Resolves once the term is durable, or at once
   * when the term is not higher.
   *
   * @param term - term of a received message
   */
  async adoptTerm (term: number): Promise<void> {
    checkTerm(term)
    if (term <= this.term) return
    this.term = term
    this.votedFor = null
    this.becomeFollower(null)
    await this.saveVote()
  }

  /**
   * Becomes a follower.
   *
   * @param leader - the leader of the current term, or null when unknown
   */
  becomeFollower (leader: Member | null): void {
    if (this.role === 'leader') this.lastLeaderContactAt = this.#clock.now()
    this.role = 'follower'
    this.leader = leader
    this.onChange()
  }

  /** Stores term and vote durably. */
  saveVote (): Promise<void> {
    return this.#store.append([{ kind: 'vote', term: this.term, votedFor: this.votedFor }])
  }

  /**
   * Adds entries to the log and resolves once they are durable.
   *
   * @param entries - consecutive entries
   */
  async append (entries: readonly LogEntry[]): Promise<void> {
    for (const entry of entries) this.log.put(entry)
    const first = entries[0]
    const last = entries.at(-1)
    if (first === undefined || last === undefined) return
    this.durableIndex = Math.min(this.durableIndex, first.index - 1)
    this.onChange()
    await this.#store.append(entries.map((entry): StoreRecord => ({ kind: 'entry', entry })))
    if (this.log.termAt(last.index) === last.term) this.durableIndex = Math.max(this.durableIndex, last.index)
    this.onChange()
  }

  /**
   * Returns whether another log is at least as complete as this one.
   *
   * @param lastIndex - last index of the other log
   * @param lastTerm - term of that index
   */
  isUpToDate (lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.log.lastTerm) return lastTerm > this.log.lastTerm
    return lastIndex >= this.log.lastIndex
  }

  /**
   * Returns the records that the log must keep after a snapshot: the vote and all later entries.
   *
   * @param index - last index that the snapshot covers
   * @returns the records, or null when the log already begins after a later snapshot
   */
  recordsAfter (index: number): StoreRecord[] | null {
    if (index < this.log.baseIndex) return null
    const entries = this.log.slice(index + 1, Number.MAX_SAFE_INTEGER)
    return [{ kind: 'vote', term: this.term, votedFor: this.votedFor }, ...entries.map((entry): StoreRecord => ({ kind: 'entry', entry }))]
  }
}
