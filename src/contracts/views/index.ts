/** Messages between entry and control processes. */
import type { Millis } from '../../clock/index.js'
import type { Rules } from '../rules/index.js'
import type { TaskOrder, TaskReport, VmHealth, VmPhase } from '../types.js'

/** State of a VM as entries receive it. */
export interface VmView {
  readonly id: string
  readonly rack: string
  readonly zone: string
  readonly pool: string
  readonly phase: VmPhase
  readonly health: VmHealth
  readonly tasks: readonly TaskOrder[]
}

/** Changes of the replicated state that entries need. */
export interface ViewDelta {
  /** Revision of the view that these changes lead to. */
  readonly rev: number
  /** Version of the configuration. */
  readonly version: number
  /** Whether this is the whole view, which replaces everything received before. */
  readonly full: boolean
  /** The rules, or null when they have not changed. */
  readonly rules: Rules | null
  /** New or changed VMs. */
  readonly vms: readonly VmView[]
  /** Names of removed VMs. */
  readonly removed: readonly string[]
}

/**
 * Whether an endpoint accepts work, as announced by itself: `leaving` while it drains and still has requests in flight, `drained`
 * once it has none.
 */
export type EndpointState = 'ready' | 'leaving' | 'drained'

/** Announced state of an endpoint. */
export interface EndpointRecord {
  readonly vm: string
  /** Identity of the endpoint's incarnation. */
  readonly boot: string
  /** When that incarnation started, in milliseconds since the Unix epoch by the VM's clock. */
  readonly bootedAt: number
  /** Increases within an incarnation whenever another field of the record changes. */
  readonly revision: number
  /** Host and port. */
  readonly address: string
  readonly services: readonly string[]
  /** Number of requests that it processes at a time. */
  readonly slots: number
  /** Number of connections that it accepts from all entries together. */
  readonly connections: number
  readonly state: EndpointState
}

/** Changes of the announced endpoints, as the leader knows them. */
export interface EndpointDelta {
  /** Identity of the leader's term. When it changes, the leader has started again without any endpoints. */
  readonly epoch: string
  /** Revision of the endpoints within the epoch. */
  readonly rev: number
  readonly records: readonly EndpointRecord[]
  readonly removed: readonly string[]
}

/** Long poll of an entry, which asks for changes, acknowledges the last ones and renews its lease. */
export interface PollRequest {
  readonly entry: string
  /** Revision of the view that the entry acts on. */
  readonly rev: number
  /** Epoch of the endpoints that the entry knows, from the last {@link EndpointDelta}. */
  readonly endpointEpoch: string
  /** Revision of the endpoints that the entry knows, within that epoch. */
  readonly endpointRev: number
  /** Requests in flight to VMs that are not serving, counted after `rev` took effect at the entry. */
  readonly inFlight: Readonly<Record<string, number>>
  /** What endpoints have announced to the entry since its last report, or null when there is nothing. */
  readonly report: ReportRequest | null
}

/** Answer to a long poll, with a lease that begins when the entry sent the poll. */
export interface PollResponse {
  readonly leaseMs: Millis
  /** Number of entries that hold a lease. */
  readonly entries: number
  readonly view: ViewDelta
  readonly endpoints: EndpointDelta
}

/** Load that an endpoint last announced. */
export interface EndpointLoad {
  readonly vm: string
  readonly inFlight: number
}

/** What endpoints have announced to an entry since its last report. */
export interface ReportRequest {
  readonly entry: string
  /** New or changed endpoints. */
  readonly changed: readonly EndpointRecord[]
  /** Endpoints that have announced themselves, with their load. */
  readonly heard: readonly EndpointLoad[]
  readonly tasks: ReadonlyArray<{ readonly vm: string, readonly reports: readonly TaskReport[] }>
  /** Demand by service since the last report. */
  readonly demand: readonly ServiceDemand[]
}

/** Demand for one service at one entry during one report interval. */
export interface ServiceDemand {
  readonly service: string
  /** Number of requests that arrived. */
  readonly arrived: number
  /** Time for which slots of endpoints were in use, summed over slots. */
  readonly busyMs: Millis
  /** Number of requests that wait for a slot. */
  readonly waiting: number
}

/** Answer to a report. */
export interface ReportResponse {
  /** Identity of the leader's term, as in {@link EndpointDelta}. */
  readonly epoch: string
}

/**
 * Returns whether record `a` of an endpoint is newer than record `b` of the same VM, whichever arrived first.
 *
 * @param a - record that may be newer
 * @param b - record to compare with
 */
export function isNewerRecord (a: EndpointRecord, b: EndpointRecord): boolean {
  if (a.boot !== b.boot) return a.bootedAt >= b.bootedAt
  return a.revision > b.revision
}
