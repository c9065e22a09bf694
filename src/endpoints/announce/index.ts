/** Takes endpoints' announcements at an entry, and tells them what they have to do. */
import * as z from 'zod'
import type { Clock, Millis } from '../../clock/index.js'
import { ANNOUNCE_INTERVAL_MS, ENDPOINT_LOST_MS, TASK_LEASE_MS } from '../../contracts/constants.js'
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
  address: z.string().regex(/^[^\s:/]+:\d{1,5}$/, 'must be an IP number and a port'),
  services: z.array(z.string().min(1).max(63)).max(200),
  slots: z.number().int().min(1).max(10_000),
  connections: z.number().int().min(1).max(100_000),
  state: z.enum(['ready', 'leaving', 'drained']),
  inFlight: z.number().int().min(0),
  tasks: z.array(taskReportSchema).max(1000).default([])
})

/** An endpoint's announcement. */
export type Announcement = z.output<typeof announcementSchema>

/** What an endpoint is told. */
export interface AnnouncementAnswer {
  /** Whether the inventory has the VM. */
  readonly known: boolean
  /** Whether the endpoint shall take no new work and report when it is drained. */
  readonly drain: boolean
  /** How long to wait before the next announcement, in milliseconds. */
  readonly announceAfterMs: Millis
  /** How long tasks may run from the moment this announcement was sent; 0 when the lease is not renewed. */
  readonly taskLeaseMs: Millis
  /** All tasks of this VM: others must be stopped. Null when the lease is not renewed. */
  readonly tasks: readonly TaskOrder[] | null
  /** Reports that control has been told of and that need not be repeated. */
  readonly acknowledged: ReadonlyArray<{ readonly job: string, readonly token: number }>
}

interface Direct {
  record: EndpointRecord
  heardAt: Millis
}

/** Announcements heard by one entry, until they are reported to the leader. */
export class AnnouncementDesk {
  readonly #view: FleetView
  readonly #clock: Clock
  readonly #onChange: () => void
  readonly #direct = new Map<string, Direct>()
  #changed = new Map<string, EndpointRecord>()
  #heard = new Map<string, EndpointLoad>()
  #tasks = new Map<string, TaskReport[]>()
  /** Reports of ended tasks that control has taken. */
  readonly #taken = new Map<string, Set<string>>()

  /**
   * @param view - what is known of the fleet
   * @param clock - source of time
   * @param onChange - called when the leader should be told soon
   */
  constructor (view: FleetView, clock: Clock, onChange: () => void) {
    this.#view = view
    this.#clock = clock
    this.#onChange = onChange
  }

  /**
   * Takes an announcement.
   *
   * @param announcement - what the endpoint says
   */
  take (announcement: Announcement): AnnouncementAnswer {
    const { inFlight, tasks, ...record } = announcement
    const vm = this.#view.vm(record.vm)
    if (vm === undefined) return { known: false, drain: false, announceAfterMs: 2 * ANNOUNCE_INTERVAL_MS, taskLeaseMs: 0, tasks: null, acknowledged: [] }
    this.#direct.set(record.vm, { record, heardAt: this.#clock.now() })
    this.#heard.set(record.vm, { vm: record.vm, inFlight })
    if (this.#view.recordEndpoint(record)) this.#changed.set(record.vm, record)
    this.#addTasks(record.vm, tasks)
    if (this.#changed.size > 0 || tasks.some((task) => task.state !== 'running')) this.#onChange()
    const isFresh = this.#view.isFresh
    return {
      known: true,
      drain: vm.phase !== 'serving',
      announceAfterMs: ANNOUNCE_INTERVAL_MS,
      taskLeaseMs: isFresh ? TASK_LEASE_MS : 0,
      tasks: isFresh ? vm.tasks.filter((task) => task.boot === record.boot) : null,
      acknowledged: this.#takeAcknowledged(record.vm, tasks)
    }
  }

  /** Whether there is anything to report. */
  get hasNews (): boolean {
    return this.#changed.size + this.#heard.size + this.#tasks.size > 0
  }

  /** Returns what was heard since the last report. */
  collect (): Pick<ReportRequest, 'changed' | 'heard' | 'tasks'> {
    const news = {
      changed: [...this.#changed.values()],
      heard: [...this.#heard.values()],
      tasks: [...this.#tasks].map(([vm, reports]) => ({ vm, reports }))
    }
    this.#changed = new Map()
    this.#heard = new Map()
    this.#tasks = new Map()
    return news
  }

  /**
   * Notes that control has taken a report.
   *
   * @param news - what was reported
   */
  confirm (news: Pick<ReportRequest, 'tasks'>): void {
    for (const { vm, reports } of news.tasks) {
      const taken = this.#taken.get(vm) ?? new Set()
      for (const { job, token, state } of reports) {
        if (state !== 'running') taken.add(`${job}/${token}`)
      }
      if (taken.size > 0) this.#taken.set(vm, taken)
    }
  }

  /**
   * Puts back what could not be reported.
   *
   * @param news - what was to be reported
   */
  restore (news: Pick<ReportRequest, 'changed' | 'heard'>): void {
    for (const record of news.changed) {
      if (!this.#changed.has(record.vm)) this.#changed.set(record.vm, record)
    }
    for (const load of news.heard) {
      if (!this.#heard.has(load.vm)) this.#heard.set(load.vm, load)
    }
  }

  /** Reports every endpoint heard lately again, for a leader that knows none of them. */
  reportAll (): void {
    for (const [vm, { record, heardAt }] of this.#direct) {
      if (this.#clock.now() - heardAt < ENDPOINT_LOST_MS) this.#changed.set(vm, record)
      else this.#direct.delete(vm)
    }
  }

  #addTasks (vm: string, reports: readonly TaskReport[]): void {
    if (reports.length === 0) return
    const known = this.#tasks.get(vm) ?? []
    const fresh = reports.filter((report) => this.#taken.get(vm)?.has(`${report.job}/${report.token}`) !== true)
    const kept = known.filter((old) => !fresh.some((report) => report.job === old.job && report.token === old.token))
    if (kept.length + fresh.length > 0) this.#tasks.set(vm, [...kept, ...fresh])
  }

  #takeAcknowledged (vm: string, reports: readonly TaskReport[]): Array<{ job: string, token: number }> {
    const taken = this.#taken.get(vm)
    if (taken === undefined) return []
    const acknowledged = reports.filter(({ job, token }) => taken.has(`${job}/${token}`)).map(({ job, token }) => ({ job, token }))
    // The endpoint stops repeating what it sees acknowledged; what it no longer repeats can be forgotten.
    if (acknowledged.length === 0) this.#taken.delete(vm)
    return acknowledged
  }
}
