/** HTTP connections to one address. Only undici's pool is loaded: the whole library takes 18 MB more. */
import type { Dispatcher, Pool as PoolType } from 'undici'
import Pool from 'undici/lib/dispatcher/pool.js'
import type { Millis } from '../../clock/index.js'

export { Pool }

/** A request whose answer is gathered whole. */
export interface BufferedRequest {
  readonly path: string
  readonly method: string
  readonly headers: Record<string, string>
  readonly body: string | Buffer | null
}

/** A whole answer. */
export interface TextAnswer {
  readonly status: number
  readonly text: string
}

/** A whole answer as it came. */
export interface BytesAnswer {
  readonly status: number
  readonly bytes: Buffer
}

/** How connections are kept. */
export interface PoolLimits {
  readonly connections: number
  readonly connectMs: Millis
  /** Idle connections are closed after this time. */
  readonly idleMs: Millis
}

/**
 * Creates a pool of connections.
 *
 * @param address - host and port
 * @param limits - how connections are kept
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

/** A request that was sent and may be given up. */
export interface PendingRequest {
  readonly answer: Promise<BytesAnswer>
  /** Whether any of it may have left: a request that waits for a connection has not. */
  readonly wasSent: () => boolean
  /** Gives the request up: its connection is closed and its answer rejects with the error. */
  readonly abort: (err: Error) => void
}

/**
 * Sends a request and gathers its answer.
 *
 * @param pool - connections to the address
 * @param req - the request
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
    this.#controller = controller
    if (this.#abortError !== null) controller.abort(this.#abortError)
  }

  onResponseStart (_controller: Dispatcher.DispatchController, status: number): void {
    this.#status = status
  }

  onResponseData (_controller: Dispatcher.DispatchController, chunk: Buffer): void {
    this.#chunks.push(chunk)
  }

  onResponseEnd (): void {
    this.#resolve({ status: this.#status, bytes: this.#chunks.length === 1 ? this.#chunks[0] as Buffer : Buffer.concat(this.#chunks) })
  }

  onResponseError (_controller: Dispatcher.DispatchController | undefined, err: Error): void {
    this.#reject(err)
  }
}
