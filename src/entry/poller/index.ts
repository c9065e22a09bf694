/** Keeps an entry's view fresh: one loop that polls the leader, acknowledges and renews the lease. */
import type { Clock } from '../../clock/index.js'
import { POLL_HOLD_MS } from '../../contracts/constants.js'
import type { ControlClient } from '../../links/controlClient/index.js'
import type { Logger } from '../../logs/index.js'
import type { Reporter } from '../reporter/index.js'
import type { FleetView } from '../../machines/fleetView/index.js'

/** A poll that takes longer than its hold and this allowance goes to a silent process. */
const SILENCE_ALLOWANCE_MS = 300

const RETRY_PAUSE_MS = 50

/** Dependencies of {@link ViewPoller}. */
export interface PollerDeps {
  readonly entry: string
  readonly clock: Clock
  readonly view: FleetView
  readonly control: ControlClient
  readonly reporter: Reporter
  readonly log: Logger
  /** Called after each renewal. */
  readonly onRenewed: () => void
}

/** Polls the leader. */
export class ViewPoller {
  readonly #deps: PollerDeps
  #wasFresh = false

  /** @param deps - the entry's parts */
  constructor (deps: PollerDeps) {
    this.#deps = deps
  }

  /**
   * Polls until aborted.
   *
   * @param signal - ends the loop
   */
  async run (signal: AbortSignal): Promise<void> {
    const { clock } = this.#deps
    while (!signal.aborted) {
      if (!await this.#poll()) await clock.sleep(RETRY_PAUSE_MS, signal)
      this.#logFreshness()
    }
  }

  async #poll (): Promise<boolean> {
    const { clock, control, entry, onRenewed, reporter, view } = this.#deps
    const tryMs = POLL_HOLD_MS + SILENCE_ALLOWANCE_MS
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
    }, { tryMs, totalMs: tryMs })
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
    if (this.#wasFresh) log.info('The view of the fleet is fresh.')
    else log.warn('The view of the fleet is stale; nothing new is started.')
  }
}
