/** Logs when the cap of a workspace begins to hold its tasks back, and when it no longer does. */
import type { Millis } from '../../clock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'

/** A cap counts as free when it has held nothing back for this long, so that a workspace at its cap writes no line for each task that ends. */
const FREE_AFTER_MS: Millis = 2000

/** Lines a second, for all workspaces. */
const MAX_LINES_PER_SECOND = 10

const SECOND_MS: Millis = 1000

interface ReachedCap {
  readonly since: Millis
  lastAt: Millis
  /** Whether it was logged; otherwise too many others were. */
  readonly isLogged: boolean
}

/** Follows which workspaces are at their cap. */
export class CapWatch {
  readonly #log: EventLog
  readonly #reached = new Map<string, ReachedCap>()
  #second = Number.NEGATIVE_INFINITY
  #lines = 0

  /** @param log - receives the lines */
  constructor (log: EventLog) {
    this.#log = log
  }

  /** Names of the workspaces that are at their cap. */
  get workspaces (): Iterable<string> {
    return this.#reached.keys()
  }

  /**
   * Records one scheduling cycle.
   *
   * @param refused - names of the workspaces of which something was held back
   * @param now - time in milliseconds
   */
  observe (refused: ReadonlySet<string>, now: Millis): void {
    for (const workspace of refused) {
      const reached = this.#reached.get(workspace)
      if (reached === undefined) this.#reached.set(workspace, { since: now, lastAt: now, isLogged: this.#write('workspace.capReached', { workspace }, now) })
      else reached.lastAt = now
    }
    for (const [workspace, { since, lastAt, isLogged }] of this.#reached) {
      if (now - lastAt < FREE_AFTER_MS) continue
      this.#reached.delete(workspace)
      if (isLogged) this.#write('workspace.capFree', { workspace, heldMs: Math.round(lastAt - since) }, now)
    }
  }

  #write (event: string, fields: Readonly<Record<string, unknown>>, now: Millis): boolean {
    const second = Math.floor(now / SECOND_MS)
    if (second !== this.#second) this.#lines = 0
    this.#second = second
    if (this.#lines >= MAX_LINES_PER_SECOND) return false
    this.#lines += 1
    this.#log.info(event, fields)
    return true
  }
}
