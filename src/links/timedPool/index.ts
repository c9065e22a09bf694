/** Connections to one address on which every call has its own timeout. */
import type { Pool } from 'undici'
import type { Millis } from '../../clock/index.js'
import { createPool, sendRequest, type BytesAnswer, type PoolLimits, type TextAnswer, type BufferedRequest } from '../http/index.js'

/** The call was given up. */
export class CallTimeoutError extends Error {
  override readonly name = 'CallTimeoutError'

  /** @param wasSent - false when it was still waiting for a connection, so that it was certainly not carried out */
  constructor (readonly wasSent: boolean) {
    super(wasSent ? 'the call took too long' : 'no connection was made in time')
  }
}

/** A pool that replaces its connections when neither a call nor any other after it was answered. */
export class TimedPool {
  readonly #address: string
  readonly #limits: PoolLimits
  #pool: Pool
  /** Answers of the present connections. */
  #answerCount = 0

  /**
   * @param address - host and port
   * @param limits - how connections are kept
   */
  constructor (address: string, limits: PoolLimits) {
    this.#address = address
    this.#limits = limits
    this.#pool = createPool(address, limits)
  }

  /**
   * Sends a request and gathers its answer.
   *
   * @param req - the request
   * @param timeoutMs - time for the whole call
   * @throws CallTimeoutError when the time is over; any other error as the connection has it
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
   * Sends a request and gathers its answer as text.
   *
   * @param req - the request
   * @param timeoutMs - time for the whole call
   * @throws as {@link TimedPool.request}
   */
  async requestText (req: BufferedRequest, timeoutMs: Millis): Promise<TextAnswer> {
    const { status, bytes } = await this.request(req, timeoutMs)
    return { status, text: bytes.toString('utf8') }
  }

  /** Closes all connections; calls under way are rejected. */
  close (): void {
    this.#pool.destroy().catch(() => {})
  }

  /**
   * When nothing was answered since the call was sent, other idle connections may have gone silent with the one that was
   * given up: none of them is used again. A busy process that answers others keeps its connections, since making them
   * anew is what it can spare least.
   */
  #replacePool (unresponsivePool: Pool): void {
    if (this.#pool !== unresponsivePool) return
    this.#pool = createPool(this.#address, this.#limits)
    unresponsivePool.close().catch(() => {})
  }
}
