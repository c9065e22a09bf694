/** What one member knows of the log, the term and its own role. */
import type { Clock, Millis } from '../../clock/index.js'
import { ReplicatedLog } from '../log/index.js'
import type { LogEntry, Member, RecoveredState, ReplicaRole, Store, StoreRecord } from '../types.js'

/** State shared by election, replication and the message handlers of one member. */
export class ReplicaState {
  term = 0
  votedFor: string | null = null
  role: ReplicaRole = 'follower'
  leader: Member | null = null
  log = new ReplicatedLog()
  commitIndex = 0
  durableIndex = 0
  /** Clock reading of the last sign of a leader. */
  lastLeaderContactAt: Millis = Number.NEGATIVE_INFINITY
  /** Called whenever role, term, commit index or log change. */
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

  /** This member as the group's records have it; a learner when they don't. */
  get self (): Member {
    const known = this.log.members.find((member) => member.instance === this.instance)
    return known ?? { id: this.id, instance: this.instance, address: this.address, role: 'learner' }
  }

  get isVoter (): boolean {
    return this.self.role === 'voter'
  }

  get peers (): readonly Member[] {
    return this.log.members.filter((member) => member.instance !== this.instance)
  }

  /** @param recovered - what the store found */
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
   * Adopts a higher term as a follower without a vote.
   *
   * @param term - term seen in a message
   * @returns once the term is durable; at once when it is not higher
   */
  async adoptTerm (term: number): Promise<void> {
    if (term <= this.term) return
    this.term = term
    this.votedFor = null
    this.becomeFollower(null)
    await this.saveVote()
  }

  /** @param leader - the leader of the current term, or null when unknown */
  becomeFollower (leader: Member | null): void {
    if (this.role === 'leader') this.lastLeaderContactAt = this.#clock.now()
    this.role = 'follower'
    this.leader = leader
    this.onChange()
  }

  /** Makes term and vote durable. */
  saveVote (): Promise<void> {
    return this.#store.append([{ kind: 'vote', term: this.term, votedFor: this.votedFor }])
  }

  /**
   * Adds entries to the log and makes them durable.
   *
   * @param entries - consecutive entries
   * @returns once they are durable
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
   * Tells whether another log is at least as complete as this one.
   *
   * @param lastIndex - last index of the other log
   * @param lastTerm - its term
   */
  isUpToDate (lastIndex: number, lastTerm: number): boolean {
    if (lastTerm !== this.log.lastTerm) return lastTerm > this.log.lastTerm
    return lastIndex >= this.log.lastIndex
  }

  /**
   * Returns the vote and the entries that a log behind a snapshot must hold.
   *
   * @param index - last index that the snapshot covers
   * @returns null when the log begins behind a later snapshot
   */
  recordsAfter (index: number): StoreRecord[] | null {
    if (index < this.log.baseIndex) return null
    const entries = this.log.slice(index + 1, Number.MAX_SAFE_INTEGER)
    return [{ kind: 'vote', term: this.term, votedFor: this.votedFor }, ...entries.map((entry): StoreRecord => ({ kind: 'entry', entry }))]
  }
}
