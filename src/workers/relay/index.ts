/**
 * Makes the leader's calls to workers on another control process, so that the leader's processor time goes to decisions.
 *
 * A relay decides nothing and keeps no state but its connections. It makes a call only while it follows the leader that asks, only
 * if it has heard that leader recently, and only before the leader gives the call up: a process that was paused reads calls that have
 * waited in its buffers together with newer heartbeats.
 */
import type { Clock, Millis } from '../../clock/index.js'
import type { ProcessClock } from '../../clock/processClock/index.js'
import type { WorkerCalls } from '../types.js'
import type { RelayAnswer, RelayRequest, WorkerAddress, WorkerCallName, WorkerCallTypes } from './types.js'

/** Connections to a worker that the leader no longer calls through this process are closed after this time. */
const UNUSED_AFTER_MS: Millis = 15_000
const SWEEP_INTERVAL_MS: Millis = 5000

/** Creates the client of a worker. */
export type ConnectWorkerAddress = (worker: WorkerAddress) => WorkerCalls

interface ConnectedWorker {
  readonly calls: WorkerCalls
  usedAt: Millis
}

type CallHandlers = { readonly [K in WorkerCallName]: (calls: WorkerCalls, req: WorkerCallTypes[K]['req'], timeoutMs: Millis) => Promise<WorkerCallTypes[K]['answer']> }

/** Maps each call to the method that makes it. */
export const WORKER_CALLS: CallHandlers = {
  poll: (calls, req, timeoutMs) => calls.poll(req, timeoutMs),
  start: (calls, req, timeoutMs) => calls.start(req, timeoutMs),
  stop: (calls, req, timeoutMs) => calls.stop(req, timeoutMs),
  pace: (calls, req, timeoutMs) => calls.pace(req, timeoutMs)
}

/** Makes calls to workers for the leader. */
export class WorkerRelay {
  readonly #clock: Clock
  readonly #connect: ConnectWorkerAddress
  readonly #mayRelay: (term: number) => boolean
  readonly #processClock: ProcessClock
  readonly #onExpired: (call: WorkerCallName) => void
  readonly #workers = new Map<string, ConnectedWorker>()
  #sweptAt: Millis

  /**
   * @param clock - source of time
   * @param connect - creates the client of a worker
   * @param mayRelay - returns whether this process follows the leader of a term and has heard from it recently
   * @param processClock - clock of this process, to which deadlines refer
   * @param onExpired - called for each call that is not made since its deadline has passed
   */
  constructor (clock: Clock, connect: ConnectWorkerAddress, mayRelay: (term: number) => boolean, processClock: ProcessClock, onExpired: (call: WorkerCallName) => void = () => {}) {
    this.#clock = clock
    this.#connect = connect
    this.#mayRelay = mayRelay
    this.#processClock = processClock
    this.#onExpired = onExpired
    this.#sweptAt = clock.now()
  }

  /** Number of workers that this process has connections to. */
  get workerCount (): number {
    return this.#workers.size
  }

  /**
   * Makes a call for the leader.
   *
   * @param relayed - the call
   * @returns the worker's answer; `refused` or `expired` when no call was made
   */
  async make<K extends WorkerCallName> ({ worker, term, call, req, timeoutMs, deadline }: RelayRequest<K>): Promise<RelayAnswer<K>> {
    if (!Object.hasOwn(WORKER_CALLS, call)) return { kind: 'refused', reason: `unknown call "${call}"` }
    const leaderTerm = term ?? req.token
    if (!this.#mayRelay(leaderTerm)) return { kind: 'refused', reason: `this process does not follow the leader of term ${leaderTerm}` }
    const timeLeftMs = deadline === undefined ? timeoutMs : Math.min(timeoutMs, this.#processClock.timeLeft(deadline))
    // Also a reading that is no number is no deadline.
    if (!(timeLeftMs > 0)) {
      this.#onExpired(call)
      return { kind: 'expired', reason: 'the relay has read the call after its deadline' }
    }
    try {
      return { kind: 'answered', answer: await WORKER_CALLS[call](this.#callsOf(worker), req, timeLeftMs) }
    } catch (err) {
      return { kind: 'unclear', reason: (err as Error).message }
    }
  }

  /** Closes the connections to all workers. */
  close (): void {
    for (const { calls } of this.#workers.values()) calls.close()
    this.#workers.clear()
  }

  #callsOf ({ id, address }: WorkerAddress): WorkerCalls {
    const now = this.#clock.now()
    if (now - this.#sweptAt > SWEEP_INTERVAL_MS) this.#closeUnused(now)
    const key = `${id} ${address}`
    let connected = this.#workers.get(key)
    if (connected === undefined) this.#workers.set(key, connected = { calls: this.#connect({ id, address }), usedAt: now })
    connected.usedAt = now
    return connected.calls
  }

  #closeUnused (now: Millis): void {
    this.#sweptAt = now
    for (const [key, { calls, usedAt }] of this.#workers) {
      if (now - usedAt <= UNUSED_AFTER_MS) continue
      calls.close()
      this.#workers.delete(key)
    }
  }
}
