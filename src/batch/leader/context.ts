/** Dependencies shared by the components of a leader's term. */
import type { Clock } from '../../clock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import type { Metrics } from '../../metrics/index.js'
import type { BatchCommandOf, BatchCommandType } from '../state/records.js'
import type { BatchState } from '../state/index.js'

/** Commits a command with the wall-clock time added, and returns the result of its handler. */
export type ProposeBatch = <K extends BatchCommandType>(type: K, input: Omit<BatchCommandOf<K>, 'type' | 'at'>) => Promise<unknown>

/** Shared dependencies of one term. */
export interface TermContext {
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: Metrics
  readonly state: BatchState
  /** Term of the log, which is the fencing token of all orders to workers and machines. */
  readonly term: number
  /** Name of this process as the holder of leases. */
  readonly holder: string
  readonly propose: ProposeBatch
  /** Returns whether this process may send orders now, which needs a confirmed leader lease. */
  readonly mayOrder: () => boolean
  /** Aborted at the end of the term. */
  readonly signal: AbortSignal
}
