/** Reports endpoint updates and demand of an entry to the leader. */
import type { Clock } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import type { ReportRequest, ServiceDemand } from '../../contracts/views/index.js'
import type { Dispatcher } from '../../callers/dispatcher/index.js'
import type { AnnouncementHandler } from '../../endpoints/announce/index.js'
import type { ControlClient } from '../../links/controlClient/index.js'
import type { FleetView } from '../../machines/fleetView/index.js'

/** Limits the rate of reports besides those sent with polls. */
const MIN_REPORT_INTERVAL_MS = 30

/** Maximum wait for a requested report before the loop checks again. */
const IDLE_WAIT_MS = 5000

const CALL_LIMITS = { attemptMs: 1000, totalMs: 1500 }

/** Dependencies of {@link Reporter}. */
export interface ReporterDeps {
  readonly entry: string
  readonly clock: Clock
  readonly view: FleetView
  readonly control: ControlClient
  readonly dispatcher: Dispatcher
  /** Returns the announcement handler. It is resolved lazily, since the handler also depends on the reporter. */
  readonly announcementHandler: () => AnnouncementHandler
}

/** Provides a report for each poll, and sends one immediately on request. */
export class Reporter {
  readonly #deps: ReporterDeps
  readonly #reportRequested: Notifier
  #epoch = ''

  /** @param deps - dependencies */
  constructor (deps: ReporterDeps) {
    this.#deps = deps
    this.#reportRequested = new Notifier(deps.clock)
  }

  /** Requests a report without waiting for the next poll. */
  requestReport (): void {
    this.#reportRequested.notify()
  }

  /** Collects the updates to report; returns null when there are none. */
  collect (): ReportRequest | null {
    const handler = this.#deps.announcementHandler()
    const demand = this.#collectDemand()
    if (!handler.hasUpdates && demand.length === 0) return null
    return { entry: this.#deps.entry, ...handler.collect(), demand }
  }

  /**
   * Records that the leader has received a report.
   *
   * @param report - the report, or null when there was nothing to report
   * @param epoch - epoch of the leader's endpoint registry; a new registry is empty, so all endpoints are reported
   *   again
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
   * Restores the updates of a report that could not be sent.
   *
   * @param report - the report, or null when there was nothing to report
   */
  restore (report: ReportRequest | null): void {
    if (report !== null) this.#deps.announcementHandler().restore(report)
  }

  /**
   * Sends requested reports until aborted.
   *
   * @param signal - stops the loop
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
