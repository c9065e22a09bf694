/**
 * Keeps an entry's view current: one loop that polls the leader, acknowledges the last changes and renews the lease.
 */
import type { Clock } from '../../clock/index.js'
import { LONG_POLL_WAIT_MS } from '../../contracts/constants.js'
import type { ControlClient } from '../../links/controlClient/index.js'
import type { Logger } from '../../logs/index.js'
import type { Reporter } from '../reporter/index.js'
import type { FleetView } from '../../machines/fleetView/index.js'

/** A control process that takes longer than the hold of a poll plus this allowance counts as unresponsive. */
const RESPONSE_ALLOWANCE_MS = 300

const RETRY_PAUSE_MS = 50

/** Dependencies of {@link ViewPoller}. */
export interface ViewPollerDeps {
  readonly entry: string
  readonly clock: Clock
  readonly view: FleetView
  readonly control: ControlClient
  readonly reporter: Reporter
  readonly log: Logger
  /** Called after each renewal of the lease. */
  readonly onRenewed: () => void
}

/** Long-polls the leader for changes of the view. */
export class ViewPoller {
  readonly #deps: ViewPollerDeps
  #wasFresh = false

  /** @param deps - dependencies */
  constructor (deps: ViewPollerDeps) {
    this.#deps = deps
  }

  /**
   * Polls until aborted.
   *
   * @param signal - stops the loop
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.#deps
    while (!signal.aborted) {
      if (!await this.#poll()) await clock.sleep(RETRY_PAUSE_MS, signal)
      this.#logFreshness()
    }
  }

  /**
   * Polls once and returns whether a leader has answered. The lease runs from the time at which the answered call was
   * sent.
   */
  async #poll (): Promise<boolean> {
    const { clock, control, entry, onRenewed, reporter, view } = this.#deps
    const attemptMs = LONG_POLL_WAIT_MS + RESPONSE_ALLOWANCE_MS
    const report = reporter.collect()
    let sentAt = clock.now()
    const res = await control.call((calls, signal) => {
      sentAt = clock.now()
      return calls.poll.mutate({
        entry,
        rev: view.rev,
        endpointEpoch: view.endpointEpoch,
        endpointRev: view.endpointRev,
        inFlight: view.countInFlightToStopping(),
        report
      }, { signal })
    }, { attemptMs, totalMs: attemptMs })
    if (res.isErr()) {
      reporter.restore(report)
      return false
    }
    view.update(res.value, sentAt)
    reporter.confirm(report, res.value.endpoints.epoch)
    onRenewed()
    return true
  }

  #logFreshness (): void {
    const { log, view } = this.#deps
    if (view.isFresh === this.#wasFresh) return
    this.#wasFresh = view.isFresh
    if (this.#wasFresh) log.info('The view of the fleet is current; requests can be started.')
    else log.warn('The view of the fleet is stale because its lease has expired; no new requests are started.')
  }
}
