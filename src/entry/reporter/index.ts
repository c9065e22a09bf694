/** Tells the leader what an entry has heard from endpoints. */
import type { Clock } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import type { ReportRequest, ServiceDemand } from '../../contracts/views/index.js'
import type { Dispatcher } from '../../callers/dispatcher/index.js'
import type { AnnouncementHandler } from '../../endpoints/announce/index.js'
import type { ControlClient } from '../../links/controlClient/index.js'
import type { FleetView } from '../../machines/fleetView/index.js'

/** Shortest time between two reports, in milliseconds. */
const MIN_REPORT_INTERVAL_MS = 30

/** How often the loop looks up when nothing is urgent, in milliseconds. */
const IDLE_WAIT_MS = 5000

const CALL_LIMITS = { tryMs: 1000, totalMs: 1500 }

/** Dependencies of {@link Reporter}. */
export interface ReporterDeps {
  readonly entry: string
  readonly clock: Clock
  readonly view: FleetView
  readonly control: ControlClient
  readonly dispatcher: Dispatcher
  /** Returns what was heard; asked for late, since the two parts know each other. */
  readonly announcementHandler: () => AnnouncementHandler
}

/** Reports with each poll, and at once when something urgent was heard. */
export class Reporter {
  readonly #deps: ReporterDeps
  readonly #reportRequested: Notifier
  #epoch = ''

  /** @param deps - the entry's parts */
  constructor (deps: ReporterDeps) {
    this.#deps = deps
    this.#reportRequested = new Notifier(deps.clock)
  }

  /** Asks for a report soon. */
  requestReport (): void {
    this.#reportRequested.notify()
  }

  /** Takes what there is to report; null when there is nothing. */
  collect (): ReportRequest | null {
    const handler = this.#deps.announcementHandler()
    const demand = this.#collectDemand()
    if (!handler.hasUpdates && demand.length === 0) return null
    return { entry: this.#deps.entry, ...handler.collect(), demand }
  }

  /**
   * Notes that the leader has taken a report.
   *
   * @param report - what was reported
   * @param epoch - the leader's epoch: a new one knows no endpoint, so all are reported again
   */
  confirm (report: ReportRequest | null, epoch: string): void {
    const handler = this.#deps.announcementHandler()
    if (report !== null) handler.confirm(report)
    if (epoch === this.#epoch) return
    this.#epoch = epoch
    handler.markAllChanged()
    this.requestReport()
  }

  /**
   * Puts back what could not be reported.
   *
   * @param report - what was to be reported
   */
  restore (report: ReportRequest | null): void {
    if (report !== null) this.#deps.announcementHandler().restore(report)
  }

  /**
   * Reports what is urgent until aborted.
   *
   * @param signal - ends the loop
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.#deps
    let seen = this.#reportRequested.count
    while (!signal.aborted) {
      await this.#reportRequested.waitBeyond(seen, IDLE_WAIT_MS, signal)
      if (this.#reportRequested.count === seen) continue
      seen = this.#reportRequested.count
      await this.#report()
      await clock.sleep(MIN_REPORT_INTERVAL_MS, signal)
    }
  }

  async #report (): Promise<void> {
    const report = this.collect()
    if (report === null) return
    const res = await this.#deps.control.call((calls, signal) => calls.report.mutate(report, { signal }), CALL_LIMITS)
    if (res.isOk()) this.confirm(report, res.value.epoch)
    else this.restore(report)
  }

  #collectDemand (): ServiceDemand[] {
    const { dispatcher, view } = this.#deps
    const busyByService = new Map<string, number>()
    for (const link of view.links) {
      for (const [service, busyMs] of link.takeBusyMs()) busyByService.set(service, (busyByService.get(service) ?? 0) + busyMs)
    }
    return dispatcher.takeDemand()
      .map((each) => ({ ...each, busyMs: busyByService.get(each.service) ?? 0 }))
      .filter((each) => each.arrived + each.busyMs + each.waiting > 0)
  }
}
