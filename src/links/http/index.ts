/** HTTP connections to one address. Loads only undici's pool, since the whole library takes 18 MB more memory. */
import type { Dispatcher, Pool as PoolType } from 'undici'
import Pool from 'undici/lib/dispatcher/pool.js'
import type { Millis } from '../../clock/index.js'

export { Pool }

/** Request whose answer is buffered completely. */
export interface BufferedRequest {
  readonly path: string
  readonly method: string
  readonly headers: Record<string, string>
  readonly body: string | Buffer | null
}

/** Complete answer with a text body. */
export interface TextAnswer {
  readonly status: number
  readonly text: string
}

/** Headers of an answer, by name in lower case. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>

/** Complete answer with a binary body. */
export interface BytesAnswer {
  readonly status: number
  readonly headers: AnswerHeaders
  readonly bytes: Buffer
}

/** Limits of a pool of connections. */
export interface PoolLimits {
  /** Maximum number of connections. */
  readonly connections: number
  /** Timeout for opening a connection. */
  readonly connectMs: Millis
  /** Time after which an idle connection is closed. */
  readonly idleMs: Millis
}

/**
 * Creates a pool of connections without timeouts for answers; callers set their own.
 *
 * @param address - host and port
 * @param limits - number and timeouts of connections
 */
export function createPool (address: string, limits: PoolLimits): PoolType {
  return new Pool(`http://${address}`, {
    connections: limits.connections,
    pipelining: 1,
    connectTimeout: limits.connectMs,
    keepAliveTimeout: limits.idleMs,
    keepAliveMaxTimeout: limits.idleMs,
    headersTimeout: 0,
    bodyTimeout: 0
  })
}

/** Request in flight, which may be aborted. */
export interface PendingRequest {
  readonly answer: Promise<BytesAnswer>
  /** Returns whether any part of the request may have been sent; false while it waits for a connection. */
  readonly wasSent: () => boolean
  /** Aborts the request: closes its connection and rejects its answer with the error. */
  readonly abort: (err: Error) => void
}

/**
 * Sends a request and buffers its answer.
 *
 * @param pool - connections to the address
 * @param req - request to send
 * @returns the request in flight; it has no timeout of its own
 */
export function sendRequest (pool: PoolType, { path, method, headers, body }: BufferedRequest): PendingRequest {
  const handler = new BufferingHandler()
  pool.dispatch({ path, method: method as Dispatcher.HttpMethod, headers, body }, handler)
  return { answer: handler.answer, wasSent: () => handler.wasSent, abort: (err) => { handler.abort(err) } }
}

class BufferingHandler implements Dispatcher.DispatchHandler {
  readonly answer: Promise<BytesAnswer>
  #resolve: (answer: BytesAnswer) => void = () => {}
  #reject: (err: Error) => void = () => {}
  #controller: Dispatcher.DispatchController | null = null
  #abortError: Error | null = null
  #status = 0
  #headers: AnswerHeaders = {}
  readonly #chunks: Buffer[] = []

  constructor () {
    this.answer = new Promise((resolve, reject) => {
      this.#resolve = resolve
      this.#reject = reject
    })
  }

  get wasSent (): boolean {
    return this.#controller !== null
  }

  abort (err: Error): void {
    this.#abortError = err
    this.#controller?.abort(err)
    this.#reject(err)
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    // Throwing leaves this request out; aborting it would also close the connection, which the next request can use.
    if (this.#abortError !== null) throw this.#abortError
    this.#controller = controller
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number, headers: AnswerHeaders): void {
    this.#status = status
    this.#headers = headers
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk)
  }

  onResponseEnd (): void {
    this.#resolve({ status: this.#status, headers: this.#headers, bytes: this.#chunks.length === 1 ? this.#chunks[0] as Buffer : Buffer.concat(this.#chunks) })
  }

  onResponseError (_controller: Dispatcher.DispatchController | undefined, err: Error): void {
    this.#reject(err)
  }
}
