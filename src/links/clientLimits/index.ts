/** Keeps the clients of a process inside limits, so that none of them uses up its memory or its descriptors. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { Socket } from 'node:net'
import type { Duplex } from 'node:stream'
import type { Millis } from '../../clock/index.js'
import type { Metrics } from '../../metrics/index.js'
import { HeldBytes, type Holding } from './heldBytes.js'
import { readBody } from './readBody.js'
import { RefusedError, type ClientLimitSettings, type RefusalReason, type RequestListener } from './types.js'

/** How often Node.js looks for requests that have not come in time. */
const CHECKING_INTERVAL_MS: Millis = 500

/** After a refusal the rest of a body is read for this time and up to this size: a connection closed with unread bytes is reset, and the
 * client may never see the answer. */
const LINGER_MS: Millis = 1000
const MAX_LINGER_BYTES = 1024 * 1024

/** Node.js reads at most this much from a socket at once. */
const READ_BYTES = 64 * 1024

const RETRY_AFTER_SECONDS = '1'

const REASONS_BY_ERROR_CODE: Readonly<Record<string, { readonly reason: RefusalReason, readonly status: string } | undefined>> = {
  ERR_HTTP_REQUEST_TIMEOUT: { reason: 'timeout', status: '408 Request Timeout' },
  HPE_HEADER_OVERFLOW: { reason: 'malformed', status: '431 Request Header Fields Too Large' },
  HPE_CHUNK_EXTENSIONS_OVERFLOW: { reason: 'malformed', status: '413 Payload Too Large' }
}

interface Exchange {
  readonly connection: Connection
  readonly req: IncomingMessage
  readonly res: ServerResponse
  readonly holding: Holding
}

interface Connection {
  readonly socket: Socket
  /** Request that is being answered. */
  current: Exchange | null
  /** Requests that came after it. */
  readonly waiting: Exchange[]
  hasSentRequest: boolean
  isClosing: boolean
}

/** What Node.js attaches to the socket of an HTTP connection. */
interface ParsedSocket {
  readonly parser?: { onIncoming?: (() => number) | null } | null
}

/** Limits that the HTTP servers of one process share. Each connection has one request answered at a time; the next ones wait. */
export class ClientLimits {
  readonly settings: ClientLimitSettings
  readonly #metrics: Metrics
  readonly #onRefused: (reason: RefusalReason, client: string) => void
  readonly #held: HeldBytes
  readonly #exchanges = new WeakMap<IncomingMessage, Exchange>()
  readonly #connectionsByServer: Array<Set<Connection>> = []
  #running = 0
  #ahead = 0

  /**
   * @param settings - limits
   * @param metrics - receives the number of refusals by reason, and what is held
   * @param onRefused - called for each refusal or closed connection, with the client's address
   */
  constructor (settings: ClientLimitSettings, metrics: Metrics, onRefused: (reason: RefusalReason, client: string) => void = () => {}) {
    this.settings = settings
    this.#metrics = metrics
    this.#onRefused = onRefused
    this.#held = new HeldBytes(settings.maxHeldBytes)
    metrics.gauge('oleanderward_client_connections', () => this.#connectionsByServer.reduce((sum, { size }) => sum + size, 0))
    metrics.gauge('oleanderward_client_requests', () => this.#running)
    metrics.gauge('oleanderward_client_requests_ahead', () => this.#ahead)
    metrics.gauge('oleanderward_client_held_bytes', () => this.#held.total)
  }

  /**
   * Creates an HTTP server whose clients are kept inside the limits.
   *
   * @param listener - answers requests
   * @param maxConnections - maximum number of open connections at its address
   */
  createServer (listener: RequestListener, maxConnections: number = this.settings.maxConnections): Server {
    const { headersTimeoutMs, requestTimeoutMs, idleTimeoutMs } = this.settings
    const connections = new Map<Socket, Connection>()
    const open = new Set<Connection>()
    this.#connectionsByServer.push(open)
    const server = createServer({ headersTimeout: headersTimeoutMs, requestTimeout: requestTimeoutMs, keepAliveTimeout: idleTimeoutMs, connectionsCheckingInterval: CHECKING_INTERVAL_MS }, (req, res) => {
      const connection = connections.get(req.socket)
      if (connection !== undefined) this.#receive(listener, connection, req, res)
    })
    server.on('connection', (socket) => {
      const connection: Connection = { socket, current: null, waiting: [], hasSentRequest: false, isClosing: false }
      if (open.size >= maxConnections && !this.#closeIdle(open)) {
        this.#refuse('connections', socket)
        socket.destroy()
        return
      }
      connections.set(socket, connection)
      open.add(connection)
      socket.once('close', () => {
        connections.delete(socket)
        open.delete(connection)
        this.#ahead -= connection.waiting.length
        for (const { holding } of connection.waiting.splice(0)) this.#held.release(holding)
      })
    })
    server.on('clientError', (err: NodeJS.ErrnoException, socket) => { this.#onClientError(err, socket, connections.get(socket as Socket)) })
    return server
  }

  /**
   * Returns whether further requests of the same connection wait for the answer to this one.
   *
   * @param req - request that is being answered
   */
  isFollowed (req: IncomingMessage): boolean {
    return (this.#exchanges.get(req)?.connection.waiting.length ?? 0) > 0
  }

  /**
   * Reads the body of a request.
   *
   * @param req - request of one of the servers
   * @param maxBytes - maximum size of the body
   * @throws RefusedError when the body is over a limit, an Error when the connection ends before the body
   */
  async readBody (req: IncomingMessage, maxBytes: number = this.settings.maxBodyBytes): Promise<Buffer> {
    return await readBody(req, maxBytes, this.#held, this.#exchanges.get(req)?.holding ?? { bytes: 0, giveUp: null })
  }

  /**
   * Counts the bytes of an answer until the client has read them. Its connection may be closed when too many bytes are held.
   *
   * @param req - request that is answered
   * @param bytes - size of the answer
   */
  holdAnswer (req: IncomingMessage, bytes: number): void {
    const exchange = this.#exchanges.get(req)
    if (exchange === undefined) return
    exchange.holding.giveUp = () => {
      this.#refuse('heldBytes', req.socket)
      req.socket.destroy()
    }
    this.#held.add(exchange.holding, bytes)
  }

  /**
   * Answers a request that is over a limit, and closes its connection.
   *
   * @param req - request that is refused and has not run
   * @param res - its answer
   * @param err - limit that was met
   */
  refuse (req: IncomingMessage, res: ServerResponse, err: RefusedError): void {
    const { statusCode } = err
    this.count(err, req)
    if (res.destroyed || res.headersSent) return
    res.writeHead(statusCode, { connection: 'close', 'content-length': 0, ...(statusCode === 503 ? { 'retry-after': RETRY_AFTER_SECONDS } : {}) })
    res.flushHeaders()
    let discarded = 0
    const end = (): void => {
      clearTimeout(timer)
      res.end()
    }
    const timer = setTimeout(end, LINGER_MS).unref()
    req.once('close', end).once('end', end)
    req.on('data', (chunk: Buffer) => { if ((discarded += chunk.length) > MAX_LINGER_BYTES) end() }).resume()
  }

  /**
   * Counts a refusal that the caller answers itself.
   *
   * @param err - limit that was met
   * @param req - request that is refused
   */
  count ({ reason }: RefusedError, req: IncomingMessage): void {
    this.#refuse(reason, req.socket)
  }

  #receive (listener: RequestListener, connection: Connection, req: IncomingMessage, res: ServerResponse): void {
    const { socket, waiting } = connection
    if (connection.isClosing) return
    connection.hasSentRequest = true
    const exchange = { connection, req, res, holding: { bytes: 0, giveUp: null } }
    if (connection.current === null) {
      this.#start(listener, exchange)
      return
    }
    waiting.push(exchange)
    this.#ahead += 1
    this.#holdUnreadBody(exchange)
    if (connection.isClosing) return
    if (this.#ahead > this.settings.maxRequestsAhead) this.#closeLongestWaiting()
    // Node.js resumes the socket after each complete request, so that it can be paused only after all that was read has been parsed.
    else if (waiting.length === 1) process.nextTick(() => { if (waiting.length > 0) socket.pause() })
  }

  /** Counts what Node.js may have read of the body of a request that waits. */
  #holdUnreadBody ({ connection, req: { headers }, holding }: Exchange): void {
    const bytes = headers['transfer-encoding'] === undefined ? Number(headers['content-length'] ?? 0) : READ_BYTES
    if (bytes === 0) return
    holding.giveUp = () => { this.#close(connection, 'heldBytes') }
    this.#held.add(holding, Math.min(bytes, READ_BYTES))
  }

  #start (listener: RequestListener, exchange: Exchange): void {
    const { connection, req, res, holding } = exchange
    connection.current = exchange
    if (this.#running >= this.settings.maxRequests) {
      res.once('close', () => { this.#startNext(listener, connection) })
      this.refuse(req, res, new RefusedError('requests', 503))
      return
    }
    this.#running += 1
    this.#exchanges.set(req, exchange)
    // A client that has gone does not end the work on its request.
    let openEnds = 2
    const finish = (): void => {
      openEnds -= 1
      if (openEnds > 0) return
      this.#running -= 1
      this.#held.release(holding)
    }
    res.once('prefinish', () => { if (!res.writableFinished) connection.socket.setTimeout(this.settings.stalledTimeoutMs) })
    res.once('close', () => {
      finish()
      this.#startNext(listener, connection)
    })
    void Promise.resolve(listener(req, res)).finally(finish)
  }

  #startNext (listener: RequestListener, connection: Connection): void {
    const { socket, waiting } = connection
    connection.current = null
    if (socket.destroyed || connection.isClosing) return
    const next = waiting.shift()
    if (next !== undefined) {
      this.#ahead -= 1
      this.#held.release(next.holding)
      socket.setTimeout(0)
      this.#start(listener, next)
    }
    if (waiting.length === 0 && socket.isPaused()) socket.resume()
  }

  #closeLongestWaiting (): void {
    let longest: Connection | null = null
    for (const open of this.#connectionsByServer) {
      for (const connection of open) if (!connection.isClosing && connection.waiting.length > (longest?.waiting.length ?? 0)) longest = connection
    }
    if (longest === null) return
    this.#close(longest, 'requestsAhead')
  }

  #close (connection: Connection, reason: RefusalReason): void {
    const { socket } = connection
    this.#refuse(reason, socket)
    connection.isClosing = true
    // Node.js goes on parsing what it has read, and keeps each request until the event loop closes the socket, after it has read from all
    // others. Without this, one turn of the loop can fill the memory.
    const { parser } = socket as ParsedSocket
    if (parser?.onIncoming !== undefined) parser.onIncoming = () => 0
    socket.destroy()
  }

  /** Closes the oldest connection without a request, first of those that have never sent one. */
  #closeIdle (open: Set<Connection>): boolean {
    let oldest: Connection | null = null
    for (const connection of open) {
      if (connection.current !== null || connection.socket.destroyed) continue
      oldest ??= connection
      if (connection.hasSentRequest) continue
      oldest = connection
      break
    }
    if (oldest === null) return false
    this.#refuse('connections', oldest.socket)
    open.delete(oldest)
    oldest.socket.destroy()
    return true
  }

  #onClientError (err: NodeJS.ErrnoException, socket: Duplex, connection: Connection | undefined): void {
    const { reason, status } = REASONS_BY_ERROR_CODE[err.code ?? ''] ?? { reason: 'malformed', status: '400 Bad Request' }
    if (err.code !== 'ECONNRESET') this.#refuse(reason, socket as Socket)
    // While a complete request is being answered, this answer would be taken for its own.
    const current = connection?.current ?? null
    if (socket.writable && (current === null || (!current.req.complete && !current.res.headersSent))) socket.write(`HTTP/1.1 ${status}\r\nconnection: close\r\n\r\n`)
    socket.destroy()
  }

  #refuse (reason: RefusalReason, socket: Socket): void {
    this.#metrics.count('oleanderward_refused_clients', { reason })
    this.#onRefused(reason, socket.remoteAddress ?? '')
  }
}

export { CONTROL_LIMITS, ENTRY_LIMITS, MONITORING_MAX_CONNECTIONS, PRODUCT_LIMITS, RefusedError, type ClientLimitSettings, type RefusalReason, type RequestListener } from './types.js'
