/** Pool of connections to one address on which each call has its own timeout. */
import type { Pool } from 'undici'
import type { Millis } from '../../clock/index.js'
import { createPool, sendRequest, type BytesAnswer, type PoolLimits, type TextAnswer, type BufferedRequest } from '../http/index.js'

/** Thrown when a call is not answered within its timeout. */
export class CallTimeoutError extends Error {
  override readonly name = 'CallTimeoutError'

  /** @param wasSent - false when the call was still waiting for a connection, so that it was certainly not carried out */
  constructor (readonly wasSent: boolean) {
    super(wasSent ? 'the call was not answered within its timeout' : 'no connection was available within the timeout of the call')
  }
}

/** Replaces its connections after a timeout during which the other side has answered no call at all. */
export class TimedPool {
  readonly #address: string
  readonly #limits: PoolLimits
  #pool: Pool
  /** Number of answers received on the current connections. */
  #answerCount = 0

  /**
   * @param address - host and port
   * @param limits - number and timeouts of connections
   */
  constructor (address: string, limits: PoolLimits) {
    this.#address = address
    this.#limits = limits
    this.#pool = createPool(address, limits)
  }

  /**
   * Sends a request and buffers its answer.
   *
   * @param req - request to send
   * @param timeoutMs - time for the whole call, in milliseconds
   * @throws CallTimeoutError when the timeout ends first
   * @throws any other error of the connection
   */
  async request (req: BufferedRequest, timeoutMs: Millis): Promise<BytesAnswer> {
    const pool = this.#pool
    const answersBefore = this.#answerCount
    const { answer, wasSent, abort } = sendRequest(pool, req)
    const timeout = setTimeout(() => {
      abort(new CallTimeoutError(wasSent()))
      if (this.#answerCount === answersBefore) this.#replacePool(pool)
    }, timeoutMs)
    try {
      const res = await answer
      if (this.#pool === pool) this.#answerCount += 1
      return res
    } finally {
      clearTimeout(timeout)
    }
  }

  /**
   * Sends a request and returns its answer as text.
   *
   * @param req - request to send
   * @param timeoutMs - time for the whole call, in milliseconds
   * @throws the errors of {@link TimedPool.request}
   */
  async requestText (req: BufferedRequest, timeoutMs: Millis): Promise<TextAnswer> {
    const { status, bytes } = await this.request(req, timeoutMs)
    return { status, text: bytes.toString('utf8') }
  }

  /** Closes all connections and rejects calls in flight. */
  close (): void {
    this.#pool.destroy().catch(() => {})
  }

  /**
   * Replaces all connections unless that has happened already. If no call was answered since the one that timed out was
   * sent, other idle connections may be dead as well, so none of them is used again. A busy process that still answers
   * other calls keeps its connections, since opening new ones would add to its load.
   */
  #replacePool (unresponsivePool: Pool): void {
    if (this.#pool !== unresponsivePool) return
    this.#pool = createPool(this.#address, this.#limits)
    unresponsivePool.close().catch(() => {})
  }
}
