/** Sends the leader's orders for the runs on one worker: starts, stops and paces. */
import type { Millis } from '../../clock/index.js'
import { attributeAnswer, type AnswerSource, type WorkerReading } from '../attributeAnswer/index.js'
import { LASTING_START_TIMEOUT_MS, ORDER_TIMEOUT_MS } from '../constants.js'
import type { RunOrder, RunOrders } from '../runOrder/index.js'
import type { StartOrder, WorkerSessionContext } from '../session/types.js'
import type { OrderAnswer, OrderRefusal, WorkerCalls } from '../types.js'

/** Receives what the answers to the orders tell about the worker. */
export interface OrderListener {
  readonly onAnswer: (answer: OrderAnswer, source: AnswerSource) => void
  /** Returns the newest reading of the worker's clock. */
  readonly readClock: () => WorkerReading | null
  /** Called when the worker has refused a start and will not carry it out. */
  readonly onStartRefused: (task: string, run: number) => void
  /** Called when another worker answers at the address. */
  readonly onWrongWorker: () => void
}

/** Starts, stops and paces the runs on one incarnation of a worker. */
export class RunControl {
  /** Starts that the worker refused in a row because it is overloaded or failing. */
  consecutiveRefusals = 0
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
   * Sends a start.
   *
   * @param startOrder - the start
   * @param order - the leader's record of the run, which receives the outcome
   * @param grantLease - records a lease that begins at a reading of the leader's clock and is sent with a time-out; returns when it expires, on the worker's clock
   */
  async start (startOrder: StartOrder, order: RunOrder, grantLease: (now: Millis, timeoutMs: Millis) => Millis): Promise<void> {
    const { clock, token } = this.#context
    const { isTrial: _, isLasting, ...runStart } = startOrder
    const timeoutMs = isLasting ? LASTING_START_TIMEOUT_MS : ORDER_TIMEOUT_MS
    const reading = this.#listener.readClock()
    order.sentAt = clock.now()
    try {
      const answer = await this.#calls.start({ ...runStart, token, leaseEndMs: grantLease(order.sentAt, timeoutMs) }, timeoutMs)
      order.settledAt = clock.now()
      const source = this.#attribute(answer, reading, order.sentAt)
      if (source !== 'same') this.#context.log.info('start.unattributed', { task: startOrder.task, run: startOrder.run, worker: this.#worker, source, refusal: answer.refusal, clockMs: answer.clockMs, lastClockMs: reading?.workerClockMs ?? null })
      if (answer.refusal !== null) this.#onStartRefused(startOrder, order, answer.refusal)
      else if (source === 'other') order.phase = 'unclear'
      else {
        order.phase = 'started'
        order.startedAt = order.settledAt
        order.runningSinceMs ??= answer.clockMs
        if (source === 'same') this.#orders.confirm(startOrder.task, order)
        this.consecutiveRefusals = 0
      }
    } catch (err) {
      order.phase = 'unclear'
      order.settledAt = clock.now()
      this.#context.log.info('start.unclear', { task: startOrder.task, run: startOrder.run, worker: this.#worker, reason: (err as Error).message })
    }
  }

  /** Attributes an answer to an incarnation, and tells the session. */
  #attribute (answer: OrderAnswer, reading: WorkerReading | null, sentAt: Millis): AnswerSource {
    // That another worker answers is known from the refusal.
    if (answer.refusal === 'wrongWorker') return 'unclear'
    const source = attributeAnswer(answer.clockMs, reading, { sentAt, receivedAt: this.#context.clock.now() })
    this.#listener.onAnswer(answer, source)
    return source
  }

  #onStartRefused ({ task, run }: StartOrder, order: RunOrder, refusal: OrderRefusal): void {
    this.#context.log.info('start.refused', { task, run, worker: this.#worker, reason: refusal })
    if (refusal === 'stale') {
      // The run may have begun and ended on an earlier delivery of the start. The lists of the worker tell.
      order.phase = 'unclear'
      return
    }
    if (refusal === 'unhealthy') this.consecutiveRefusals += 1
    this.#listener.onStartRefused(task, run)
    if (refusal === 'wrongWorker') this.#listener.onWrongWorker()
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
    const reading = this.#listener.readClock()
    const sentAt = clock.now()
    try {
      const answer = await this.#calls.stop({ token, task, run }, ORDER_TIMEOUT_MS)
      const source = this.#attribute(answer, reading, sentAt)
      if (answer.refusal === null && source !== 'other') {
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
   * Stops a run that is not recorded here. Its end is listed later, or the run is listed again and the stop repeated.
   *
   * @param task - name of the task
   * @param run - number of the run
   */
  async stopUnknown (task: string, run: number): Promise<void> {
    if (!this.#context.mayOrder()) return
    try {
      const { refusal } = await this.#calls.stop({ token: this.#context.token, task, run }, ORDER_TIMEOUT_MS)
      this.#context.log.info('run.unknownStopped', { task, run, worker: this.#worker, refusal })
    } catch (err) {
      this.#logUnclearStop(task, run, err as Error)
    }
  }

  /**
   * Sets the share of the spare processor time that a filler task may use.
   *
   * @param task - name of the task
   * @param percent - 0 to 100
   */
  async pace (task: string, percent: number): Promise<void> {
    const { clock, token } = this.#context
    const order = this.#orders.get(task)
    if (order === undefined || order.pace === percent || !this.#context.mayOrder()) return
    const before = order.pace
    order.pace = percent
    const reading = this.#listener.readClock()
    const sentAt = clock.now()
    try {
      const answer = await this.#calls.pace({ token, task, run: order.run, percent }, ORDER_TIMEOUT_MS)
      this.#attribute(answer, reading, sentAt)
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
