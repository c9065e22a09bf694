/** Types of the session with a worker. */
import type { Clock, Millis } from '../../clock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import type { Metrics } from '../../metrics/index.js'
import type { PollGate } from '../pollGate/index.js'

/** Why a start must not be sent. */
export type StartObstacle = 'notNeeded' | 'draining' | 'cordoned' | 'unresponsive' | 'shrunk'

/** Dependencies of {@link WorkerSession}. */
export interface WorkerSessionContext {
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: Metrics
  /** Fencing token: rises with each term, and with each incarnation under the same id, so that calls to an earlier one are refused. */
  readonly token: number
  /** Longest lease that the worker may hold before this session grants one. */
  readonly inheritedLeaseMs: Millis
  /** Longest lease that workers allow. */
  readonly maxLeaseMs: Millis
  /** Whether this process may send orders now: its leader lease is confirmed. */
  readonly mayOrder: () => boolean
  /** Returns the runs that the replicated state has on a worker, by task. */
  readonly runsOn: (worker: string) => ReadonlyMap<string, { readonly run: number }>
  /** Returns why the start of a placed run must not be sent any more, or null when it may. */
  readonly findObstacle: (task: string, run: number) => StartObstacle | null
  /** Returns the earlier incarnation that a run was placed on, or null: its start may have reached this incarnation. */
  readonly earlierIncarnationWith: (task: string, run: number) => string | null
  /** Called when the worker has confirmed that a run that was placed on it has begun. */
  readonly onRunBegun: (task: string, run: number) => void
  /** Called when there may be something to commit or to plan. */
  readonly onChange: () => void
  /** Called when a run end was recorded that {@link WorkerSession.takeRunEnds} returns. */
  readonly onRunEnd: () => void
  /** Called when the incarnation is known to be gone. */
  readonly onGone: () => void
  /** Admits the polls that the worker answers at once. */
  readonly pollGate: PollGate
  /** Returns how long the worker may hold a long poll while it has no runs. */
  readonly idlePollWaitMs: () => Millis
}

/** Start of one run of a task. */
export interface StartOrder {
  readonly task: string
  readonly run: number
  readonly payload: string
  /** Checkpoint that the run continues from; empty when there is none. */
  readonly checkpoint: string
  /** Ticket of the advisor, or null when there is none. */
  readonly ticket: string | null
  /** Whether the job is suspected of crashing workers. */
  readonly isTrial: boolean
  /** Whether the task is long-running; the worker is asked first whether it has restarted. */
  readonly isLasting: boolean
}
