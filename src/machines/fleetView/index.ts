/** Keeps an entry's view of the fleet, and for how long the entry may act on it. */
import type { Clock, Millis } from '../../clock/index.js'
import type { Rules, ServiceRules } from '../../contracts/rules/index.js'
import { isNewerRecord, type EndpointDelta, type EndpointRecord, type PollResponse, type ViewDelta, type VmView } from '../../contracts/views/index.js'
import { EndpointLink, type LinkOptions } from '../../endpoints/link/index.js'

/** Time for which endpoints are kept after an election although the new leader has not confirmed them. */
const UNCONFIRMED_GRACE_MS = 6000

/** Endpoints that may get new work for a service. */
export interface Candidates {
  /** Endpoints in the service's own pools. */
  readonly own: readonly EndpointLink[]
  /** Endpoints in the spare pool. */
  readonly spare: readonly EndpointLink[]
}

interface KnownEndpoint {
  link: EndpointLink
  /** Epoch in which it was added or last confirmed by the leader. */
  epoch: string
}

/** View of the fleet at one entry. */
export class FleetView {
  readonly #clock: Clock
  readonly #options: LinkOptions
  readonly #vms = new Map<string, VmView>()
  readonly #endpoints = new Map<string, KnownEndpoint>()
  readonly #candidates = new Map<string, Candidates>()
  #rules: Rules | null = null
  #rev = 0
  #version = 0
  #epoch = ''
  #epochSince: Millis = 0
  #endpointRev = 0
  #entries = 1
  #leaseUntil: Millis = Number.NEGATIVE_INFINITY

  /**
   * @param clock - source of time
   * @param sharing - how entries share the slots of an endpoint
   */
  constructor (clock: Clock, sharing: LinkOptions['sharing']) {
    this.#clock = clock
    this.#options = { sharing, entries: () => this.#entries }
  }

  /** Revision of the view, for the next poll. */
  get rev (): number {
    return this.#rev
  }

  /** Version of the configuration that this entry uses. */
  get version (): number {
    return this.#version
  }

  /** Identity of the leader's term that the endpoints were last updated from, for the next poll. */
  get endpointEpoch (): string {
    return this.#epoch
  }

  /** Revision of the endpoints within that term, for the next poll. */
  get endpointRev (): number {
    return this.#endpointRev
  }

  get rules (): Rules | null {
    return this.#rules
  }

  /** Time left until the lease of this view expires, in milliseconds; negative once it has expired. */
  get leaseMs (): Millis {
    return this.#leaseUntil - this.#clock.now()
  }

  /** Whether new work may be started. */
  get isFresh (): boolean {
    return this.leaseMs > 0
  }

  /** Links of all endpoints, including those that take no work. */
  get links (): EndpointLink[] {
    return [...this.#endpoints.values()].map((known) => known.link)
  }

  /**
   * Returns the rules of a service, if there are any.
   *
   * @param name - name of the service
   */
  service (name: string): ServiceRules | undefined {
    const services = this.#rules?.services
    return services !== undefined && Object.hasOwn(services, name) ? services[name] : undefined
  }

  /**
   * Returns the view of a VM, if it is known.
   *
   * @param id - name of the VM
   */
  vm (id: string): VmView | undefined {
    return this.#vms.get(id)
  }

  /**
   * Applies control's answer to a poll.
   *
   * @param res - the answer
   * @param sentAt - clock reading when the poll was sent, from which the lease runs
   */
  update (res: PollResponse, sentAt: Millis): void {
    this.#entries = Math.max(1, res.entries)
    this.#applyView(res.view)
    this.#applyEndpoints(res.endpoints)
    this.#leaseUntil = sentAt + res.leaseMs
    this.#candidates.clear()
  }

  /**
   * Records an endpoint that has announced itself to this entry.
   *
   * @param record - the announced endpoint
   * @returns whether it is new or has changed
   */
  recordEndpoint (record: EndpointRecord): boolean {
    const isChanged = this.#putEndpoint(record)
    if (isChanged) this.#candidates.clear()
    return isChanged
  }

  /**
   * Returns the endpoints that may get new work for a service.
   *
   * @param service - name of the service
   */
  candidates (service: string): Candidates {
    let candidates = this.#candidates.get(service)
    if (candidates === undefined) {
      candidates = this.#collectCandidates(service)
      this.#candidates.set(service, candidates)
    }
    return candidates
  }

  /** Counts the requests in flight to VMs that are not serving, by VM. */
  countInFlightToStopping (): Record<string, number> {
    const inFlight: Record<string, number> = {}
    for (const { link } of this.#endpoints.values()) {
      const isServing = this.#vms.get(link.vm)?.phase === 'serving'
      if (!isServing && link.inFlight > 0) inFlight[link.vm] = link.inFlight
    }
    return inFlight
  }

  #applyView (delta: ViewDelta): void {
    if (delta.full) this.#vms.clear()
    for (const vm of delta.vms) this.#vms.set(vm.id, vm)
    for (const id of delta.removed) this.#vms.delete(id)
    if (delta.rules !== null) this.#rules = delta.rules
    this.#rev = delta.rev
    this.#version = delta.version
  }

  #applyEndpoints (delta: EndpointDelta): void {
    if (delta.epoch !== this.#epoch) {
      this.#epoch = delta.epoch
      this.#epochSince = this.#clock.now()
    }
    for (const record of delta.records) {
      this.#putEndpoint(record)
      const known = this.#endpoints.get(record.vm)
      if (known !== undefined) known.epoch = delta.epoch
    }
    for (const vm of delta.removed) {
      if (this.#endpoints.get(vm)?.epoch === delta.epoch) this.#dropEndpoint(vm)
    }
    this.#endpointRev = delta.rev
    this.#dropUnconfirmed()
  }

  #dropUnconfirmed (): void {
    if (this.#clock.now() - this.#epochSince < UNCONFIRMED_GRACE_MS) return
    for (const [vm, known] of this.#endpoints) {
      if (known.epoch !== this.#epoch) this.#dropEndpoint(vm)
    }
  }

  #putEndpoint (record: EndpointRecord): boolean {
    const known = this.#endpoints.get(record.vm)
    if (known !== undefined && !isNewerRecord(record, known.link.record)) return false
    if (known !== undefined && isSameTarget(known.link.record, record)) {
      known.link.update(record)
      return true
    }
    known?.link.close()
    this.#endpoints.set(record.vm, { link: new EndpointLink(record, this.#options, this.#clock), epoch: this.#epoch })
    return true
  }

  #dropEndpoint (vm: string): void {
    this.#endpoints.get(vm)?.link.close()
    this.#endpoints.delete(vm)
  }

  #collectCandidates (service: string): Candidates {
    const rules = this.service(service)
    const own: EndpointLink[] = []
    const spare: EndpointLink[] = []
    if (rules === undefined) return { own, spare }
    for (const { link } of this.#endpoints.values()) {
      const vm = this.#vms.get(link.vm)
      if (vm === undefined || vm.phase !== 'serving' || vm.health === 'lost') continue
      if (link.record.state !== 'ready' || !link.record.services.includes(service)) continue
      if (rules.pools.includes(vm.pool)) own.push(link)
      else if (rules.spare && vm.pool === this.#rules?.sparePool) spare.push(link)
    }
    return { own, spare }
  }
}

function isSameTarget (a: EndpointRecord, b: EndpointRecord): boolean {
  return a.boot === b.boot && a.address === b.address && a.slots === b.slots && a.connections === b.connections
}
