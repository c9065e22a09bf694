/** One attempt at an endpoint, from its first byte to the end of its answer. */
import { PassThrough, type Readable } from 'node:stream'
import type { Dispatcher } from 'undici'
import { MAX_BUFFERED_ANSWER_BYTES } from '../../contracts/constants.js'
import { ATTEMPT_HEADER, REFUSED_HEADER } from '../../contracts/headers/index.js'

/** Headers of an answer, in lower case. */
export type AnswerHeaders = Readonly<Record<string, string | string[] | undefined>>

/** How an attempt ended. */
export type AttemptResult =
  /** A whole answer, or one too long to be gathered, as a stream that breaks when it is cut short. */
  | { readonly kind: 'answer', readonly status: number, readonly headers: AnswerHeaders, readonly body: Buffer | Readable }
  /** The endpoint refused the request before starting it. */
  | { readonly kind: 'refused', readonly reason: string }
  /** No byte of the request has left. */
  | { readonly kind: 'notSent', readonly message: string }
  /** The request may have run. */
  | { readonly kind: 'unknown', readonly message: string, readonly isTimeout: boolean }

/** Receives the events of one attempt and settles its result once. */
export class AttemptHandler implements Dispatcher.DispatchHandler {
  readonly #attempt: string
  readonly #mayStart: () => boolean
  readonly #settle: (result: AttemptResult) => void
  #controller: Dispatcher.DispatchController | null = null
  #isCancelled = false
  #status = 0
  #headers: AnswerHeaders = {}
  #chunks: Buffer[] = []
  #bytes = 0
  #stream: PassThrough | null = null

  /**
   * @param attempt - identity of the attempt, which the endpoint must echo
   * @param mayStart - asked at the last moment whether the request may be sent
   * @param settle - receives the result; only its first call counts
   */
  constructor (attempt: string, mayStart: () => boolean, settle: (result: AttemptResult) => void) {
    this.#attempt = attempt
    this.#mayStart = mayStart
    this.#settle = settle
  }

  /** Ends the attempt: what was not sent never will be, and the connection of what was sent is closed. */
  timeOut (): void {
    this.#isCancelled = true
    if (this.#controller === null) {
      this.#settle({ kind: 'notSent', message: 'no connection became free in time' })
      return
    }
    this.#settle({ kind: 'unknown', message: 'no answer came in time', isTimeout: true })
    this.#controller.abort(new Error('timeout'))
  }

  onRequestStart (controller: Dispatcher.DispatchController): void {
    // Aborting here, before the headers are written, keeps a cancelled attempt from being sent.
    if (this.#isCancelled || !this.#mayStart()) controller.abort(new Error('cancelled'))
    else this.#controller = controller
  }

  onResponseStart (controller: Dispatcher.DispatchController, status: number, headers: AnswerHeaders): void {
    if (status < 200) return
    this.#status = status
    this.#headers = headers
    if (headers[ATTEMPT_HEADER] !== this.#attempt) this.#reject(controller, 'the answer belongs to another request')
    else if (!hasDefiniteEnd(status, headers)) this.#reject(controller, 'the answer does not say where it ends')
  }

  onResponseData (controller: Dispatcher.DispatchController, chunk: Buffer): void {
    if (this.#isCancelled) return
    this.#bytes += chunk.length
    if (this.#stream !== null) {
      this.#push(controller, this.#stream, chunk)
      return
    }
    this.#chunks.push(chunk)
    if (this.#bytes > MAX_BUFFERED_ANSWER_BYTES) this.#startStream(controller)
  }

  onResponseEnd (): void {
    if (this.#isCancelled) return
    if (this.#stream !== null) {
      this.#stream.end()
      return
    }
    const reason = this.#headers[REFUSED_HEADER]
    if (this.#status === 503 && typeof reason === 'string') this.#settle({ kind: 'refused', reason })
    else this.#settle({ kind: 'answer', status: this.#status, headers: this.#headers, body: Buffer.concat(this.#chunks, this.#bytes) })
  }

  onResponseError (_controller: Dispatcher.DispatchController | undefined, err: Error): void {
    this.#stream?.destroy(err)
    const wasSent = this.#controller !== null
    this.#settle(wasSent ? { kind: 'unknown', message: err.message, isTimeout: false } : { kind: 'notSent', message: err.message })
  }

  #reject (controller: Dispatcher.DispatchController, message: string): void {
    this.#isCancelled = true
    this.#settle({ kind: 'unknown', message, isTimeout: false })
    controller.abort(new Error(message))
  }

  #startStream (controller: Dispatcher.DispatchController): void {
    const stream = new PassThrough()
    this.#stream = stream
    stream.on('error', () => {})
    stream.on('drain', () => { controller.resume() })
    stream.on('close', () => { if (!stream.writableFinished) controller.abort(new Error('the caller has gone')) })
    for (const chunk of this.#chunks) this.#push(controller, stream, chunk)
    this.#chunks = []
    this.#settle({ kind: 'answer', status: this.#status, headers: this.#headers, body: stream })
  }

  #push (controller: Dispatcher.DispatchController, stream: PassThrough, chunk: Buffer): void {
    if (!stream.write(chunk)) controller.pause()
  }
}

/** An answer that ends with its connection can't be told from one cut short. */
function hasDefiniteEnd (status: number, headers: AnswerHeaders): boolean {
  return status === 204 || status === 304 || headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined
}
