/** Handles announcements of endpoints at an entry: answers each with the tasks of its VM and with whether to drain. */
import * as z from 'zod'
import type { Clock, Millis } from '../../clock/index.js'
import { ANNOUNCE_INTERVAL_MS, ENDPOINT_LOST_AFTER_MS, TASK_LEASE_MS } from '../../contracts/constants.js'
import type { TaskOrder, TaskReport } from '../../contracts/types.js'
import type { EndpointLoad, EndpointRecord, ReportRequest } from '../../contracts/views/index.js'
import type { FleetView } from '../../machines/fleetView/index.js'

const taskReportSchema = z.strictObject({
  job: z.string().max(100),
  token: z.number().int().min(0),
  state: z.enum(['running', 'done', 'failed', 'checkpointed', 'stopped']),
  checkpoint: z.unknown().optional(),
  result: z.unknown().optional(),
  usage: z.strictObject({ cores: z.number().min(0), memoryGb: z.number().min(0), ranMs: z.number().min(0) }).optional()
})

/** Schema of an announcement. */
export const announcementSchema = z.strictObject({
  vm: z.string().min(1).max(63),
  boot: z.string().min(1).max(100),
  bootedAt: z.number().min(0),
  revision: z.number().int().min(0),
  address: z.string().regex(/^[^\s:/]+:\d{1,5}$/, 'expected an IP address and a port'),
  services: z.array(z.string().min(1).max(63)).max(200),
  slots: z.number().int().min(1).max(10_000),
  connections: z.number().int().min(1).max(100_000),
  state: z.enum(['ready', 'leaving', 'drained']),
  inFlight: z.number().int().min(0),
  tasks: z.array(taskReportSchema).max(1000).default([])
})

/** An endpoint's announcement. */
export type Announcement = z.output<typeof announcementSchema>

/** Answer to an announcement. */
export interface AnnouncementAnswer {
  /** Whether the VM is part of the inventory. */
  readonly known: boolean
  /** Whether the endpoint must accept no new work and announce when it is drained. */
  readonly drain: boolean
  /** Time until the next announcement, in milliseconds. */
  readonly announceAfterMs: Millis
  /** Lease of the tasks, in milliseconds from the moment the announcement was sent; 0 when the lease is not renewed. */
  readonly taskLeaseMs: Millis
  /** All tasks of the VM; any other task must be stopped. Null when the lease is not renewed. */
  readonly tasks: readonly TaskOrder[] | null
  /** Task reports that the control group has recorded and that need not be sent again. */
  readonly acknowledged: ReadonlyArray<{ readonly job: string, readonly token: number }>
}

/** An endpoint that has announced itself to this entry. */
interface AnnouncedEndpoint {
  record: EndpointRecord
  lastContactAt: Millis
}

/** Answers the announcements received by one entry, and collects them until they are reported to the leader. */
export class AnnouncementHandler {
  readonly #view: FleetView
  readonly #clock: Clock
  readonly #onChange: () => void
  readonly #announced = new Map<string, AnnouncedEndpoint>()
  #changedRecords = new Map<string, EndpointRecord>()
  #loads = new Map<string, EndpointLoad>()
  #taskReports = new Map<string, TaskReport[]>()
  /** Reports of ended tasks that the control group has recorded, as `job/token`, by VM. */
  readonly #confirmedReports = new Map<string, Set<string>>()

  /**
   * @param view - the entry's view of the fleet
   * @param clock - source of time
   * @param onChange - called when there is an update to report to the leader soon
   */
  constructor (view: FleetView, clock: Clock, onChange: () => void) {
    this.#view = view
    this.#clock = clock
    this.#onChange = onChange
  }

  /**
   * Handles an announcement.
   *
   * @param announcement - the validated announcement
   * @returns the answer to the endpoint
   */
  handle (announcement: Announcement): AnnouncementAnswer {
    const { inFlight, tasks, ...record } = announcement
    const vm = this.#view.vm(record.vm)
    if (vm === undefined) return { known: false, drain: false, announceAfterMs: 2 * ANNOUNCE_INTERVAL_MS, taskLeaseMs: 0, tasks: null, acknowledged: [] }
    this.#announced.set(record.vm, { record, lastContactAt: this.#clock.now() })
    this.#loads.set(record.vm, { vm: record.vm, inFlight })
    if (this.#view.recordEndpoint(record)) this.#changedRecords.set(record.vm, record)
    this.#addTaskReports(record.vm, tasks)
    if (this.#changedRecords.size > 0 || tasks.some((task) => task.state !== 'running')) this.#onChange()
    const isFresh = this.#view.isFresh
    return {
      known: true,
      drain: vm.phase !== 'serving',
      announceAfterMs: ANNOUNCE_INTERVAL_MS,
      taskLeaseMs: isFresh ? TASK_LEASE_MS : 0,
      tasks: isFresh ? vm.tasks.filter((task) => task.boot === record.boot) : null,
      acknowledged: this.#collectAcknowledged(record.vm, tasks)
    }
  }

  /** Whether there are updates to report. */
  get hasUpdates (): boolean {
    return this.#changedRecords.size + this.#loads.size + this.#taskReports.size > 0
  }

  /** Returns the updates since the last report, and resets them. */
  collect (): Pick<ReportRequest, 'changed' | 'heard' | 'tasks'> {
    const report = {
      changed: [...this.#changedRecords.values()],
      heard: [...this.#loads.values()],
      tasks: [...this.#taskReports].map(([vm, reports]) => ({ vm, reports }))
    }
    this.#changedRecords = new Map()
    this.#loads = new Map()
    this.#taskReports = new Map()
    return report
  }

  /**
   * Marks the ended tasks of a report as recorded, so that they can be acknowledged to their endpoints.
   *
   * @param report - report that the control group has recorded
   */
  confirm (report: Pick<ReportRequest, 'tasks'>): void {
    for (const { vm, reports } of report.tasks) {
      const confirmed = this.#confirmedReports.get(vm) ?? new Set()
      for (const { job, token, state } of reports) {
        if (state !== 'running') confirmed.add(`${job}/${token}`)
      }
      if (confirmed.size > 0) this.#confirmedReports.set(vm, confirmed)
    }
  }

  /**
   * Restores updates that could not be reported, except where newer ones exist. Task reports are not restored, since
   * endpoints repeat them until they are acknowledged.
   *
   * @param report - the report that failed
   */
  restore (report: Pick<ReportRequest, 'changed' | 'heard'>): void {
    for (const record of report.changed) {
      if (!this.#changedRecords.has(record.vm)) this.#changedRecords.set(record.vm, record)
    }
    for (const load of report.heard) {
      if (!this.#loads.has(load.vm)) this.#loads.set(load.vm, load)
    }
  }

  /** Marks every endpoint in contact as changed, so that it is reported to a new leader, which knows none of them. */
  markAllChanged (): void {
    for (const [vm, { record, lastContactAt }] of this.#announced) {
      if (this.#clock.now() - lastContactAt < ENDPOINT_LOST_AFTER_MS) this.#changedRecords.set(vm, record)
      else this.#announced.delete(vm)
    }
  }

  /** Adds task reports that are not yet recorded; each replaces an earlier report of the same task. */
  #addTaskReports (vm: string, reports: readonly TaskReport[]): void {
    if (reports.length === 0) return
    const pending = this.#taskReports.get(vm) ?? []
    const unconfirmed = reports.filter((report) => this.#confirmedReports.get(vm)?.has(`${report.job}/${report.token}`) !== true)
    const remaining = pending.filter((previous) => !unconfirmed.some((report) => report.job === previous.job && report.token === previous.token))
    if (remaining.length + unconfirmed.length > 0) this.#taskReports.set(vm, [...remaining, ...unconfirmed])
  }

  /** Returns the reports among those received that the control group has recorded. */
  #collectAcknowledged (vm: string, reports: readonly TaskReport[]): Array<{ job: string, token: number }> {
    const confirmed = this.#confirmedReports.get(vm)
    if (confirmed === undefined) return []
    const acknowledged = reports.filter(({ job, token }) => confirmed.has(`${job}/${token}`)).map(({ job, token }) => ({ job, token }))
    // The endpoint stops repeating a report once it is acknowledged. When it repeats none of them, they can be deleted.
    if (acknowledged.length === 0) this.#confirmedReports.delete(vm)
    return acknowledged
  }
}
