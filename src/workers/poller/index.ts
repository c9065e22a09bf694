/** Sends polls to one incarnation of a worker, and records what their answers tell about its life. */
import type { Millis } from '../../clock/index.js'
import { CrashWindow } from '../crashWindow/index.js'
import { POLL_TIMEOUT_MS } from '../constants.js'
import type { WorkerSessionContext } from '../session/types.js'
import type { WorkerCalls, WorkerPollRequest, WorkerRuns } from '../types.js'

/** The runs that a worker has listed. */
export interface ListedRuns extends WorkerRuns {
  /** Reading of the worker's clock in the answer. */
  readonly clockMs: Millis
  /** Clock reading when the poll was sent. */
  readonly sentAt: Millis
}

/**
 * Result of a poll. `overtaken`: a newer answer was received before; `reincarnated`: a later incarnation under the same id has answered;
 * `wrongWorker`: another worker has.
 */
export type PollResult = { readonly kind: 'listed', readonly runs: ListedRuns } | { readonly kind: 'overtaken' | 'reincarnated' | 'wrongWorker' }

/** Polls one incarnation of a worker. */
export class WorkerPoller {
  readonly #calls: WorkerCalls
  readonly #context: Pick<WorkerSessionContext, 'clock' | 'metrics'>
  readonly #born: number
  readonly #crashWindow: CrashWindow
  /** Reading of the worker's clock in the newest answer. */
  #newestAnswerMs: Millis = Number.NEGATIVE_INFINITY
  /** Lists in the newest answer; null before the first one. */
  #newestLists: WorkerRuns | null = null

  /**
   * @param calls - client of the worker
   * @param context - clock and metrics
   * @param born - start time of the incarnation
   */
  constructor (calls: WorkerCalls, context: Pick<WorkerSessionContext, 'clock' | 'metrics'>, born: number) {
    this.#calls = calls
    this.#context = context
    this.#born = born
    this.#crashWindow = new CrashWindow(context.clock)
  }

  /** Clock reading by which the worker had crashed if it is gone; infinity while too little is known. */
  get crashedBy (): Millis {
    return this.#crashWindow.crashedBy
  }

  /** Whether the worker has listed its runs, so that it refuses late calls to earlier incarnations. */
  get hasListedRuns (): boolean {
    return this.#newestLists !== null
  }

  /**
   * Returns whether a run that was placed on an earlier incarnation is not running here and never will. Since its first answer the worker
   * refuses late calls to the earlier incarnation, because it has seen a higher token. A run that it lists is not excluded by a confirmed stop,
   * since it may go on for the stop grace, but by a later list.
   *
   * @param task - name of the task
   * @param run - number of the run
   */
  excludesEarlier (task: string, run: number): boolean {
    if (this.#newestLists === null || this.#newestLists.hasMoreEnds) return false
    const { running, ended } = this.#newestLists
    const isSame = (listed: { readonly task: string, readonly run: number }): boolean => listed.task === task && listed.run === run
    return !running.some(isSame) && !ended.some(isSame)
  }

  /**
   * Sends a poll.
   *
   * @param req - the poll
   * @throws when the worker has refused it, or its outcome is unknown
   */
  async poll (req: WorkerPollRequest): Promise<PollResult> {
    const { clock, metrics } = this.#context
    const sentAt = clock.now()
    metrics.count('oleanderward_worker_polls')
    const openPoll = this.#crashWindow.open(req.waitMs)
    const answer = await this.#calls.poll(req, req.waitMs + POLL_TIMEOUT_MS).catch((err: unknown) => {
      this.#crashWindow.recordFailure(openPoll)
      throw err
    })
    if (answer.refusal === 'wrongWorker') return { kind: 'wrongWorker' }
    if (answer.refusal === null && answer.born !== this.#born) return { kind: 'reincarnated' }
    this.#crashWindow.recordAnswer(openPoll)
    if (answer.refusal !== null) throw new Error(`the worker refused the long poll: ${answer.refusal}`)
    if (answer.clockMs < this.#newestAnswerMs) return { kind: 'overtaken' }
    this.#newestAnswerMs = answer.clockMs
    this.#newestLists = answer
    return { kind: 'listed', runs: { ...answer, sentAt } }
  }
}
