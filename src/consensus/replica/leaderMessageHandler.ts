/** Handles the messages that a member receives from a leader. */
import type { Clock } from '../../clock/index.js'
import type { ClockReading, ProcessClock } from '../../clock/processClock/index.js'
import type { AppendRequest, AppendResponse, LogEntry, Snapshot, SnapshotChunk, SnapshotResponse } from '../types.js'
import type { ReplicaState } from './state.js'

/** A snapshot of which some chunks have not arrived yet. */
interface PartialSnapshot {
  /** Identifies the transfer: instance and term of the leader, last index and size of the snapshot. */
  readonly key: string
  readonly chunks: Buffer[]
  received: number
}

/** Appends entries and installs snapshots that the leader sends. */
export class LeaderMessageHandler {
  readonly #state: ReplicaState
  readonly #clock: Clock
  readonly #installSnapshot: (snapshot: Snapshot) => Promise<void>
  readonly #processClock: ProcessClock | undefined
  #partialSnapshot: PartialSnapshot | null = null

  /**
   * @param state - this member's state
   * @param clock - source of time
   * @param installSnapshot - replaces state and log with a complete snapshot
   * @param processClock - clock whose readings the answers contain
   */
  constructor (state: ReplicaState, clock: Clock, installSnapshot: (snapshot: Snapshot) => Promise<void>, processClock?: ProcessClock) {
    this.#state = state
    this.#clock = clock
    this.#installSnapshot = installSnapshot
    this.#processClock = processClock
  }

  /**
   * Handles an append request or heartbeat: stores new entries and advances the commit index.
   *
   * @param req - the leader's request
   * @returns the answer, once the entries are durable
   */
  async append (req: AppendRequest): Promise<AppendResponse> {
    return this.#addClock(await this.#append(req))
  }

  /**
   * Handles a snapshot chunk, and installs the snapshot after the last chunk.
   *
   * @param req - the chunk
   * @returns how many bytes of the snapshot have been received
   */
  async snapshot (req: SnapshotChunk): Promise<SnapshotResponse> {
    return this.#addClock(await this.#snapshot(req))
  }

  #addClock<T extends { readonly clock?: ClockReading }> (res: T): T {
    return this.#processClock === undefined ? res : { ...res, clock: this.#processClock.read() }
  }

  async #append (req: AppendRequest): Promise<AppendResponse> {
    const state = this.#state
    if (req.target !== state.instance) return { term: state.term, ok: false, matchIndex: 0, wrongInstance: true }
    if (!await this.#acceptLeader(req)) return { term: state.term, ok: false, matchIndex: 0 }
    const { log } = state
    if (req.prevIndex >= log.baseIndex && log.termAt(req.prevIndex) !== req.prevTerm) {
      return { term: state.term, ok: false, matchIndex: Math.min(log.lastIndex, req.prevIndex - 1) }
    }
    const newEntries = this.#selectNewEntries(req.entries)
    const matchIndex = req.prevIndex + req.entries.length
    if (newEntries.length > 0) await state.append(newEntries)
    if (state.term !== req.term) return { term: state.term, ok: false, matchIndex: 0 }
    const durableMatchIndex = Math.min(matchIndex, state.durableIndex)
    this.#advanceCommitIndex(Math.min(req.commitIndex, matchIndex))
    return { term: state.term, ok: true, matchIndex: durableMatchIndex }
  }

  async #snapshot (req: SnapshotChunk): Promise<SnapshotResponse> {
    const state = this.#state
    if (req.target !== state.instance || !await this.#acceptLeader(req)) return { term: state.term, received: 0 }
    const key = `${req.leader.instance}/${req.term}/${req.index}/${req.total}`
    if (this.#partialSnapshot?.key !== key) this.#partialSnapshot = { key, chunks: [], received: 0 }
    const partial = this.#partialSnapshot
    if (req.offset === partial.received) {
      const chunk = Buffer.from(req.data, 'base64')
      partial.chunks.push(chunk)
      partial.received += chunk.length
    }
    if (partial.received < req.total) return { term: state.term, received: partial.received }
    this.#partialSnapshot = null
    const data = Buffer.concat(partial.chunks)
    await this.#installSnapshot({ index: req.index, term: req.snapshotTerm, members: req.members, data })
    return { term: state.term, received: partial.received }
  }

  async #acceptLeader (req: AppendRequest | SnapshotChunk): Promise<boolean> {
    const state = this.#state
    if (req.term < state.term) return false
    await state.adoptTerm(req.term)
    if (req.term !== state.term) return false
    state.lastLeaderContactAt = this.#clock.now()
    if (state.role !== 'follower' || state.leader?.instance !== req.leader.instance) state.becomeFollower(req.leader)
    return true
  }

  #selectNewEntries (entries: readonly LogEntry[]): readonly LogEntry[] {
    const { log } = this.#state
    const first = entries.findIndex((entry) => entry.index > log.baseIndex && log.termAt(entry.index) !== entry.term)
    return first === -1 ? [] : entries.slice(first)
  }

  #advanceCommitIndex (index: number): void {
    const state = this.#state
    if (index <= state.commitIndex) return
    state.commitIndex = index
    state.onChange()
  }
}
