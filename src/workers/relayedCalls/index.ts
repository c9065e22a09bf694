/** Calls one worker through another control process, or directly while no other process can make the call. */
import type { Clock, Millis } from '../../clock/index.js'
import { CallTimeoutError } from '../../links/callTimeoutError/index.js'
import { isCertainlyNotSent, type MsgpackLinks } from '../../links/msgpackLink/index.js'
import type { Metrics } from '../../metrics/index.js'
import { RELAY_MARGIN_MS } from '../constants.js'
import { WORKER_CALLS, type ConnectWorkerAddress } from '../relay/index.js'
import type { RelayAnswer, RelayRequest, WorkerAddress, WorkerCallName, WorkerCallTypes } from '../relay/types.js'
import type { RelayRouter } from '../relayRouter/index.js'
import type { OrderAnswer, PaceRequest, StartRequest, StopRequest, WorkerCalls, WorkerPollAnswer, WorkerPollRequest } from '../types.js'

/** Relays that are asked to make a call, one after the other, while it is certain that none has made it. */
const MAX_RELAYS_ASKED = 2

/** Name of the call between processes. */
export const RELAY_CALL = 'relay'

/** Dependencies of {@link RelayedWorkerCalls}. */
export interface RelayedCallsDeps {
  readonly clock: Clock
  readonly links: MsgpackLinks
  readonly router: RelayRouter
  readonly connect: ConnectWorkerAddress
  /** Returns whether orders may still be sent. It is asked again before a refused call is made directly. */
  readonly mayOrder: () => boolean
  readonly metrics: Metrics
  /** Term of the leader. */
  readonly term: number
}

/** Client of one incarnation of a worker. */
export class RelayedWorkerCalls implements WorkerCalls {
  readonly #worker: WorkerAddress
  readonly #key: string
  readonly #deps: RelayedCallsDeps
  #direct: WorkerCalls | null = null
  #isClosed = false

  /**
   * @param key - key of the worker's incarnation
   * @param worker - the worker
   * @param deps - what the calls need
   */
  constructor (key: string, { id, address }: WorkerAddress, deps: RelayedCallsDeps) {
    this.#key = key
    this.#worker = { id, address }
    this.#deps = deps
  }

  poll (req: WorkerPollRequest, timeoutMs: Millis): Promise<WorkerPollAnswer> {
    return this.#call('poll', req, timeoutMs)
  }

  start (req: StartRequest, timeoutMs: Millis): Promise<OrderAnswer> {
    return this.#call('start', req, timeoutMs)
  }

  stop (req: StopRequest, timeoutMs: Millis): Promise<OrderAnswer> {
    return this.#call('stop', req, timeoutMs)
  }

  pace (req: PaceRequest, timeoutMs: Millis): Promise<OrderAnswer> {
    return this.#call('pace', req, timeoutMs)
  }

  close (): void {
    this.#isClosed = true
    this.#deps.router.forget(this.#key)
    this.#direct?.close()
  }

  async #call<K extends WorkerCallName> (call: K, req: WorkerCallTypes[K]['req'], timeoutMs: Millis): Promise<WorkerCallTypes[K]['answer']> {
    const { clock, router, mayOrder } = this.#deps
    const until = clock.now() + timeoutMs
    for (let attempt = 0; attempt < MAX_RELAYS_ASKED; attempt++) {
      const relay = this.#isClosed || (attempt > 0 && !mayOrder()) ? null : router.route(this.#key)
      if (relay === null) break
      const answer = await this.#relay(relay, call, req, until - clock.now())
      if (answer !== null) return answer
      if (clock.now() >= until) throw new CallTimeoutError(false)
    }
    return await this.#callDirectly(call, req, until - clock.now())
  }

  /** Makes a call through a relay. Resolves to null when the call was certainly not made. */
  async #relay<K extends WorkerCallName> (relay: string, call: K, req: WorkerCallTypes[K]['req'], timeoutMs: Millis): Promise<WorkerCallTypes[K]['answer'] | null> {
    const { links, router, metrics, term } = this.#deps
    metrics.count('oleanderward_relayed_calls', { relay })
    const relayTimeoutMs = timeoutMs + RELAY_MARGIN_MS
    const deadline = router.computeDeadline(relay, relayTimeoutMs)
    const relayed: RelayRequest<K> = { worker: this.#worker, term, call, req, timeoutMs, ...(deadline === null ? {} : { deadline }) }
    let outcome: RelayAnswer<K>
    try {
      outcome = await router.track(relay, links.to(relay).call<RelayAnswer<K>>(RELAY_CALL, relayed, relayTimeoutMs))
    } catch (err) {
      if (!isCertainlyNotSent(err)) {
        // A relay that is only slow keeps the workers whose calls it answers: all of them at once would overload the others.
        router.avoidFor(this.#key, relay)
        throw err
      }
      router.avoid(relay, (err as Error).message)
      return null
    }
    if (outcome.kind === 'answered') return outcome.answer
    if (outcome.kind === 'refused') {
      router.avoid(relay, outcome.reason)
      return null
    }
    // Another process may reach a worker that this relay can't reach, or not in time.
    router.avoidFor(this.#key, relay)
    throw new Error(outcome.reason)
  }

  async #callDirectly<K extends WorkerCallName> (call: K, req: WorkerCallTypes[K]['req'], timeoutMs: Millis): Promise<WorkerCallTypes[K]['answer']> {
    if (this.#isClosed || !this.#deps.mayOrder()) throw new Error('the call may no longer be made')
    this.#direct ??= this.#deps.connect(this.#worker)
    return await WORKER_CALLS[call](this.#direct, req, timeoutMs)
  }
}
