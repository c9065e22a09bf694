/** Assigns requests to slots of endpoints: routing, queueing and load shedding. */
import type { Clock, Millis } from '../../clock/index.js'
import type { WorkClass } from '../../contracts/types.js'
import type { EndpointLink } from '../../endpoints/link/index.js'
import type { FleetView } from '../../machines/fleetView/index.js'
import { FairQueue } from '../fairQueue/index.js'

/** Interval at which waiting requests are checked for free slots and passed deadlines. */
const SWEEP_INTERVAL_MS = 10

/** Weight of a new measurement in the moving average of the service time. */
const SMOOTHING_FACTOR = 0.1

/** A request for a slot. */
export interface SlotRequest {
  readonly service: string
  readonly team: string
  readonly class: WorkClass
  /** Clock reading after which the caller no longer needs the answer. */
  readonly deadline: Millis
  /** VMs of earlier attempts that were not refused, which a retry avoids; empty for the first attempt. */
  readonly triedVms: readonly string[]
}

/** Why a request was shed instead of getting a slot. */
export type ShedReason = 'staleView' | 'noEndpoint' | 'queueFull' | 'deadline'

/** An acquired slot, or the reason why the request was shed and when it may be retried. */
export type SlotGrant =
  | { readonly ok: true, readonly link: EndpointLink }
  | { readonly ok: false, readonly reason: ShedReason, readonly retryAfterMs: Millis }

/** A request waiting in the queue. */
interface QueuedRequest extends SlotRequest {
  readonly resolve: (grant: SlotGrant) => void
}

/** Queue and statistics of one service. */
interface ServiceState {
  readonly queue: FairQueue<QueuedRequest>
  /** Moving average of the time for which a request holds a slot, in milliseconds. */
  serviceMs: number
  /** Slot requests without tried VMs since the last demand report. */
  arrived: number
}

/** Routes the requests of one entry to endpoints. */
export class Dispatcher {
  readonly #view: FleetView
  readonly #clock: Clock
  readonly #random: () => number
  readonly #services = new Map<string, ServiceState>()
  #isSweeping = false

  /**
   * @param view - the entry's view of the fleet
   * @param clock - source of time
   * @param random - returns a number in [0, 1)
   */
  constructor (view: FleetView, clock: Clock, random: () => number) {
    this.#view = view
    this.#clock = clock
    this.#random = random
  }

  /** Number of requests waiting for a slot. */
  get waiting (): number {
    return [...this.#services.values()].reduce((sum, state) => sum + state.queue.size, 0)
  }

  /**
   * Acquires a slot. Waits in the queue of the service if the queue is not full and the deadline allows it.
   *
   * @param req - request for a slot
   * @returns the acquired slot, which must be released, or why the request was shed
   */
  acquire (req: SlotRequest): SlotGrant | Promise<SlotGrant> {
    const state = this.#getServiceState(req.service)
    if (req.triedVms.length === 0) state.arrived += 1
    const shedReason = this.#findShedReason(req, state)
    if (shedReason !== null) return this.#createShedGrant(shedReason, state)
    // With an empty queue a request is served even if the measured service time exceeds the time left, which keeps that
    // measurement current.
    const link = state.queue.size === 0 ? this.#selectLink(req) : undefined
    if (link !== undefined) {
      link.acquire()
      return { ok: true, link }
    }
    return new Promise((resolve) => {
      state.queue.push({ ...req, resolve })
      this.#serveQueue(state)
      this.#startSweeping()
    })
  }

  /**
   * Releases a slot and serves waiting requests.
   *
   * @param link - link to the endpoint of the slot
   * @param service - service that used the slot
   * @param heldMs - time for which the slot was used, in milliseconds, or null when it says nothing about the service
   *   time
   */
  release (link: EndpointLink, service: string, heldMs: Millis | null): void {
    link.release()
    const state = this.#getServiceState(service)
    if (heldMs !== null) state.serviceMs += SMOOTHING_FACTOR * (heldMs - state.serviceMs)
    this.serveWaiting()
  }

  /** Serves waiting requests of all services while there are free slots. */
  serveWaiting (): void {
    for (const state of this.#services.values()) {
      if (state.queue.size > 0) this.#serveQueue(state)
    }
  }

  /** Returns the demand by service since the last call, and resets it. */
  takeDemand (): Array<{ service: string, arrived: number, waiting: number }> {
    return [...this.#services].map(([service, state]) => {
      const { arrived } = state
      state.arrived = 0
      return { service, arrived, waiting: state.queue.size }
    })
  }

  #getServiceState (service: string): ServiceState {
    let state = this.#services.get(service)
    if (state === undefined) {
      state = { queue: new FairQueue((team) => this.#weightOf(team)), serviceMs: 10, arrived: 0 }
      this.#services.set(service, state)
    }
    return state
  }

  #weightOf (team: string): number {
    const teams = this.#view.rules?.teams
    return teams !== undefined && Object.hasOwn(teams, team) ? teams[team]?.weight ?? 1 : 1
  }

  #findShedReason (req: SlotRequest, state: ServiceState): ShedReason | null {
    if (!this.#view.isFresh) return 'staleView'
    const { own, spare } = this.#view.candidates(req.service)
    if (own.length + spare.length === 0) return 'noEndpoint'
    if (req.class !== 'urgent' && state.queue.size >= (this.#view.service(req.service)?.queueLimit ?? 0)) return 'queueFull'
    const waitMs = this.#estimateWaitMs(req, state)
    return this.#clock.now() + waitMs > req.deadline ? 'deadline' : null
  }

  /** Estimates how long a new request would wait for a slot. */
  #estimateWaitMs (req: SlotRequest, state: ServiceState): Millis {
    const ahead = state.queue.countAhead(req.class)
    if (ahead === 0) return 0
    const { own, spare } = this.#view.candidates(req.service)
    const slots = [...own, ...spare].reduce((sum, link) => sum + link.limit, 0)
    return state.serviceMs * ahead / Math.max(1, slots)
  }

  #createShedGrant (reason: ShedReason, state: ServiceState): SlotGrant {
    return { ok: false, reason, retryAfterMs: Math.max(100, Math.round(state.serviceMs * state.queue.size / 8)) }
  }

  #serveQueue (state: ServiceState): void {
    const now = this.#clock.now()
    for (let queued = state.queue.peek(); queued !== undefined; queued = state.queue.peek()) {
      // The answer would arrive after the deadline, so the slot would be wasted.
      if (queued.deadline <= now + state.serviceMs) {
        state.queue.shift()
        queued.resolve(this.#createShedGrant('deadline', state))
        continue
      }
      if (!this.#view.isFresh) {
        state.queue.shift()
        queued.resolve(this.#createShedGrant('staleView', state))
        continue
      }
      const link = this.#selectLink(queued)
      if (link === undefined) return
      state.queue.shift()
      link.acquire()
      queued.resolve({ ok: true, link })
    }
  }

  /** Selects an endpoint of the service's own pools or, when those are full, of the spare pool. */
  #selectLink (req: SlotRequest): EndpointLink | undefined {
    const { own, spare } = this.#view.candidates(req.service)
    return this.#selectFrom(own, req) ?? this.#selectFrom(spare, req)
  }

  #selectFrom (links: readonly EndpointLink[], req: SlotRequest): EndpointLink | undefined {
    if (req.triedVms.length > 0) return this.#selectForRetry(links, req)
    // Power of two random choices: spreads the load without scanning all endpoints.
    const first = links[Math.floor(this.#random() * links.length)]
    const second = links[Math.floor(this.#random() * links.length)]
    const candidate = pickLessLoaded(first, second)
    if (candidate?.hasFreeSlot === true) return candidate
    return links.filter((link) => link.hasFreeSlot).reduce<EndpointLink | undefined>(pickLessLoaded, undefined)
  }

  /**
   * Selects an endpoint for a retry: a VM not yet tried, preferably in another availability zone, or else another rack.
   */
  #selectForRetry (links: readonly EndpointLink[], req: SlotRequest): EndpointLink | undefined {
    const tried = req.triedVms.map((id) => this.#view.vm(id))
    const available = links.filter((link) => link.hasFreeSlot && !req.triedVms.includes(link.vm))
    const computeProximity = (link: EndpointLink): number => {
      const vm = this.#view.vm(link.vm)
      if (tried.some((other) => other?.rack === vm?.rack && other?.zone === vm?.zone)) return 2
      return tried.some((other) => other?.zone === vm?.zone) ? 1 : 0
    }
    return available.sort((a, b) => computeProximity(a) - computeProximity(b) || computeLoad(a) - computeLoad(b))[0]
  }

  /**
   * Starts to check waiting requests periodically, unless that is running: entries aren't notified of slots freed by
   * other entries.
   */
  #startSweeping (): void {
    if (this.#isSweeping) return
    this.#isSweeping = true
    void this.#sweepWhileWaiting().finally(() => { this.#isSweeping = false })
  }

  async #sweepWhileWaiting (): Promise<void> {
    while (this.waiting > 0) {
      await this.#clock.sleep(SWEEP_INTERVAL_MS)
      this.#shedExpired()
      this.serveWaiting()
    }
  }

  #shedExpired (): void {
    const now = this.#clock.now()
    for (const state of this.#services.values()) {
      const expired = state.queue.removeWhere((queued) => queued.deadline <= now + state.serviceMs)
      for (const queued of expired) queued.resolve(this.#createShedGrant('deadline', state))
    }
  }
}

function computeLoad (link: EndpointLink): number {
  return link.inFlight / Math.max(1, link.limit)
}

function pickLessLoaded (a: EndpointLink | undefined, b: EndpointLink | undefined): EndpointLink | undefined {
  if (a?.hasFreeSlot !== true) return b
  if (b?.hasFreeSlot !== true) return a
  return computeLoad(b) < computeLoad(a) ? b : a
}
