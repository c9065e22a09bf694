/**
 * Sends the starts of placed runs to one worker, and looks early whether it survives those of suspected tasks.
 *
 * Handles workers that restart unnoticed: the next incarnation takes a start for its own and holds a lease for it that is as long as workers allow,
 * which a long-running task can hardly wait for. The starts of such tasks are sent only once the incarnation has answered.
 */
import type { Millis } from '../../clock/index.js'
import { MAX_CONCURRENT_STARTS, START_LEASE_MS, SURVIVAL_PROBE_DELAYS_MS } from '../constants.js'
import type { LeaseClock } from '../leaseClock/index.js'
import type { RunControl } from '../runControl/index.js'
import { createRunOrder, type RunOrder, type RunOrders } from '../runOrder/index.js'
import type { StartOrder, WorkerSessionContext } from '../session/types.js'
import { StartQueue } from '../startQueue/index.js'

/** What the sender needs of the session with the worker. */
export interface StartSenderDeps {
  /** Key of the worker's incarnation. */
  readonly key: string
  readonly orders: RunOrders
  readonly control: RunControl
  readonly lease: LeaseClock
  readonly context: WorkerSessionContext
  /** Called with a run that was not sent. */
  readonly onNotSent: (task: string, run: number) => void
  /** Asks the worker beside the long poll which runs it has; the session ends when another incarnation answers. */
  readonly probe: () => Promise<void>
  /** Called when the worker has left a probe before a start unanswered. */
  readonly onUnanswered: () => void
  /** Whether the session has ended. */
  readonly isEnded: () => boolean
}

/** Starts runs on one worker, a few at a time. */
export class StartSender {
  readonly #deps: StartSenderDeps
  readonly #queue: StartQueue

  /** @param deps - parts of the session with the worker */
  constructor (deps: StartSenderDeps) {
    this.#deps = deps
    this.#queue = new StartQueue(MAX_CONCURRENT_STARTS, (task, run) => this.#mayStart(task, run))
  }

  /**
   * Sends a start, unless the run is no longer needed when its turn comes.
   *
   * @param startOrder - a committed placement
   */
  async start (startOrder: StartOrder): Promise<void> {
    const { orders, context, onNotSent } = this.#deps
    const { task, run } = startOrder
    const order: RunOrder = { ...createRunOrder(run, context.clock.now()), phase: 'starting', sentAt: Number.POSITIVE_INFINITY, isTrial: startOrder.isTrial }
    orders.set(task, order)
    const isSent = await this.#queue.run(task, run, () => this.#send(startOrder, order))
    if (!isSent) onNotSent(task, run)
  }

  /** Takes back the waiting starts that must not be sent any more. */
  takeBack (): void {
    this.#queue.takeBack()
  }

  /**
   * Waits until the starts of a job that are in flight have been answered or have timed out.
   *
   * @param job - id of the job
   */
  settle (job: string): Promise<void> {
    return this.#queue.settle(job)
  }

  #mayStart (task: string, run: number): boolean {
    const { key, orders, context } = this.#deps
    const reason = orders.get(task)?.isStopRequested === true ? 'stopRequested' : context.findObstacle(task, run)
    if (reason !== null) context.log.info('start.takenBack', { task, run, worker: key, reason })
    return reason === null
  }

  async #send (startOrder: StartOrder, order: RunOrder): Promise<void> {
    const { control, lease, context, onNotSent } = this.#deps
    const { task, run, isTrial, isLasting } = startOrder
    const maySend = !isLasting || (await this.#hasAnswered(startOrder) && this.#mayStart(task, run))
    if (!maySend || !lease.isKnown || !context.mayOrder()) {
      onNotSent(task, run)
      return
    }
    if (isTrial) for (const delayMs of SURVIVAL_PROBE_DELAYS_MS) void this.#probeSurvival(task, order, delayMs)
    await control.start(startOrder, order, (now, timeoutMs) => lease.grant(now, START_LEASE_MS, timeoutMs))
  }

  /** Asks whether the incarnation that a run was placed on is still there. */
  async #hasAnswered ({ task, run }: StartOrder): Promise<boolean> {
    const { key, context, probe, onUnanswered, isEnded } = this.#deps
    try {
      await probe()
      if (!isEnded()) return true
      context.log.info('start.takenBack', { task, run, worker: key, reason: 'restarted' })
    } catch (err) {
      if (!isEnded()) onUnanswered()
      context.log.info('start.takenBack', { task, run, worker: key, reason: (err as Error).message })
    }
    return false
  }

  /** Asks whether the worker has survived the start of a suspected task. */
  async #probeSurvival (task: string, order: RunOrder, delayMs: Millis): Promise<void> {
    const { key, orders, context, probe, isEnded } = this.#deps
    await context.clock.sleep(delayMs)
    if (isEnded() || order.hasSurvived || orders.get(task) !== order || !context.mayOrder()) return
    try {
      await probe()
    } catch (err) {
      context.log.info('survival.unclear', { task, run: order.run, worker: key, reason: (err as Error).message })
    }
  }
}
