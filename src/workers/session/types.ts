/** What a session with a worker is given. */
import type { Clock } from '../../clock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'

/** Surroundings of {@link WorkerSession}. */
export interface SessionContext {
  readonly clock: Clock
  readonly log: EventLog
  /** Fencing token of the term. */
  readonly token: number
  /** Whether this process may give orders at this moment. */
  readonly mayOrder: () => boolean
  /** Runs that the replicated state has on a worker. */
  readonly runsOn: (worker: string) => ReadonlyMap<string, { readonly run: number }>
  /** Whether a run that was placed is still to be started: its job may have been cancelled. */
  readonly isRunRequested: (task: string, run: number) => boolean
  /** The earlier life of this worker on which a run was placed, or null: a start meant for it may have come here. */
  readonly earlierIncarnationWith: (task: string, run: number) => string | null
  /** Called when there is something to commit or to plan. */
  readonly onChange: () => void
}

/** Start of one task. */
export interface StartOrder {
  readonly task: string
  readonly run: number
  readonly payload: string
  readonly checkpoint: string
  readonly ticket: string | null
}
