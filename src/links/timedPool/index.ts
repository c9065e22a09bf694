/** Pool of connections to one address on which each call has its own timeout. */
import type { Pool } from 'undici'
import type { Millis } from '../../clock/index.js'
import { CallTimeoutError } from '../callTimeoutError/index.js'
import { createPool, sendRequest, type BytesAnswer, type PoolLimits, type TextAnswer, type BufferedRequest } from '../http/index.js'

/** Limits of a pool whose calls have timeouts. */
export interface TimedPoolLimits extends PoolLimits {
  /**
   * How long a call that timed out keeps its connection for the late answer, while other calls are answered; 0 by default.
   * Closing the connection doesn't take the call back, and a busy process would have to accept another one.
   */
  readonly lateAnswerMs?: Millis
}

/** Replaces its connections when a call that was sent has timed out and the other side has answered no call at all meanwhile. */
export class TimedPool {
  readonly #address: string
  readonly #limits: TimedPoolLimits
  #pool: Pool
  /** Number of answers received on the current connections. */
  #answerCount = 0

  /**
   * @param address - host and port
   * @param limits - number and timeouts of connections
   */
  constructor (address: string, limits: TimedPoolLimits) {
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
    const pending = sendRequest(pool, req)
    let timeout: NodeJS.Timeout | undefined
    const timedOut = new Promise<never>((_resolve, reject) => {
      timeout = setTimeout(() => {
        const err = new CallTimeoutError(pending.wasSent())
        const isResponsive = this.#answerCount !== answersBefore
        // A call that was still waiting tells nothing of the connections; those that keep it waiting have timeouts of their own.
        if (!isResponsive && err.wasSent) this.#replacePool(pool)
        if (isResponsive && err.wasSent) timeout = setTimeout(() => { pending.abort(err) }, this.#limits.lateAnswerMs ?? 0)
        else pending.abort(err)
        reject(err)
      }, timeoutMs)
    })
    const answered = pending.answer
      .then((res) => {
        if (this.#pool === pool) this.#answerCount += 1
        return res
      })
      .finally(() => { clearTimeout(timeout) })
    return await Promise.race([answered, timedOut])
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
