/** Keeps what the leader knows about one run on a worker, beyond the replicated state. */
import type { RunningTask } from '../../batch/types.js'
import type { Millis } from '../../clock/index.js'

/**
 * Phase of a start order, which `explain` prints as it is. `unclear`: its outcome is unknown; `barred`: the run is revoked, which
 * means that the worker has confirmed that it has stopped the run and will never start it.
 */
export type OrderPhase = 'starting' | 'started' | 'unclear' | 'barred'

/** One run and the orders that were sent for it. */
export interface RunOrder {
  readonly run: number
  phase: OrderPhase
  /** Clock reading when the start was answered or timed out, or a stop was confirmed. */
  settledAt: Millis
  /** Clock reading when the start was confirmed; until then, when the leader's record of the run was created. */
  startedAt: Millis
  isStopRequested: boolean
  /** Whether a stop is in flight. */
  isStopping: boolean
  /** Progress that the worker reported last, or -1 when it has not listed the run. */
  percent: number
  /** Clock reading of the last change of the percentage. */
  percentChangedAt: Millis
  /** Tail latency in milliseconds, or processor use, that the worker reported last; null when it reported none. */
  load: number | null
  /** Share of the spare processor time that a filler task may use, in percent; `NaN` while it is unknown. */
  pace: number
  /** Last checkpoint that the worker reported; empty when there is none. */
  checkpoint: string
}

/**
 * Creates the record of a run that the worker has not reported yet.
 *
 * @param run - number of the run
 * @param now - clock reading
 */
export function createRunOrder (run: number, now: Millis): RunOrder {
  return { run, phase: 'unclear', settledAt: Number.NEGATIVE_INFINITY, startedAt: now, isStopRequested: false, isStopping: false, percent: -1, percentChangedAt: now, load: null, pace: 100, checkpoint: '' }
}

/** The leader's records of the last run of each task on one worker, by task. */
export class RunOrders extends Map<string, RunOrder> {
  /**
   * Returns the record of a run, and creates it when there is none or only that of another run.
   *
   * @param task - name of the task
   * @param run - number of the run
   * @param now - clock reading
   */
  ensure (task: string, run: number, now: Millis): RunOrder {
    let order = this.get(task)
    if (order === undefined || order.run !== run) {
      order = createRunOrder(run, now)
      this.set(task, order)
    }
    return order
  }

  /**
   * Records what the worker has reported about a run.
   *
   * @param reportedRun - the report
   * @param now - clock reading
   */
  observe ({ task, run, percent, load, checkpoint }: RunningTask, now: Millis): RunOrder {
    const order = this.ensure(task, run, now)
    if (order.phase === 'unclear') {
      order.phase = 'started'
      order.startedAt = now
    }
    if (percent !== order.percent) {
      order.percent = percent
      order.percentChangedAt = now
    }
    order.load = load
    order.checkpoint = checkpoint
    return order
  }
}
