/** HTTP server of an entry: callers' requests and jobs, endpoints' announcements, monitoring pages. */
import { randomUUID } from 'node:crypto'
import type { AddressInfo } from 'node:net'
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import type { Clock } from '../../clock/index.js'
import { MAX_REQUEST_BODY_BYTES } from '../../contracts/constants.js'
import { formatFinding } from '../../contracts/findings/index.js'
import { passOnHeaders, toResponse, type RequestResult } from '../../callers/outcomes/index.js'
import type { RequestRunner } from '../../callers/requests/index.js'
import { parseHeaders } from '../../callers/requests/parse.js'
import { announcementSchema, type AnnouncementDesk } from '../../endpoints/announce/index.js'
import type { DeskAnswer, JobDesk } from '../../jobs/desk/index.js'
import type { TokenGuard } from '../../links/tokens/index.js'
import type { FleetView } from '../../machines/fleetView/index.js'
import type { Metrics } from '../../metrics/index.js'
import { splitAddress } from '../../settings/parsers.js'

/** A request must have arrived whole after this time, in milliseconds. */
const REQUEST_TIMEOUT_MS = 30_000

/** Teams that get series of their own in the metrics, besides those in the rules. */
const OTHER_TEAM = 'other'

/** Dependencies of {@link EntryServer}. */
export interface EntryServerDeps {
  readonly clock: Clock
  readonly view: FleetView
  readonly runner: RequestRunner
  readonly desk: AnnouncementDesk
  readonly jobs: JobDesk
  readonly guard: TokenGuard
  readonly metrics: Metrics
}

interface ServiceParams {
  readonly service: string
  readonly '*'?: string
}

/** Listens on the callers' address. */
export class EntryServer {
  readonly #deps: EntryServerDeps
  readonly #app: FastifyInstance
  #inFlight = 0
  #isStopping = false

  /** @param deps - the entry's parts */
  constructor (deps: EntryServerDeps) {
    this.#deps = deps
    this.#app = fastify({ bodyLimit: MAX_REQUEST_BODY_BYTES, requestTimeout: REQUEST_TIMEOUT_MS, return503OnClosing: false, forceCloseConnections: true, exposeHeadRoutes: false })
    this.#app.removeAllContentTypeParsers()
    this.#app.addContentTypeParser('*', { parseAs: 'buffer' }, (_req, body, done) => { done(null, body) })
    this.#app.setErrorHandler((err, _req, res) => this.#answerError(err as Error & { statusCode?: number }, res))
    this.#addRoutes()
  }

  /** Requests of callers under way. */
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

  /** Takes no new requests from now on, and says so on `/ready`. */
  beginStop (): void {
    this.#isStopping = true
  }

  /** Address that it listens on, for tests that let the system choose a port. */
  get address (): string {
    const { address, port } = this.#app.server.address() as AddressInfo
    return `${address}:${port}`
  }

  /** Stops listening. */
  async close (): Promise<void> {
    await this.#app.close()
  }

  #addRoutes (): void {
    const app = this.#app
    const onRequest = (req: FastifyRequest, res: FastifyReply): Promise<FastifyReply> => this.#serve(req, res)
    app.all('/v1/services/:service/requests', onRequest)
    app.all('/v1/services/:service/requests/*', onRequest)
    app.post('/v1/announce', (req, res) => this.#announce(req, res))
    app.post('/v1/jobs', async (req, res) => await send(res, await this.#withJson(req, (body) => this.#deps.jobs.submit(body))))
    app.get('/v1/jobs', async (req, res) => await send(res, await this.#deps.jobs.list(req.query)))
    app.get('/v1/jobs/:id', async (req, res) => await send(res, await this.#deps.jobs.find((req.params as { id: string }).id)))
    app.post('/v1/jobs/cancel', async (req, res) => await send(res, await this.#withJson(req, (body) => this.#deps.jobs.cancel(body))))
    app.get('/live', (_req, res) => res.send('live\n'))
    app.get('/ready', (_req, res) => this.#isReady ? res.send('ready\n') : res.code(503).send('not ready\n'))
    app.get('/metrics', (_req, res) => res.type('text/plain; charset=utf-8').send(this.#deps.metrics.render()))
  }

  get #isReady (): boolean {
    return !this.#isStopping && this.#deps.view.isFresh && this.#deps.view.rules !== null
  }

  async #serve (req: FastifyRequest, res: FastifyReply): Promise<FastifyReply> {
    const { clock } = this.#deps
    const startedAt = clock.now()
    const id = randomUUID()
    const { service, '*': rest } = req.params as ServiceParams
    const parsed = parseHeaders(req.headers)
    this.#inFlight += 1
    try {
      if (parsed.findings.length > 0) return this.#reply(res, { outcome: 'notRun', reason: 'badRequest', message: parsed.findings.map(formatFinding).join('; ') }, id, 0)
      if (this.#isStopping) return this.#reply(res.header('connection', 'close'), { outcome: 'notRun', reason: 'stopping', message: 'This entry is stopping.', retryAfterMs: 1000 }, id, 0)
      const { result, attempts } = await this.#deps.runner.run({
        id,
        service,
        method: req.method,
        path: `/${rest ?? ''}${queryOf(req.url)}`,
        headers: passOnHeaders(req.headers),
        body: Buffer.isBuffer(req.body) && req.body.length > 0 ? req.body : null,
        team: parsed.team,
        class: parsed.class,
        deadline: startedAt + parsed.deadlineMs,
        key: parsed.key,
        keyCreated: parsed.keyCreated
      })
      this.#measure(service, parsed.team, parsed.class, result, clock.now() - startedAt)
      return this.#reply(res, result, id, attempts)
    } finally {
      this.#inFlight -= 1
    }
  }

  #reply (res: FastifyReply, result: RequestResult, id: string, attempts: number): FastifyReply {
    const { status, headers, body } = toResponse(result, id, attempts)
    return res.code(status).headers(headers).send(body)
  }

  #measure (service: string, team: string, workClass: string, result: RequestResult, ms: number): void {
    const { metrics, view } = this.#deps
    const knownTeam = Object.hasOwn(view.rules?.teams ?? {}, team) ? team : OTHER_TEAM
    const knownService = view.service(service) === undefined ? 'unknown' : service
    metrics.record('oleanderward_request_ms', { team: knownTeam, class: workClass }, ms)
    metrics.count('oleanderward_requests_total', { service: knownService, outcome: result.outcome, reason: result.outcome === 'answered' ? 'none' : result.reason })
  }

  async #announce (req: FastifyRequest, res: FastifyReply): Promise<FastifyReply> {
    if (!this.#deps.guard.allows(req.raw, 'endpoint')) return res.code(401).send({ message: 'This call needs the token of endpoints.' })
    return await send(res, await this.#withJson(req, (body) => {
      const parsed = announcementSchema.safeParse(body)
      if (parsed.success) return { status: 200, body: this.#deps.desk.take(parsed.data) }
      return { status: 400, body: { findings: parsed.error.issues.map((issue) => `${issue.path.map(String).join('.')}: ${issue.message}`) } }
    }))
  }

  async #withJson (req: FastifyRequest, run: (body: unknown) => DeskAnswer | Promise<DeskAnswer>): Promise<DeskAnswer> {
    let body: unknown
    try {
      body = JSON.parse(Buffer.isBuffer(req.body) ? req.body.toString('utf8') : '')
    } catch (err) {
      return { status: 400, body: { findings: [`body: ${(err as Error).message}`] } }
    }
    return await run(body)
  }

  #answerError (err: Error & { statusCode?: number }, res: FastifyReply): FastifyReply {
    const status = err.statusCode ?? 500
    // Only what the HTTP layer itself refuses is known not to have run.
    const result: RequestResult = status < 500
      ? { outcome: 'notRun', reason: 'badRequest', message: err.message }
      : { outcome: 'unknown', reason: 'attemptFailed', message: 'The entry failed while it handled the request.' }
    const { headers, body } = toResponse(result, randomUUID(), 0)
    return res.code(status).headers(headers).send(body)
  }
}

function send (res: FastifyReply, answer: DeskAnswer): FastifyReply {
  return res.code(answer.status).type('application/json').send(JSON.stringify(answer.body))
}

function queryOf (url: string): string {
  const start = url.indexOf('?')
  return start === -1 ? '' : url.slice(start)
}
