/** Keeps the proposals of this member that are not yet committed. */
import { UncertainCommitError } from '../errors.js'
import type { LogEntry } from '../types.js'

interface PendingProposal {
  readonly term: number
  readonly resolve: (result: unknown) => void
  readonly reject: (err: Error) => void
}

/** Pending proposals by log index. */
export class PendingProposals {
  readonly #byIndex = new Map<number, PendingProposal>()

  /**
   * Adds a proposal.
   *
   * @param entry - the proposed entry
   * @param resolve - called with the state machine's result
   * @param reject - called with an error when the outcome is unknown
   */
  add (entry: LogEntry, resolve: (result: unknown) => void, reject: (err: Error) => void): void {
    this.#byIndex.set(entry.index, { term: entry.term, resolve, reject })
  }

  /**
   * Settles the proposal of an applied entry.
   *
   * @param entry - the applied entry; if its term differs, another leader has replaced the proposal
   * @param result - what the state machine returned
   */
  resolve (entry: LogEntry, result: unknown): void {
    const pending = this.#byIndex.get(entry.index)
    if (pending === undefined) return
    this.#byIndex.delete(entry.index)
    if (pending.term === entry.term) pending.resolve(result)
    else pending.reject(new UncertainCommitError('Another leader has replaced the log entry of the command.'))
  }

  /** Rejects all proposals because leadership has ended. */
  rejectAll (): void {
    for (const pending of this.#byIndex.values()) {
      pending.reject(new UncertainCommitError('Leadership ended before the command was committed.'))
    }
    this.#byIndex.clear()
  }
}
