/** Link from an entry to an endpoint: connections, slots and health. */
import type { Dispatcher, Pool } from 'undici'
import type { Clock, Millis } from '../../clock/index.js'
import { MIN_CONNECTION_SHARES } from '../../contracts/constants.js'
import type { EndpointRecord } from '../../contracts/views/index.js'
import { createPool } from '../../links/http/index.js'
import { Ejection } from '../ejection/index.js'
import { createSlotWindow, type SlotSharing, type SlotWindow } from '../window/index.js'
import { AttemptHandler, type AttemptResult } from './attempt.js'

export type { AttemptResult, AnswerHeaders } from './attempt.js'

/** Idle connections are closed before a middlebox drops their state. */
const IDLE_CONNECTION_MS = 2000

const CONNECT_TIMEOUT_MS = 500

/** Time for which an endpoint gets no requests after it refused one because all its slots were in use. */
const FULL_PAUSE_MS = 10

/** Time for which an endpoint gets no requests after it refused one for another reason, such as a drain. */
const REFUSED_PAUSE_MS = 300

/** A request as sent to an endpoint. */
export interface AttemptRequest {
  readonly service: string
  /** Id of the attempt, which the endpoint must echo. */
  readonly attempt: string
  readonly method: string
  readonly path: string
  readonly headers: Record<string, string | string[]>
  readonly body: Buffer | null
  readonly timeoutMs: Millis
  /** Called just before the first byte is sent, since the lease may expire while the request waits for a connection. */
  readonly mayStart: () => boolean
}

/** How a link shares the endpoint's slots with other entries. */
export interface LinkOptions {
  readonly sharing: SlotSharing
  /** Returns the number of entries. */
  readonly entries: () => number
}

/** Manages the connections and slots of one incarnation of an endpoint. */
export class EndpointLink {
  readonly ejection: Ejection
  readonly #window: SlotWindow
  readonly #options: LinkOptions
  readonly #clock: Clock
  #record: EndpointRecord
  #pool: Pool
  #inFlight = 0
  #pausedUntil: Millis = 0
  #busyMs = new Map<string, Millis>()

  /**
   * @param record - announced record of the endpoint
   * @param options - how the slots are shared
   * @param clock - source of time
   */
  constructor (record: EndpointRecord, options: LinkOptions, clock: Clock) {
    this.#record = record
    this.#options = options
    this.#clock = clock
    this.ejection = new Ejection(clock)
    this.#window = createSlotWindow(options.sharing, record.slots, options.entries)
    this.#pool = this.#createPool()
  }

  /** The latest announced record of the endpoint. */
  get record (): EndpointRecord {
    return this.#record
  }

  /**
   * Replaces the record by a newer one of the same incarnation and address.
   *
   * @param record - the newer record
   */
  update (record: EndpointRecord): void {
    this.#record = record
  }

  /** Name of the endpoint's VM. */
  get vm (): string {
    return this.record.vm
  }

  /** Number of slots in use by this entry. */
  get inFlight (): number {
    return this.#inFlight
  }

  /** Number of slots that this entry may currently use. */
  get limit (): number {
    return Math.min(this.record.slots, this.#window.limit)
  }

  /**
   * Whether a request may be sent now: a slot is free, the endpoint is not paused, and it is not ejected or is due for a
   * probe.
   */
  get hasFreeSlot (): boolean {
    return this.#inFlight < this.limit && this.#clock.now() >= this.#pausedUntil && this.ejection.isAvailable
  }

  /** Acquires a slot, which must be released with {@link EndpointLink.release}. */
  acquire (): void {
    this.#inFlight += 1
    this.ejection.beginRequest()
  }

  /** Releases a slot. */
  release (): void {
    this.#inFlight -= 1
  }

  /** Returns the slot time used by each service since the last call, in milliseconds, and resets it. */
  takeBusyMs (): Map<string, Millis> {
    const busy = this.#busyMs
    this.#busyMs = new Map()
    return busy
  }

  /**
   * Sends a request. The slot must have been acquired.
   *
   * @param req - request of one attempt
   * @returns the result of the attempt; the promise never rejects
   */
  async send (req: AttemptRequest): Promise<AttemptResult> {
    const wasFull = this.#inFlight >= this.#window.limit
    const startedAt = this.#clock.now()
    const result = await this.#dispatch(req)
    this.#busyMs.set(req.service, (this.#busyMs.get(req.service) ?? 0) + this.#clock.now() - startedAt)
    if (result.kind === 'refused') {
      if (result.reason === 'full') this.#window.refused()
      this.#pausedUntil = this.#clock.now() + (result.reason === 'full' ? FULL_PAUSE_MS : REFUSED_PAUSE_MS)
      this.ejection.cancelProbe()
    } else if (result.kind === 'answer') this.#window.accepted(wasFull)
    else if (result.kind === 'unknown') this.#replacePool()
    return result
  }

  /** Closes the connections once nothing is in flight. */
  close (): void {
    this.#pool.close().catch(() => {})
  }

  #dispatch (req: AttemptRequest): Promise<AttemptResult> {
    return new Promise((resolve) => {
      const handler = new AttemptHandler(req.attempt, req.mayStart, (result) => {
        clearTimeout(timer)
        resolve(result)
      })
      const timer = setTimeout(() => { handler.onTimeout() }, req.timeoutMs)
      this.#pool.dispatch({ path: req.path, method: req.method as Dispatcher.HttpMethod, headers: req.headers, body: req.body }, handler)
    })
  }

  /** Replaces all connections after a failure, since the others may be broken in the same way. */
  #replacePool (): void {
    const old = this.#pool
    this.#pool = this.#createPool()
    old.close().catch(() => {})
  }

  #createPool (): Pool {
    const entries = Math.max(MIN_CONNECTION_SHARES, this.#options.entries())
    const connections = Math.max(1, Math.floor(this.record.connections / entries))
    return createPool(this.record.address, { connections, connectMs: CONNECT_TIMEOUT_MS, idleMs: IDLE_CONNECTION_MS })
  }
}
