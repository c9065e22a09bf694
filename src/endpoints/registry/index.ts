/** Leader's registry of the endpoints that entries have reported. */
import { randomUUID } from 'node:crypto'
import type { Clock, Millis } from '../../clock/index.js'
import { ENDPOINT_LOST_AFTER_MS } from '../../contracts/constants.js'
import { isNewerRecord, type EndpointDelta, type EndpointRecord, type ReportRequest } from '../../contracts/views/index.js'

/** A registered endpoint. `rev` is the registry's revision at its last change. */
interface RegisteredEndpoint {
  record: EndpointRecord
  rev: number
  lastContactAt: Millis
  inFlight: number
}

/** State of an endpoint as planners see it. */
export interface EndpointStatus {
  readonly record: EndpointRecord
  readonly lastContactAt: Millis
  /** Number of requests in flight that the endpoint last announced. */
  readonly inFlight: number
}

/**
 * Registry of announced endpoints for one term of a leader. It is not replicated, since endpoints announce themselves
 * repeatedly.
 */
export class EndpointRegistry {
  /** Id of this registry. Entries that see a new one report all endpoints again. */
  readonly epoch = randomUUID()
  readonly #clock: Clock
  readonly #onChange: () => void
  readonly #endpoints = new Map<string, RegisteredEndpoint>()
  readonly #removed = new Map<string, number>()
  #rev = 0

  /**
   * @param clock - source of time
   * @param onChange - called when there is a change for entries
   */
  constructor (clock: Clock, onChange: () => void) {
    this.#clock = clock
    this.#onChange = onChange
  }

  /** Revision of the registry, which grows with each change. */
  get rev (): number {
    return this.#rev
  }

  /**
   * Records an entry's report of changed endpoints and of endpoints in contact.
   *
   * @param req - report of one entry
   */
  report (req: ReportRequest): void {
    const before = this.#rev
    for (const record of req.changed) this.#upsert(record)
    for (const { vm, inFlight } of req.heard) {
      const endpoint = this.#endpoints.get(vm)
      if (endpoint === undefined) continue
      endpoint.lastContactAt = this.#clock.now()
      endpoint.inFlight = inFlight
    }
    if (this.#rev !== before) this.#onChange()
  }

  /** Evicts endpoints whose last contact is too long ago. */
  evictUnresponsive (): void {
    const before = this.#rev
    for (const [vm, endpoint] of this.#endpoints) {
      if (this.#clock.now() - endpoint.lastContactAt < ENDPOINT_LOST_AFTER_MS) continue
      this.#endpoints.delete(vm)
      this.#removed.set(vm, ++this.#rev)
    }
    if (this.#rev !== before) this.#onChange()
  }

  /**
   * Returns the state of an endpoint, or undefined when it is not registered.
   *
   * @param vm - name of its VM
   */
  find (vm: string): EndpointStatus | undefined {
    return this.#endpoints.get(vm)
  }

  /**
   * Returns the changes since the revision that an entry knows, or everything when the entry knows another epoch.
   *
   * @param epoch - epoch that the entry knows
   * @param rev - revision that the entry knows
   */
  changesSince (epoch: string, rev: number): EndpointDelta {
    const since = epoch === this.epoch ? rev : 0
    const records = [...this.#endpoints.values()].filter((endpoint) => endpoint.rev > since).map((endpoint) => endpoint.record)
    const removed = [...this.#removed].filter(([, at]) => at > since).map(([vm]) => vm)
    return { epoch: this.epoch, rev: this.#rev, records, removed }
  }

  /** Adds or replaces the record of an endpoint unless a newer one is registered. */
  #upsert (record: EndpointRecord): void {
    const endpoint = this.#endpoints.get(record.vm)
    if (endpoint !== undefined && !isNewerRecord(record, endpoint.record)) return
    this.#removed.delete(record.vm)
    this.#endpoints.set(record.vm, { record, rev: ++this.#rev, lastContactAt: this.#clock.now(), inFlight: endpoint?.inFlight ?? 0 })
  }
}
