/** Sends the leader's orders for runs that were placed on one worker before: stops and paces. */
import { ORDER_TIMEOUT_MS } from '../constants.js'
import type { RunOrders } from '../runOrder/index.js'
import type { WorkerSessionContext } from '../session/types.js'
import type { OrderAnswer, WorkerCalls } from '../types.js'

/** Receives what the answers to the orders tell about the worker. */
export interface OrderListener {
  readonly onAnswer: (answer: OrderAnswer) => void
  /** Called when another worker answers at the address. */
  readonly onWrongWorker: () => void
}

/** Stops and paces the runs on one incarnation of a worker. */
export class RunControl {
  readonly #worker: string
  readonly #orders: RunOrders
  readonly #calls: WorkerCalls
  readonly #context: WorkerSessionContext
  readonly #listener: OrderListener

  /**
   * @param worker - key of the worker's incarnation
   * @param orders - the leader's records of the runs there
   * @param calls - client of the worker
   * @param context - dependencies of the session
   * @param listener - receives what the answers tell about the worker
   */
  constructor (worker: string, orders: RunOrders, calls: WorkerCalls, context: WorkerSessionContext, listener: OrderListener) {
    this.#worker = worker
    this.#orders = orders
    this.#calls = calls
    this.#context = context
    this.#listener = listener
  }

  /**
   * Sends a stop; the end of the run arrives with a later poll.
   *
   * @param task - name of the task
   * @param run - number of the run
   */
  async stop (task: string, run: number): Promise<void> {
    const { clock, token } = this.#context
    const order = this.#orders.ensure(task, run, clock.now())
    order.isStopRequested = true
    if (order.isStopping || order.phase === 'starting' || !this.#context.mayOrder()) return
    order.isStopping = true
    try {
      const answer = await this.#calls.stop({ token, task, run }, ORDER_TIMEOUT_MS)
      this.#listener.onAnswer(answer)
      if (answer.refusal === null) {
        order.phase = 'barred'
        order.settledAt = clock.now()
      } else if (answer.refusal === 'wrongWorker') this.#listener.onWrongWorker()
    } catch (err) {
      this.#logUnclearStop(task, run, err as Error)
    } finally {
      order.isStopping = false
    }
  }

  /**
   * Stops a run that is not recorded here, or whose start was sent to an earlier incarnation.
   *
   * @param task - name of the task
   * @param run - number of the run
   * @returns whether the worker has confirmed that the run is stopped and will never start
   */
  async revoke (task: string, run: number): Promise<boolean> {
    if (!this.#context.mayOrder()) return false
    try {
      return (await this.#calls.stop({ token: this.#context.token, task, run }, ORDER_TIMEOUT_MS)).refusal === null
    } catch (err) {
      this.#logUnclearStop(task, run, err as Error)
      return false
    }
  }

  /**
   * Sets the share of the spare processor time that a filler task may use.
   *
   * @param task - name of the task
   * @param percent - 0 to 100
   */
  async pace (task: string, percent: number): Promise<void> {
    const { token } = this.#context
    const order = this.#orders.get(task)
    if (order === undefined || order.pace === percent || !this.#context.mayOrder()) return
    const before = order.pace
    order.pace = percent
    try {
      const answer = await this.#calls.pace({ token, task, run: order.run, percent }, ORDER_TIMEOUT_MS)
      this.#listener.onAnswer(answer)
      if (answer.refusal !== null) order.pace = before
    } catch (err) {
      order.pace = Number.NaN
      this.#context.log.info('pace.unclear', { task, worker: this.#worker, reason: (err as Error).message })
    }
  }

  #logUnclearStop (task: string, run: number, err: Error): void {
    this.#context.log.info('stop.unclear', { task, run, worker: this.#worker, reason: err.message })
  }
}
