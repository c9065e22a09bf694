/** Commits the housekeeping of the replicated state now and then. */
import type { Planner, SessionContext } from './context.js'

/** An entry is forgotten this long after its lease ran out, in milliseconds. */
const GONE_AFTER_MS = 30_000

/** Keeps the state within its retention. */
export class Purger implements Planner {
  readonly name = 'purge'
  readonly intervalMs = 20_000
  readonly #context: SessionContext

  /** @param context - the leader's surroundings */
  constructor (context: SessionContext) {
    this.#context = context
  }

  async plan (): Promise<void> {
    const { data, entries, propose } = this.#context
    const gone = entries.listExpired(GONE_AFTER_MS)
    if (gone.length > 0) {
      await propose('dropEntries', { entries: gone })
      for (const entry of gone) entries.leave(entry)
    }
    const { operations, jobs, waves } = data()
    if (operations.size + jobs.size + waves.size > 0) await propose('purge', {})
  }
}
