/** Decides through which control process the leader calls each worker. Answers the load of fleets of hundreds of workers. */
import type { Clock, Millis } from '../../clock/index.js'
import type { ClockReading } from '../../clock/processClock/index.js'
import type { RemoteClock } from '../../clock/remoteClock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'

/** Interval between looks at which members answer. */
const REFRESH_INTERVAL_MS: Millis = 50

/** A member that has not confirmed the leader for this long, three heartbeats, may be lost. */
const MAX_SILENCE_MS: Millis = 480

/** A relay that failed is used again after this time. */
const AVOID_MS: Millis = 2000

/** A relay keeps its workers up to this many times the mean, since each worker that changes its relay costs a connection. */
const MAX_LOAD_RATIO = 1.25

/** A member other than the leader. */
export interface RelayMember {
  readonly address: string
  /** Clock reading at which the newest message that it has confirmed was sent. */
  readonly confirmedAt: Millis
  readonly clock: RemoteClock | null
}

interface Relay {
  readonly workers: Set<string>
  /** Rejects the calls in flight through the relay. */
  readonly inFlight: Set<(err: Error) => void>
  isLive: boolean
  clock: RemoteClock | null
  avoidedUntil: Millis
}

/** Thrown when the relay of a call was lost while the call was in flight, so that its outcome is unknown. */
export class RelayLostError extends Error {
  override readonly name = 'RelayLostError'
}

/** Spreads the workers over the members that answer, and moves those of a lost or overloaded one. */
export class RelayRouter {
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #listMembers: () => readonly RelayMember[]
  readonly #relays = new Map<string, Relay>()
  /** Address of the relay of each worker that has one. */
  readonly #routes = new Map<string, string>()
  /** Relay through which a worker was not reached last, by worker. */
  readonly #unreachedThrough = new Map<string, string>()
  #refreshedAt: Millis = Number.NEGATIVE_INFINITY

  /**
   * @param clock - source of time
   * @param log - receives one line whenever a relay is used or lost
   * @param listMembers - returns the members other than this one
   */
  constructor (clock: Clock, log: EventLog, listMembers: () => readonly RelayMember[]) {
    this.#clock = clock
    this.#log = log
    this.#listMembers = listMembers
  }

  /**
   * Returns the relay through which a worker is called now.
   *
   * @param worker - key of the worker
   * @returns the relay's address, or null when no member can relay, so that the leader calls the worker itself
   */
  route (worker: string): string | null {
    this.#refresh()
    const current = this.#routes.get(worker)
    const unreachedThrough = this.#unreachedThrough.get(worker)
    let usableCount = 0
    let routedCount = 0
    let currentSize: number | null = null
    let leastLoaded: string | null = null
    let leastSize = Number.POSITIVE_INFINITY
    for (const [address, relay] of this.#relays) {
      if (!this.#isUsable(relay) || address === unreachedThrough) continue
      const { size } = relay.workers
      usableCount += 1
      routedCount += size
      if (address === current) currentSize = size
      if (size < leastSize) {
        leastLoaded = address
        leastSize = size
      }
    }
    if (current !== undefined && currentSize !== null && currentSize <= Math.ceil(routedCount / usableCount * MAX_LOAD_RATIO)) return current
    this.#release(worker)
    if (leastLoaded === null) return null
    this.#relays.get(leastLoaded)?.workers.add(worker)
    this.#routes.set(worker, leastLoaded)
    return leastLoaded
  }

  /** Returns the number of processes that make calls: the relays that answer, or the leader itself while there are none. */
  countCallers (): number {
    this.#refresh()
    let usable = 0
    for (const relay of this.#relays.values()) if (this.#isUsable(relay)) usable += 1
    return Math.max(1, usable)
  }

  /**
   * Returns the relay that a worker was last called through, or null when the leader called it itself.
   *
   * @param worker - key of the worker
   */
  routeOf (worker: string): string | null {
    return this.#routes.get(worker) ?? null
  }

  /**
   * Returns when a call through a relay that begins now is given up, on the relay's clock.
   *
   * @param address - the relay's address
   * @param timeoutMs - time for the call
   * @returns the deadline, or null when the relay has told nothing about its clock
   */
  computeDeadline (address: string, timeoutMs: Millis): ClockReading | null {
    return this.#relays.get(address)?.clock?.translate(this.#clock.now() + timeoutMs) ?? null
  }

  #release (worker: string): void {
    const address = this.#routes.get(worker)
    if (address === undefined) return
    this.#relays.get(address)?.workers.delete(worker)
    this.#routes.delete(worker)
  }

  /** @param worker - key of a worker that is gone */
  forget (worker: string): void {
    this.#release(worker)
    this.#unreachedThrough.delete(worker)
  }

  /**
   * Routes the next calls of a worker around a relay that has not reached it, until another one hasn't either.
   *
   * @param worker - key of the worker
   * @param address - the relay's address
   */
  avoidFor (worker: string, address: string): void {
    this.#unreachedThrough.set(worker, address)
  }

  /**
   * Routes the next calls of all workers around a relay for a while.
   *
   * @param address - the relay's address
   * @param reason - why, for the log
   */
  avoid (address: string, reason: string): void {
    const relay = this.#relays.get(address)
    if (relay === undefined) return
    if (this.#isUsable(relay)) this.#log.info('relay.avoided', { relay: address, workers: relay.workers.size, reason })
    relay.avoidedUntil = this.#clock.now() + AVOID_MS
  }

  /**
   * Waits for a call through a relay, or until the relay is lost.
   *
   * @param address - the relay's address
   * @param call - the call
   * @throws RelayLostError when the relay is lost first; the outcome of the call is unknown then
   */
  async track<T> (address: string, call: Promise<T>): Promise<T> {
    const inFlight = this.#relays.get(address)?.inFlight
    if (inFlight === undefined) return await call
    return await new Promise<T>((resolve, reject) => {
      inFlight.add(reject)
      call.finally(() => { inFlight.delete(reject) }).then(resolve, reject)
    })
  }

  #isUsable ({ isLive, avoidedUntil }: Relay): boolean {
    return isLive && avoidedUntil <= this.#clock.now()
  }

  #refresh (): void {
    const now = this.#clock.now()
    if (now - this.#refreshedAt < REFRESH_INTERVAL_MS) return
    this.#refreshedAt = now
    const live = new Map(this.#listMembers().filter(({ confirmedAt }) => now - confirmedAt < MAX_SILENCE_MS).map(({ address, clock }) => [address, clock]))
    for (const [address, clock] of live) {
      let relay = this.#relays.get(address)
      if (relay === undefined) this.#relays.set(address, relay = { workers: new Set(), inFlight: new Set(), isLive: false, clock, avoidedUntil: 0 })
      relay.clock = clock
      if (!relay.isLive) this.#use(address, relay)
    }
    for (const [address, relay] of this.#relays) if (relay.isLive && !live.has(address)) this.#lose(address, relay)
  }

  /** Uses a relay for the first time or again. That it had not reached workers before it was lost says nothing of now. */
  #use (address: string, relay: Relay): void {
    this.#log.info('relay.used', { relay: address })
    relay.isLive = true
    for (const [worker, unreachedThrough] of this.#unreachedThrough) if (unreachedThrough === address) this.#unreachedThrough.delete(worker)
  }

  #lose (address: string, relay: Relay): void {
    this.#log.info('relay.lost', { relay: address, workers: relay.workers.size, inFlight: relay.inFlight.size })
    relay.isLive = false
    const err = new RelayLostError(`the relay ${address} no longer answers`)
    for (const reject of relay.inFlight) reject(err)
    relay.inFlight.clear()
  }
}
