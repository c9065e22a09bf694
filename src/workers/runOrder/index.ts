/** What the leader knows of one run on a worker. */
import type { Millis } from '../../clock/index.js'

/** How far an order to start has come. */
export type OrderPhase = 'starting' | 'started' | 'unclear' | 'barred'

/** What the leader knows of one run beyond the replicated state. */
export interface RunOrder {
  readonly run: number
  phase: OrderPhase
  /** Clock reading when the last answer to an order came. */
  settledAt: Millis
  startedAt: Millis
  isStopRequested: boolean
  isStopping: boolean
  percent: number
  /** Clock reading since when the percentage has not changed. */
  percentChangedAt: Millis
  load: number | null
  pace: number
  checkpoint: string
}

/**
 * Describes a run of which nothing was heard yet.
 *
 * @param run - number of the run
 * @param now - clock reading
 */
export function createRunOrder (run: number, now: Millis): RunOrder {
  return { run, phase: 'unclear', settledAt: Number.NEGATIVE_INFINITY, startedAt: now, isStopRequested: false, isStopping: false, percent: -1, percentChangedAt: now, load: null, pace: 100, checkpoint: '' }
}
