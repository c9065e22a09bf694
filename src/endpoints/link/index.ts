/** An entry's link to one endpoint: its connections, its slots and its health. */
import type { Dispatcher, Pool } from 'undici'
import type { Clock, Millis } from '../../clock/index.js'
import { MIN_CONNECTION_SHARES } from '../../contracts/constants.js'
import type { EndpointRecord } from '../../contracts/views/index.js'
import { createPool } from '../../links/http/index.js'
import { Ejection } from '../ejection/index.js'
import { createSlotWindow, type SlotSharing, type SlotWindow } from '../window/index.js'
import { AttemptHandler, type AttemptResult } from './attempt.js'

export type { AttemptResult, AnswerHeaders } from './attempt.js'

/** Idle connections are retired before a middlebox forgets them. */
const IDLE_CONNECTION_MS = 2000

const CONNECT_TIMEOUT_MS = 500

/** Time for which an endpoint is passed over that refused since its slots are taken. */
const FULL_PAUSE_MS = 10

/** Time for which an endpoint is passed over that refused for another reason, such as a drain. */
const LEAVING_PAUSE_MS = 300

/** What is sent to an endpoint. */
export interface AttemptRequest {
  readonly service: string
  readonly attempt: string
  readonly method: string
  readonly path: string
  readonly headers: Record<string, string | string[]>
  readonly body: Buffer | null
  readonly timeoutMs: Millis
  /** Asked before the first byte leaves: waiting for a connection may have outlasted a lease. */
  readonly mayStart: () => boolean
}

/** How a link shares its endpoint with other entries. */
export interface LinkOptions {
  readonly sharing: SlotSharing
  /** Returns how many entries there are. */
  readonly entries: () => number
}

/** Connections to one run of one endpoint. */
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
   * @param record - the endpoint as it announced itself
   * @param options - how its slots are shared
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

  /** The endpoint as it last announced itself. */
  get record (): EndpointRecord {
    return this.#record
  }

  /**
   * Takes over a newer announcement of the same run at the same address.
   *
   * @param record - the endpoint
   */
  update (record: EndpointRecord): void {
    this.#record = record
  }

  get vm (): string {
    return this.record.vm
  }

  get inFlight (): number {
    return this.#inFlight
  }

  /** Slots that this entry may use at the moment. */
  get limit (): number {
    return Math.min(this.record.slots, this.#window.limit)
  }

  get hasRoom (): boolean {
    return this.#inFlight < this.limit && this.#clock.now() >= this.#pausedUntil && this.ejection.isOpen
  }

  /** Takes a slot; it must be given back with {@link release}. */
  acquire (): void {
    this.#inFlight += 1
    this.ejection.begin()
  }

  /** Gives a slot back. */
  release (): void {
    this.#inFlight -= 1
  }

  /** Returns the slot time used since the last call by service, in milliseconds. */
  takeBusyMs (): Map<string, Millis> {
    const busy = this.#busyMs
    this.#busyMs = new Map()
    return busy
  }

  /**
   * Sends one request. The slot must have been acquired.
   *
   * @param req - what is sent
   * @returns how it ended; it never rejects
   */
  async send (req: AttemptRequest): Promise<AttemptResult> {
    const wasFull = this.#inFlight >= this.#window.limit
    const startedAt = this.#clock.now()
    const result = await this.#dispatch(req)
    this.#busyMs.set(req.service, (this.#busyMs.get(req.service) ?? 0) + this.#clock.now() - startedAt)
    if (result.kind === 'refused') {
      if (result.reason === 'full') this.#window.refused()
      this.#pausedUntil = this.#clock.now() + (result.reason === 'full' ? FULL_PAUSE_MS : LEAVING_PAUSE_MS)
      this.ejection.cancelTrial()
    } else if (result.kind === 'answer') this.#window.accepted(wasFull)
    else if (result.kind === 'unknown') this.#renew()
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
      const timer = setTimeout(() => { handler.timeOut() }, req.timeoutMs)
      this.#pool.dispatch({ path: req.path, method: req.method as Dispatcher.HttpMethod, headers: req.headers, body: req.body }, handler)
    })
  }

  /** After a failure none of the old connections is used again: others may be dead in the same way. */
  #renew (): void {
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
