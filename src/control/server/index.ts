/** HTTP server of a control process: serves calls from peers, entries and operators, and the monitoring pages. */
import type { IncomingMessage, Server, ServerResponse } from 'node:http'
import type { ClientLimits } from '../../links/clientLimits/index.js'
import { createControlRouter } from '../../links/controlRouter/index.js'
import { formatMembersHeader, MEMBERS_HEADER } from '../../links/groupMembers/index.js'
import { createRpcHandler, type BoundProcedures } from '../../links/rpcHandler/index.js'
import type { LinkTraffic } from '../../links/trpcLink/index.js'
import type { TokenGuard } from '../../links/tokens/index.js'
import type { Metrics } from '../../metrics/index.js'
import { splitAddress } from '../../settings/parsers.js'
import type { ControlDaemon } from '../daemon/index.js'

/** Dependencies of {@link ControlServer}. */
export interface ControlServerDeps {
  readonly daemon: ControlDaemon
  readonly guard: TokenGuard
  readonly metrics: Metrics
  readonly traffic: LinkTraffic
  /** Limits for peers, entries, operators and others who connect. */
  readonly limits: ClientLimits
}

/** Serves HTTP on the control address. */
export class ControlServer {
  readonly #deps: ControlServerDeps
  readonly #server: Server

  /** @param deps - dependencies of the server */
  constructor (deps: ControlServerDeps) {
    this.#deps = deps
    const { guard, limits } = deps
    const { router, createCaller } = createControlRouter(deps.daemon)
    const handleRpc = createRpcHandler({
      basePath: '/trpc/',
      readBody: (req) => limits.readBody(req),
      procedureNames: new Set(Object.keys(router._def.procedures)),
      bindProcedures: (req) => createCaller({ isPeer: guard.allows(req, 'peer'), isOperator: guard.allows(req, 'operator') }) as unknown as BoundProcedures,
      listHeaders: (req) => this.#listMemberHeaders(req)
    })
    this.#server = limits.createServer((req, res) => {
      if (req.url?.startsWith('/trpc/') !== true) {
        this.#answerMonitoring(req, res)
        return
      }
      this.#countTraffic(req, res)
      return handleRpc(req, res)
    })
  }

  /**
   * Starts listening; resolves once connections are accepted.
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

  /** Tells a caller the members, unless the caller gives none or a newer version of them, or may not act in any role. */
  #listMemberHeaders (req: IncomingMessage): Record<string, string> {
    const { daemon, guard } = this.#deps
    const known = req.headers[MEMBERS_HEADER]
    if (known === undefined || !(guard.allows(req, 'peer') || guard.allows(req, 'operator'))) return {}
    const { members } = daemon
    const isNews = members.isLeader ? members.version !== Number(known) : members.version > Number(known) || Number(known) === 0
    return isNews && members.addresses.length > 0 ? { [MEMBERS_HEADER]: formatMembersHeader(members) } : {}
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
