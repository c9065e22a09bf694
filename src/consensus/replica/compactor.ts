/** Takes snapshots of the state machine when the log has grown, and drops the entries that they cover. */
import type { CompactionLimits, Snapshot, StateMachine, Store } from '../types.js'
import type { ReplicaState } from './state.js'

/** Dependencies of {@link Compactor}. */
export interface CompactorDeps {
  readonly state: ReplicaState
  readonly store: Store
  readonly machine: StateMachine
  readonly compaction: CompactionLimits
  /** Reports the failure of work that nothing waits for. */
  readonly reportFailure: (work: Promise<unknown>) => void
}

/** Owns the newest snapshot of one member. */
export class Compactor {
  readonly #deps: CompactorDeps
  #snapshot: Snapshot | null = null
  /** Estimated size of the entries that were applied since the last snapshot. */
  #appliedBytes = 0
  #isCompacting = false

  /** @param deps - state and storage of the member */
  constructor (deps: CompactorDeps) {
    this.#deps = deps
  }

  /** The newest snapshot, or null before the first one. */
  get snapshot (): Snapshot | null {
    return this.#snapshot
  }

  /** @param snapshot - a snapshot that was recovered or received, and that replaces the state; null when there is none */
  adopt (snapshot: Snapshot | null): void {
    this.#snapshot = snapshot
    this.#appliedBytes = 0
  }

  /** @param index - index of an entry that was applied */
  onApplied (index: number): void {
    this.#appliedBytes += this.#deps.state.log.bytesOf(index, 1)
  }

  /**
   * Takes a snapshot if the entries applied since the last one exceed a limit.
   *
   * @param lastApplied - index of the last entry that was applied
   */
  compactIfNeeded (lastApplied: number): void {
    const { state: { log }, machine, compaction, reportFailure } = this.#deps
    if (this.#isCompacting || (lastApplied - log.baseIndex < compaction.afterEntries && this.#appliedBytes < compaction.afterBytes)) return
    this.#isCompacting = true
    this.#appliedBytes = 0
    const snapshot: Snapshot = { index: lastApplied, term: log.termAt(lastApplied) ?? 0, members: log.membersAt(lastApplied), data: machine.serialize() }
    reportFailure(this.#storeSnapshot(snapshot).finally(() => { this.#isCompacting = false }))
  }

  async #storeSnapshot (snapshot: Snapshot): Promise<void> {
    const { state, store, compaction: { keepEntries, keepBytes } } = this.#deps
    const newBaseIndex = Math.max(state.log.baseIndex, state.log.findFirstWithin(snapshot.index, keepEntries, keepBytes) - 1)
    await store.compact(snapshot, () => state.recordsAfter(snapshot.index))
    this.#snapshot = snapshot
    state.log.dropUpTo(newBaseIndex)
  }
}
