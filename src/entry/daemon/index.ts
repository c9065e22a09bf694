/** Lifecycle of the entry process: start and graceful stop. */
import type { Clock } from '../../clock/index.js'
import type { Settler } from '../../callers/settler/index.js'
import type { ControlClient } from '../../links/controlClient/index.js'
import type { Logger } from '../../logs/index.js'
import type { ViewPoller } from '../poller/index.js'
import type { Reporter } from '../reporter/index.js'
import type { EntryServer } from '../server/index.js'

/** Maximum time for which a stop waits for requests in flight. */
const STOP_TIMEOUT_MS = 30_000

const STOP_POLL_INTERVAL_MS = 50
const LEAVE_LIMITS = { attemptMs: 500, totalMs: 1000 }

/** Dependencies of {@link EntryDaemon}. */
export interface EntryDaemonDeps {
  readonly entry: string
  readonly clock: Clock
  readonly control: ControlClient
  readonly log: Logger
  readonly poller: ViewPoller
  readonly reporter: Reporter
  readonly server: EntryServer
  readonly settler: Settler
}

/** Starts and stops an entry. */
export class EntryDaemon {
  readonly #deps: EntryDaemonDeps
  readonly #stop = new AbortController()

  /** @param deps - dependencies */
  constructor (deps: EntryDaemonDeps) {
    this.#deps = deps
  }

  /**
   * Starts the background loops and the server.
   *
   * @param address - host and port for callers and endpoints
   */
  async start (address: string): Promise<void> {
    const { poller, reporter, server, settler } = this.#deps
    void poller.run(this.#stop.signal)
    void reporter.run(this.#stop.signal)
    void settler.run(this.#stop.signal)
    await server.listen(address)
  }

  /**
   * Stops gracefully: rejects new requests, waits for those in flight, flushes settlements, releases the view lease and
   * closes all connections.
   */
  async stop (): Promise<void> {
    const { clock, control, entry, log, server, settler } = this.#deps
    const deadline = clock.now() + STOP_TIMEOUT_MS
    server.beginStop()
    while (server.inFlight > 0 && clock.now() < deadline) await clock.sleep(STOP_POLL_INTERVAL_MS)
    if (server.inFlight > 0) log.warn(`Stopping with ${server.inFlight} requests still in flight after ${STOP_TIMEOUT_MS} ms.`)
    await settler.flush()
    this.#stop.abort()
    await control.call((calls, signal) => calls.leave.mutate({ entry }, { signal }), LEAVE_LIMITS)
    await server.close()
    control.close()
  }
}
