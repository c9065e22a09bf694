/** Removes expired data from the replicated state at regular intervals. */
import type { Planner, SessionContext } from './context.js'

/** Time for which an entry is kept after its lease has expired. */
const ENTRY_RETENTION_MS = 30_000

/** Removes entries, operations, jobs and waves whose retention has expired. */
export class Purger implements Planner {
  readonly name = 'purge'
  readonly intervalMs = 20_000
  readonly #context: SessionContext

  /** @param context - dependencies of the planner */
  constructor (context: SessionContext) {
    this.#context = context
  }

  async plan (): Promise<void> {
    const { data, entries, propose } = this.#context
    const expiredEntries = entries.listExpired(ENTRY_RETENTION_MS)
    if (expiredEntries.length > 0) {
      await propose('dropEntries', { entries: expiredEntries })
      for (const entry of expiredEntries) entries.leave(entry)
    }
    const { operations, jobs, waves } = data()
    if (operations.size + jobs.size + waves.size > 0) await propose('purge', {})
  }
}
