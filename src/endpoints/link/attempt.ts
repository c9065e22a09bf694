/** Handles one attempt at an endpoint, from the first byte of the request to the end of the answer. */
import { PassThrough, type Readable } from 'node:stream'
import type { Dispatcher } from 'undici'
import { MAX_BUFFERED_ANSWER_BYTES } from '../../contracts/constants.js'
import { ATTEMPT_HEADER, REFUSED_HEADER } from '../../contracts/headers/index.js'

/** Headers of an answer, with lower-case names. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>

/** Result of an attempt. */
export type AttemptResult =
  /**
   * A complete answer or, if it is too long to be buffered, a stream that is destroyed when the answer is truncated.
   */
  | { readonly kind: 'answer', readonly status: number, readonly headers: AnswerHeaders, readonly body: Buffer | Readable }
  /** The endpoint refused the request before it started it. */
  | { readonly kind: 'refused', readonly reason: string }
  /** No byte of the request was sent. */
  | { readonly kind: 'notSent', readonly message: string }
  /** The request may have run. */
  | { readonly kind: 'unknown', readonly message: string, readonly isTimeout: boolean }

/** Receives the events of an attempt from undici and settles its result once. */
export class AttemptHandler implements Dispatcher.DispatchHandler {
  readonly #attempt: string
  readonly #mayStart: () => boolean
  readonly #settle: (result: AttemptResult) => void
  #controller: Dispatcher.DispatchController | null = null
  #isCancelled = false
  #status = 0
  #headers: AnswerHeaders = {}
  #chunks: Buffer[] = []
  #receivedBytes = 0
  #stream: PassThrough | null = null

  /**
   * @param attempt - id of the attempt, which the endpoint must echo
   * @param mayStart - called just before the request is sent; returns whether it may be
   * @param settle - receives the result; only its first call counts
   */
  constructor (attempt: string, mayStart: () => boolean, settle: (result: AttemptResult) => void) {
    this.#attempt = attempt
    this.#mayStart = mayStart
    this.#settle = settle
  }

  /**
   * Ends the attempt at its timeout. A request that was not sent never will be; the connection of a sent one is closed.
   */
  onTimeout (): void {
    this.#isCancelled = true
    if (this.#controller === null) {
      this.#settle({ kind: 'notSent', message: 'no connection became available before the timeout' })
      return
    }
    this.#settle({ kind: 'unknown', message: 'no complete answer arrived before the timeout', isTimeout: true })
    this.#controller.abort(new Error('timeout'))
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    // Aborting here, before the headers are written, prevents a cancelled attempt from being sent.
    if (this.#isCancelled || !this.#mayStart()) controller.abort(new Error('cancelled'))
    else this.#controller = controller
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: AnswerHeaders): void {
    if (status < 200) return
    this.#status = status
    this.#headers = headers
    if (headers[ATTEMPT_HEADER] !== this.#attempt) this.#rejectAnswer(controller, 'the answer belongs to another request')
    else if (!hasExplicitFraming(status, headers)) this.#rejectAnswer(controller, 'the answer has neither a content length nor a transfer encoding')
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#isCancelled) return
    this.#receivedBytes += chunk.length
    if (this.#stream !== null) {
      this.#writeChunk(controller, this.#stream, chunk)
      return
    }
    this.#chunks.push(chunk)
    if (this.#receivedBytes > MAX_BUFFERED_ANSWER_BYTES) this.#startStream(controller)
  }

  onResponseEnd (): void {
    if (this.#isCancelled) return
    if (this.#stream !== null) {
      this.#stream.end()
      return
    }
    const reason = this.#headers[REFUSED_HEADER]
    if (this.#status === 503 && typeof reason === 'string') this.#settle({ kind: 'refused', reason })
    else this.#settle({ kind: 'answer', status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks, this.#receivedBytes) })
  }

  onResponseError (_controller: Dispatcher.DispatchController | undefined, err: Error): void {
    this.#stream?.destroy(err)
    const wasSent = this.#controller !== null
    this.#settle(wasSent ? { kind: 'unknown', message: err.message, isTimeout: false } : { kind: 'notSent', message: err.message })
  }

  /** Discards an invalid answer and closes its connection; the outcome is unknown. */
  #rejectAnswer (controller: Dispatcher.DispatchController, message: string): void {
    this.#isCancelled = true
    this.#settle({ kind: 'unknown', message, isTimeout: false })
    controller.abort(new Error(message))
  }

  /** Settles the result with a stream, which gets the chunks received so far and all later ones. */
  #startStream (controller: Dispatcher.DispatchController): void {
    const stream = new PassThrough()
    this.#stream = stream
    stream.on('error', () => {})
    stream.on('drain', () => { controller.resume() })
    stream.on('close', () => { if (!stream.writableFinished) controller.abort(new Error('the answer stream was closed before its end')) })
    for (const chunk of this.#chunks) this.#writeChunk(controller, stream, chunk)
    this.#chunks = []
    this.#settle({ kind: 'answer', status: this.#status, headers: this.#headers, body: stream })
  }

  #writeChunk (controller: Dispatcher.DispatchController, stream: PassThrough, chunk: Buffer): void {
    if (!stream.write(chunk)) controller.pause()
  }
}

/**
 * Returns whether the end of an answer is marked. An answer that ends with its connection can't be distinguished from a
 * truncated one.
 */
function hasExplicitFraming (status: number, headers: AnswerHeaders): boolean {
  return status === 204 || status === 304 || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}
