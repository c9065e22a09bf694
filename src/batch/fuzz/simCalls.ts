/** Simulated calls to the workers at one address, which fail, lose their answers or are carried out late. */
import type { Millis } from '../../clock/index.js'
import type { OrderAnswer, StartRequest, StopRequest, WorkerCalls, WorkerPollAnswer, WorkerPollRequest } from '../../workers/types.js'
import type { SimWorker } from './simFleet.js'
import type { SimWorld } from './simWorld.js'
import { PLAIN_VARIANT } from './simVariant.js'

const CALL_LATENCY_MS: Millis = 2

/** Calls whichever worker receives them when they arrive. */
export abstract class SimCalls implements WorkerCalls {
  readonly #callWorld: SimWorld

  /** @param world - state shared by all workers */
  constructor (world: SimWorld) {
    this.#callWorld = world
  }

  /** Returns the incarnation that calls reach now. */
  abstract findReceiver (): SimWorker

  poll (req: WorkerPollRequest, timeoutMs: Millis): Promise<WorkerPollAnswer> {
    return this.#call('poll', req.token, timeoutMs, (worker) => worker.answerPoll(req))
  }

  start (req: StartRequest, timeoutMs: Millis): Promise<OrderAnswer> {
    return this.#call(`start of run ${req.run} of ${req.task}`, req.token, timeoutMs, (worker) => worker.carryOutStart(req))
  }

  stop (req: StopRequest, timeoutMs: Millis): Promise<OrderAnswer> {
    return this.#call(`stop of run ${req.run} of ${req.task}`, req.token, timeoutMs, (worker) => worker.carryOutStop(req))
  }

  pace (): Promise<OrderAnswer> {
    return Promise.resolve({ refusal: null, clockMs: this.findReceiver().clockMs })
  }

  close (): void {}

  async #call<T> (name: string, token: number, timeoutMs: Millis, run: (worker: SimWorker) => Promise<T> | T): Promise<T> {
    const { clock, random, faults, variant, trace } = this.#callWorld
    const isReached = this.findReceiver().isReachable
    const chance = random.next()
    await clock.sleep(CALL_LATENCY_MS)
    const worker = this.findReceiver()
    const isReceived = isReached && !worker.isDead
    if (isReceived && chance >= faults.requestLost + faults.answerLost + faults.late) {
      const answer = await run(worker)
      if (worker.canAnswer) return answer
    } else if (isReceived && chance >= faults.requestLost) {
      const isLate = chance < faults.requestLost + faults.late
      const { lateDelayMs: [minDelay, maxDelay], doLateCallsOutlive } = variant ?? PLAIN_VARIANT
      void clock.sleep(isLate ? minDelay + (maxDelay - minDelay) * random.next() : 0).then(() => {
        const receiver = doLateCallsOutlive ? this.findReceiver() : worker
        if (receiver.isDead) return undefined
        if (isLate) trace?.(`a ${name} with token ${token} arrives late at incarnation ${receiver.born}`)
        return run(receiver)
      })
    }
    await clock.sleep(timeoutMs)
    throw new Error('no answer')
  }
}

/** Calls the latest incarnation at an address, which may be a later one than the caller means. */
export class AddressCalls extends SimCalls {
  readonly #find: () => SimWorker

  /**
   * @param world - state shared by all workers
   * @param find - returns the latest incarnation at the address
   */
  constructor (world: SimWorld, find: () => SimWorker) {
    super(world)
    this.#find = find
  }

  override findReceiver (): SimWorker {
    return this.#find()
  }
}
