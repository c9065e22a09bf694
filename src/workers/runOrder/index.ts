/** Keeps what the leader knows about one run on a worker, beyond the replicated state. */
import type { RunningTask } from '../../batch/types.js'
import type { Millis } from '../../clock/index.js'
import { MAX_CRASH_DELAY_MS, SURVIVAL_MS } from '../constants.js'

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
  /** Clock reading when the start was sent; minus infinity when an earlier leader may have sent it, infinity while it waits. */
  sentAt: Millis
  /** Reading of the worker's clock when the run was first known to be running; null before. */
  runningSinceMs: Millis | null
  /** Whether the incarnation that the run was placed on has listed it or answered its start, so that no other one can have taken the start. */
  isConfirmed: boolean
  /** Whether the worker went on listing the run for {@link SURVIVAL_MS}. */
  hasSurvived: boolean
  /** Whether the job is suspected of crashing workers, so that the run's survival is looked at early. */
  isTrial: boolean
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
  return { run, phase: 'unclear', settledAt: Number.NEGATIVE_INFINITY, startedAt: now, sentAt: Number.NEGATIVE_INFINITY, runningSinceMs: null, isConfirmed: false, hasSurvived: false, isTrial: false, isStopRequested: false, isStopping: false, percent: -1, percentChangedAt: now, load: null, pace: 100, checkpoint: '' }
}

/** The leader's records of the last run of each task on one worker, by task. */
export class RunOrders extends Map<string, RunOrder> {
  readonly #onConfirmed: (task: string, run: number) => void

  /** @param onConfirmed - called when the incarnation that a run was placed on has confirmed it */
  constructor (onConfirmed: (task: string, run: number) => void = () => {}) {
    super()
    this.#onConfirmed = onConfirmed
  }

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
   * Records that the incarnation which a run was placed on has listed it or answered its start.
   *
   * @param task - name of the task
   * @param order - record of the run
   */
  confirm (task: string, order: RunOrder): void {
    if (order.isConfirmed) return
    order.isConfirmed = true
    this.#onConfirmed(task, order.run)
  }

  /**
   * Records what the worker has reported about a run.
   *
   * @param reportedRun - the report
   * @param now - clock reading
   * @param workerClockMs - reading of the worker's clock in the report
   */
  observe ({ task, run, percent, load, checkpoint }: RunningTask, now: Millis, workerClockMs: Millis): RunOrder {
    const order = this.ensure(task, run, now)
    order.runningSinceMs ??= workerClockMs
    this.confirm(task, order)
    if (workerClockMs - order.runningSinceMs >= SURVIVAL_MS) order.hasSurvived = true
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

  /**
   * Returns whether the worker is known to have survived a run.
   *
   * @param task - name of the task
   * @param run - number of the run
   */
  hasSurvived (task: string, run: number): boolean {
    const order = this.get(task)
    return order?.run === run && order.hasSurvived
  }

  /**
   * Returns whether a run may have crashed the worker: its start was sent before, and the worker is not known to have survived it.
   *
   * @param task - name of the task
   * @param run - number of the run
   * @param silentSince - clock reading of the first call that the worker left unanswered
   */
  isFresh (task: string, run: number, silentSince: Millis): boolean {
    const order = this.get(task)
    return order?.run !== run || (!order.hasSurvived && order.sentAt <= silentSince)
  }

  /**
   * Returns whether a run was still running when the worker crashed: this leader has sent its start, the worker has confirmed it, and the
   * crash came so soon that the run can hardly have ended before. The end of a later crash may have been lost with the worker.
   *
   * @param task - name of the task
   * @param run - number of the run
   * @param crashedBy - clock reading by which the worker had crashed
   */
  wasRunningAtCrash (task: string, run: number, crashedBy: Millis): boolean {
    const order = this.get(task)
    return order?.run === run && order.runningSinceMs !== null && crashedBy - order.sentAt <= MAX_CRASH_DELAY_MS
  }

  /** Whether a run of a suspected job has not been seen to survive yet. */
  get hasOpenTrial (): boolean {
    for (const { isTrial, hasSurvived } of this.values()) if (isTrial && !hasSurvived) return true
    return false
  }
}
