/**
 * Calls one address over HTTP on connections that stay open. A call on a new connection takes a third of the processor time that it
 * takes with a pool of undici, which counts where a process calls hundreds of workers that change each second.
 */
import { Agent, request, type ClientRequest } from 'node:http'
import type { Millis } from '../../clock/index.js'
import { splitAddress } from '../../settings/parsers.js'
import type { TextAnswer } from '../http/index.js'
import { CallTimeoutError } from '../callTimeoutError/index.js'

/** Request with a text body. */
export interface TextRequest {
  readonly method: 'GET' | 'POST'
  readonly path: string
  readonly headers: Readonly<Record<string, string>>
  readonly body: string | null
}

/** Limits of {@link KeepAliveCalls}. */
export interface KeepAliveLimits {
  /** Maximum number of connections. */
  readonly connections: number
  /** Time after which an idle connection is closed. */
  readonly idleMs: Millis
}

/** Replaces its connections when a call that was sent has timed out and the other side has answered no call at all meanwhile. */
export class KeepAliveCalls {
  readonly #host: string
  readonly #port: number
  readonly #limits: KeepAliveLimits
  readonly #inFlight = new Set<ClientRequest>()
  #agent: Agent | null = null
  /** Number of answers received on the current connections. */
  #answerCount = 0

  /**
   * @param address - host and port
   * @param limits - number of connections and how long they stay open
   */
  constructor (address: string, limits: KeepAliveLimits) {
    const { host, port } = splitAddress(address)
    this.#host = host
    this.#port = port
    this.#limits = limits
  }

  /**
   * Sends a request and returns its answer as text.
   *
   * @param req - the request; the length of its body is added to its headers
   * @param timeoutMs - time for the whole call, in milliseconds
   * @throws CallTimeoutError when the timeout ends first
   * @throws any other error of the connection
   */
  request ({ method, path, headers, body }: TextRequest, timeoutMs: Millis): Promise<TextAnswer> {
    const agent = this.#currentAgent()
    const answersBefore = this.#answerCount
    const deadline = performance.now() + timeoutMs
    return new Promise((resolve, reject) => {
      const req = request({ host: this.#host, port: this.#port, agent, path, method, headers: body === null ? headers : { ...headers, 'content-length': String(Buffer.byteLength(body)) } })
      const fail = (err: Error): void => {
        clearTimeout(timeout)
        this.#inFlight.delete(req)
        reject(err)
      }
      const timeout = setTimeout(() => {
        const err = new CallTimeoutError(req.socket !== null && !req.socket.connecting)
        if (err.wasSent && this.#answerCount === answersBefore) this.#replaceAgent(agent)
        fail(err)
        req.destroy()
      }, timeoutMs)
      // A process that was stopped handles events of connections before the timeouts that were due earlier.
      const failIfLate = (): void => {
        if (performance.now() < deadline) return
        fail(new CallTimeoutError(false))
        req.destroy()
      }
      req.on('socket', (socket) => {
        if (socket.connecting) socket.once('connect', failIfLate)
        else failIfLate()
      })
      req.on('error', fail)
      req.on('response', (res) => {
        const chunks: Buffer[] = []
        res.on('data', (chunk: Buffer) => { chunks.push(chunk) })
        res.on('error', fail)
        res.on('end', () => {
          clearTimeout(timeout)
          this.#inFlight.delete(req)
          if (this.#agent === agent) this.#answerCount += 1
          resolve({ status: res.statusCode ?? 0, text: Buffer.concat(chunks).toString('utf8') })
        })
      })
      this.#inFlight.add(req)
      req.end(body ?? undefined)
    })
  }

  /** Closes all connections and rejects calls in flight. */
  close (): void {
    for (const req of this.#inFlight) req.destroy(new Error('the connections were closed'))
    this.#agent?.destroy()
    this.#agent = null
  }

  #currentAgent (): Agent {
    this.#agent ??= new Agent({ keepAlive: true, maxSockets: this.#limits.connections, timeout: this.#limits.idleMs })
    return this.#agent
  }

  /**
   * Replaces all connections unless that has happened already. If no call was answered since the one that timed out was sent, other
   * idle connections may be dead as well, so that none of them is used again. Calls in flight may finish.
   */
  #replaceAgent (unresponsiveAgent: Agent): void {
    if (this.#agent !== unresponsiveAgent) return
    this.#agent = null
    unresponsiveAgent.maxFreeSockets = 0
    for (const sockets of Object.values(unresponsiveAgent.freeSockets)) for (const socket of sockets ?? []) socket.destroy()
  }
}
