/** HTTP server of a control process: calls of peers, entries and operators, and the monitoring pages. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { createControlRouter } from '../../links/controlRouter/index.js'
import { createRpcHandler, type BoundProcedures } from '../../links/rpcHandler/index.js'
import type { LinkTraffic } from '../../links/trpcLink/index.js'
import type { TokenGuard } from '../../links/tokens/index.js'
import type { Metrics } from '../../metrics/index.js'
import { splitAddress } from '../../settings/parsers.js'
import type { ControlDaemon } from '../daemon/index.js'

/** Largest body of a call, in bytes: an inventory of 4,000 VMs takes under one megabyte. */
const MAX_BODY_BYTES = 16 * 1024 * 1024

/** Idle connections are closed after this time, in milliseconds; links retire theirs earlier. */
const KEEP_ALIVE_MS = 30_000

/** A request must have arrived whole after this time, in milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000

/** Dependencies of {@link ControlServer}. */
export interface ControlServerDeps {
  readonly daemon: ControlDaemon
  readonly guard: TokenGuard
  readonly metrics: Metrics
  readonly traffic: LinkTraffic
}

/** Listens on the control address. */
export class ControlServer {
  readonly #deps: ControlServerDeps
  readonly #server: Server

  /** @param deps - the process's parts */
  constructor (deps: ControlServerDeps) {
    this.#deps = deps
    const { guard } = deps
    const { router, createCaller } = createControlRouter(deps.daemon)
    const handle = createRpcHandler({
      basePath: '/trpc/',
      maxBodyBytes: MAX_BODY_BYTES,
      procedureNames: new Set(Object.keys(router._def.procedures)),
      bindProcedures: (req) => createCaller({ isPeer: guard.allows(req, 'peer'), isOperator: guard.allows(req, 'operator') }) as unknown as BoundProcedures
    })
    this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS, requestTimeout: REQUEST_TIMEOUT_MS }, (req, res) => {
      if (req.url?.startsWith('/trpc/') === true) {
        this.#countTraffic(req, res)
        void handle(req, res)
      } else this.#answerMonitoring(req, res)
    })
  }

  /**
   * Starts listening.
   *
   * @param address - host and port
   */
  listen (address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen(splitAddress(address), resolve)
    })
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.#server.close()
    this.#server.closeAllConnections()
  }

  #countTraffic (req: IncomingMessage, res: ServerResponse): void {
    const { traffic } = this.#deps
    traffic.receivedBytes += Number(req.headers['content-length'] ?? 0)
    res.once('finish', () => { traffic.sentBytes += Number(res.getHeader('content-length') ?? 0) })
  }

  #answerMonitoring (req: IncomingMessage, res: ServerResponse): void {
    const { daemon, metrics } = this.#deps
    const pages: Readonly<Record<string, () => { readonly status: number, readonly text: string }>> = {
      '/live': () => ({ status: 200, text: 'live\n' }),
      '/ready': () => daemon.isReady ? { status: 200, text: 'ready\n' } : { status: 503, text: 'no leader is known\n' },
      '/metrics': () => ({ status: 200, text: metrics.render() })
    }
    const page = pages[req.url ?? '']?.() ?? { status: 404, text: 'There is no such page.\n' }
    res.writeHead(page.status, { 'content-type': 'text/plain; charset=utf-8' })
    res.end(page.text)
  }
}
