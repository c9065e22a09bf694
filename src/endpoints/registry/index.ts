/** What the leader has heard of endpoints, through the entries. */
import { randomUUID } from 'node:crypto'
import type { Clock, Millis } from '../../clock/index.js'
import { ENDPOINT_LOST_AFTER_MS } from '../../contracts/constants.js'
import { isNewerRecord, type EndpointDelta, type EndpointRecord, type ReportRequest } from '../../contracts/views/index.js'

interface Known {
  record: EndpointRecord
  rev: number
  heardAt: Millis
  inFlight: number
}

/** An endpoint as planners see it. */
export interface EndpointSighting {
  readonly record: EndpointRecord
  readonly heardAt: Millis
  readonly inFlight: number
}

/** Announced endpoints for one term of a leader. They are not replicated: endpoints announce themselves again. */
export class EndpointRegistry {
  /** Identity of this registry: entries that see a new one report everything again. */
  readonly epoch = randomUUID()
  readonly #clock: Clock
  readonly #onChange: () => void
  readonly #known = new Map<string, Known>()
  readonly #removed = new Map<string, number>()
  #rev = 0

  /**
   * @param clock - source of time
   * @param onChange - called when entries must be told something
   */
  constructor (clock: Clock, onChange: () => void) {
    this.#clock = clock
    this.#onChange = onChange
  }

  get rev (): number {
    return this.#rev
  }

  /**
   * Takes in an entry's report.
   *
   * @param req - the report
   */
  report (req: ReportRequest): void {
    const before = this.#rev
    for (const record of req.changed) this.#put(record)
    for (const { vm, inFlight } of req.heard) {
      const known = this.#known.get(vm)
      if (known === undefined) continue
      known.heardAt = this.#clock.now()
      known.inFlight = inFlight
    }
    if (this.#rev !== before) this.#onChange()
  }

  /** Forgets endpoints that were not heard in time. */
  dropSilent (): void {
    const before = this.#rev
    for (const [vm, known] of this.#known) {
      if (this.#clock.now() - known.heardAt < ENDPOINT_LOST_AFTER_MS) continue
      this.#known.delete(vm)
      this.#removed.set(vm, ++this.#rev)
    }
    if (this.#rev !== before) this.#onChange()
  }

  /**
   * Returns what is known of an endpoint.
   *
   * @param vm - name of its VM
   */
  find (vm: string): EndpointSighting | undefined {
    return this.#known.get(vm)
  }

  /**
   * Returns what has changed for an entry.
   *
   * @param epoch - epoch that the entry knows
   * @param rev - revision that the entry knows
   */
  changesSince (epoch: string, rev: number): EndpointDelta {
    const since = epoch === this.epoch ? rev : 0
    const records = [...this.#known.values()].filter((known) => known.rev > since).map((known) => known.record)
    const removed = [...this.#removed].filter(([, at]) => at > since).map(([vm]) => vm)
    return { epoch: this.epoch, rev: this.#rev, records, removed }
  }

  #put (record: EndpointRecord): void {
    const known = this.#known.get(record.vm)
    if (known !== undefined && !isNewerRecord(record, known.record)) return
    this.#removed.delete(record.vm)
    this.#known.set(record.vm, { record, rev: ++this.#rev, heardAt: this.#clock.now(), inFlight: known?.inFlight ?? 0 })
  }
}
