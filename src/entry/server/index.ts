/** HTTP server of an entry for callers' requests and jobs, endpoints' announcements and monitoring. */
import { randomUUID } from 'node:crypto'
import type { IncomingMessage } from 'node:http'
import type { AddressInfo } from 'node:net'
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import type { Clock } from '../../clock/index.js'
import { MAX_REQUEST_BODY_BYTES } from '../../contracts/constants.js'
import { formatFinding } from '../../contracts/findings/index.js'
import { omitHopByHopHeaders, toResponse, type RequestResult } from '../../callers/outcomes/index.js'
import type { RequestRunner } from '../../callers/requests/index.js'
import { parseHeaders } from '../../callers/requests/parse.js'
import { announcementSchema, type AnnouncementHandler } from '../../endpoints/announce/index.js'
import type { HttpAnswer, JobRequestHandler } from '../../jobs/requestHandler/index.js'
import { RefusedError, type ClientLimits } from '../../links/clientLimits/index.js'
import type { TokenGuard } from '../../links/tokens/index.js'
import type { FleetView } from '../../machines/fleetView/index.js'
import type { Metrics } from '../../metrics/index.js'
import { splitAddress } from '../../settings/parsers.js'

/** Time after which a caller that was refused for want of room may send again. */
const RETRY_AFTER_MS = 1000

/** Label value in the metrics for teams that the rules do not list, which limits the number of series. */
const OTHER_TEAM = 'other'

/** Dependencies of {@link EntryServer}. */
export interface EntryServerDeps {
  readonly clock: Clock
  readonly view: FleetView
  readonly runner: RequestRunner
  /** Handles announcements of endpoints. */
  readonly announcementHandler: AnnouncementHandler
  /** Handles requests about jobs. */
  readonly jobs: JobRequestHandler
  readonly guard: TokenGuard
  readonly metrics: Metrics
  /** Limits for callers and endpoints. */
  readonly limits: ClientLimits
}

interface ServiceParams {
  readonly service: string
  readonly '*'?: string
}

/** Serves the address for callers and endpoints. */
export class EntryServer {
  readonly #deps: EntryServerDeps
  readonly #app: FastifyInstance
  #inFlight = 0
  #isStopping = false

  /** @param deps - dependencies */
  constructor (deps: EntryServerDeps) {
    this.#deps = deps
    this.#app = fastify({ serverFactory: (listener) => deps.limits.createServer(listener), return503OnClosing: false, forceCloseConnections: true, exposeHeadRoutes: false })
    this.#app.removeAllContentTypeParsers()
    this.#app.addContentTypeParser('*', (_req: FastifyRequest, body: IncomingMessage) => deps.limits.readBody(body, MAX_REQUEST_BODY_BYTES))
    this.#app.setErrorHandler((err, _req, res) => this.#replyError(err as Error & { statusCode?: number }, res))
    this.#addRoutes()
  }

  /** Number of callers' requests in flight. */
  get inFlight (): number {
    return this.#inFlight
  }

  /**
   * Starts listening.
   *
   * @param address - host and port
   */
  async listen (address: string): Promise<void> {
    await this.#app.listen(splitAddress(address))
  }

  /** Rejects new requests from now on, and reports the entry as not ready on `/ready`. */
  beginStop (): void {
    this.#isStopping = true
  }

  /** Address that the server listens on; needed by tests, for which the system chooses the port. */
  get address (): string {
    const { address, port } = this.#app.server.address() as AddressInfo
    return `${address}:${port}`
  }

  /** Closes the server and its connections. */
  async close (): Promise<void> {
    await this.#app.close()
  }

  #addRoutes (): void {
    const app = this.#app
    const onRequest = (req: FastifyRequest, res: FastifyReply): Promise<FastifyReply> => this.#serveRequest(req, res)
    app.all('/v1/services/:service/requests', onRequest)
    app.all('/v1/services/:service/requests/*', onRequest)
    app.post('/v1/announce', (req, res) => this.#onAnnouncement(req, res))
    app.post('/v1/jobs', async (req, res) => await sendAnswer(res, await this.#handleJson(req, (body) => this.#deps.jobs.submit(body))))
    app.get('/v1/jobs', async (req, res) => await sendAnswer(res, await this.#deps.jobs.list(req.query)))
    app.get('/v1/jobs/:id', async (req, res) => await sendAnswer(res, await this.#deps.jobs.find((req.params as { id: string }).id)))
    app.post('/v1/jobs/cancel', async (req, res) => await sendAnswer(res, await this.#handleJson(req, (body) => this.#deps.jobs.cancel(body))))
    app.get('/live', (_req, res) => res.send('live\n'))
    app.get('/ready', (_req, res) => this.#isReady ? res.send('ready\n') : res.code(503).send('not ready\n'))
    app.get('/metrics', (_req, res) => res.type('text/plain; charset=utf-8').send(this.#deps.metrics.render()))
  }

  get #isReady (): boolean {
    return !this.#isStopping && this.#deps.view.isFresh && this.#deps.view.rules !== null
  }

  async #serveRequest (req: FastifyRequest, res: FastifyReply): Promise<FastifyReply> {
    const { clock } = this.#deps
    const startedAt = clock.now()
    const id = randomUUID()
    const { service, '*': endpointPath } = req.params as ServiceParams
    const parsed = parseHeaders(req.headers)
    this.#inFlight += 1
    try {
      if (parsed.findings.length > 0) return this.#reply(res, { outcome: 'notRun', reason: 'badRequest', message: parsed.findings.map(formatFinding).join('; ') }, id, 0)
      if (this.#isStopping) return this.#reply(res.header('connection', 'close'), { outcome: 'notRun', reason: 'stopping', message: 'The entry is stopping.', retryAfterMs: 1000 }, id, 0)
      const { result, attempts } = await this.#deps.runner.run({
        id,
        service,
        method: req.method,
        path: `/${endpointPath ?? ''}${getQuery(req.url)}`,
        headers: omitHopByHopHeaders(req.headers),
        body: Buffer.isBuffer(req.body) && req.body.length > 0 ? req.body : null,
        team: parsed.team,
        class: parsed.class,
        deadline: startedAt + parsed.deadlineMs,
        key: parsed.key,
        keyCreated: parsed.keyCreated
      })
      this.#recordMetrics(service, parsed.team, parsed.class, result, clock.now() - startedAt)
      return this.#reply(res, result, id, attempts)
    } finally {
      this.#inFlight -= 1
    }
  }

  #reply (res: FastifyReply, result: RequestResult, id: string, attempts: number): FastifyReply {
    const { status, headers, body } = toResponse(result, id, attempts)
    return res.code(status).headers(headers).send(body)
  }

  #recordMetrics (service: string, team: string, workClass: string, result: RequestResult, durationMs: number): void {
    const { metrics, view } = this.#deps
    const knownTeam = Object.hasOwn(view.rules?.teams ?? {}, team) ? team : OTHER_TEAM
    const knownService = view.service(service) === undefined ? 'unknown' : service
    metrics.record('oleanderward_request_ms', { team: knownTeam, class: workClass }, durationMs)
    metrics.count('oleanderward_requests_total', { service: knownService, outcome: result.outcome, reason: result.outcome === 'answered' ? 'none' : result.reason })
  }

  async #onAnnouncement (req: FastifyRequest, res: FastifyReply): Promise<FastifyReply> {
    if (!this.#deps.guard.allows(req.raw, 'endpoint')) return res.code(401).send({ message: 'This call requires the endpoint token.' })
    return await sendAnswer(res, await this.#handleJson(req, (body) => {
      const parsed = announcementSchema.safeParse(body)
      if (parsed.success) return { status: 200, body: this.#deps.announcementHandler.handle(parsed.data) }
      return { status: 400, body: { findings: parsed.error.issues.map((issue) => `${issue.path.map(String).join('.')}: ${issue.message}`) } }
    }))
  }

  async #handleJson (req: FastifyRequest, handle: (body: unknown) => HttpAnswer | Promise<HttpAnswer>): Promise<HttpAnswer> {
    let body: unknown
    try {
      body = JSON.parse(Buffer.isBuffer(req.body) ? req.body.toString('utf8') : '')
    } catch (err) {
      return { status: 400, body: { findings: [`body: ${(err as Error).message}`] } }
    }
    return await handle(body)
  }

  /** Replies to a request that failed in the HTTP layer or in a handler. */
  #replyError (err: Error & { statusCode?: number }, res: FastifyReply): FastifyReply {
    const status = err.statusCode ?? 500
    if (err instanceof RefusedError) {
      this.#deps.limits.count(err, res.request.raw)
      void res.header('connection', 'close')
    }
    // Only a request that the HTTP layer itself has rejected is known not to have run.
    const result: RequestResult = status < 500
      ? { outcome: 'notRun', reason: 'badRequest', message: err.message }
      : err instanceof RefusedError
        ? { outcome: 'notRun', reason: 'queueFull', message: err.message, retryAfterMs: RETRY_AFTER_MS }
        : { outcome: 'unknown', reason: 'attemptFailed', message: 'The entry failed while handling the request.' }
    const { headers, body } = toResponse(result, randomUUID(), 0)
    return res.code(status).headers(headers).send(body)
  }
}

function sendAnswer (res: FastifyReply, answer: HttpAnswer): FastifyReply {
  return res.code(answer.status).type('application/json').send(JSON.stringify(answer.body))
}

function getQuery (url: string): string {
  const queryStart = url.indexOf('?')
  return queryStart === -1 ? '' : url.slice(queryStart)
}
