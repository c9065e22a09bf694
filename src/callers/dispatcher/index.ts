/** Gives requests a slot at an endpoint: routing, queues and admission. */
import type { Clock, Millis } from '../../clock/index.js'
import type { WorkClass } from '../../contracts/types.js'
import type { EndpointLink } from '../../endpoints/link/index.js'
import type { FleetView } from '../../machines/fleetView/index.js'
import { FairQueue } from '../fairQueue/index.js'

/** Interval in which waiting requests are looked at again, in milliseconds. */
const SWEEP_INTERVAL_MS = 10

/** Weight of one new measurement of the service time. */
const SMOOTHING_FACTOR = 0.1

/** A request that asks for a slot. */
export interface SlotRequest {
  readonly service: string
  readonly team: string
  readonly class: WorkClass
  /** Clock reading after which the answer is of no use. */
  readonly deadline: Millis
  /** VMs that earlier attempts were sent to. */
  readonly triedVms: readonly string[]
}

/** Why no slot is given. */
export type ShedReason = 'staleView' | 'noEndpoint' | 'queueFull' | 'deadline'

/** A slot, or why there is none. */
export type SlotGrant =
  | { readonly ok: true, readonly link: EndpointLink }
  | { readonly ok: false, readonly reason: ShedReason, readonly retryAfterMs: Millis }

interface QueuedRequest extends SlotRequest {
  readonly resolve: (grant: SlotGrant) => void
}

interface ServiceState {
  readonly queue: FairQueue<QueuedRequest>
  /** Smoothed time that a request holds a slot. */
  serviceMs: number
  arrived: number
}

/** Routes the requests of one entry. */
export class Dispatcher {
  readonly #view: FleetView
  readonly #clock: Clock
  readonly #random: () => number
  readonly #services = new Map<string, ServiceState>()
  #isSweeping = false

  /**
   * @param view - what is known of the fleet
   * @param clock - source of time
   * @param random - returns a number in [0, 1)
   */
  constructor (view: FleetView, clock: Clock, random: () => number) {
    this.#view = view
    this.#clock = clock
    this.#random = random
  }

  /** Requests that wait for a slot. */
  get waiting (): number {
    return [...this.#services.values()].reduce((sum, state) => sum + state.queue.size, 0)
  }

  /**
   * Asks for a slot, waiting in the queue if there is room and time.
   *
   * @param req - who asks
   * @returns the slot, already taken, or why there is none
   */
  acquire (req: SlotRequest): SlotGrant | Promise<SlotGrant> {
    const state = this.#getServiceState(req.service)
    if (req.triedVms.length === 0) state.arrived += 1
    const shedReason = this.#findShedReason(req, state)
    if (shedReason !== null) return this.#createShedGrant(shedReason, state)
    // An idle lane serves whatever comes: that keeps its measured time current.
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
   * Gives a slot back and serves whoever waits.
   *
   * @param link - the endpoint whose slot it is
   * @param service - the service that used it
   * @param heldMs - how long it was used, or null when that tells nothing of the service time
   */
  release (link: EndpointLink, service: string, heldMs: Millis | null): void {
    link.release()
    const state = this.#getServiceState(service)
    if (heldMs !== null) state.serviceMs += SMOOTHING_FACTOR * (heldMs - state.serviceMs)
    this.serveWaiting()
  }

  /** Serves waiting requests as far as there are slots. */
  serveWaiting (): void {
    for (const state of this.#services.values()) {
      if (state.queue.size > 0) this.#serveQueue(state)
    }
  }

  /** Returns demand since the last call, by service. */
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

  /** Estimates how long a new request would wait for its slot. */
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
      // A slot would be wasted on a request that has waited so long that its answer would come too late.
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

  /** Chooses among the service's own endpoints, and the spare pool's when those are full. */
  #selectLink (req: SlotRequest): EndpointLink | undefined {
    const { own, spare } = this.#view.candidates(req.service)
    return this.#selectFrom(own, req) ?? this.#selectFrom(spare, req)
  }

  #selectFrom (links: readonly EndpointLink[], req: SlotRequest): EndpointLink | undefined {
    if (req.triedVms.length > 0) return this.#selectForRetry(links, req)
    // Two random choices spread the load without a scan of all endpoints.
    const first = links[Math.floor(this.#random() * links.length)]
    const second = links[Math.floor(this.#random() * links.length)]
    const candidate = pickLessLoaded(first, second)
    if (candidate?.hasFreeSlot === true) return candidate
    return links.filter((link) => link.hasFreeSlot).reduce<EndpointLink | undefined>(pickLessLoaded, undefined)
  }

  /** For another attempt: another VM, preferably in another availability zone and rack. */
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

  /** Looks at waiting requests now and then: slots freed by other entries are not announced. */
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
