/** Exchanges messages over one TCP connection. Messages of the same turn of the event loop are written together. */
import type { Socket } from 'node:net'
import { encodeFrame, FrameDecoder, FrameError, type AnswerMessage, type CallMessage } from '../frames/index.js'

/** The kernel probes an idle connection after this time, so that connections to lost machines are closed. */
const KEEP_ALIVE_PROBE_AFTER_MS = 10_000

/** A connection whose other side reads nothing is closed when this much waits to be written. */
const MAX_BUFFERED_BYTES = 64 * 1024 * 1024

/** Callbacks of a {@link MessageSocket}. */
export interface MessageSocketListener {
  /** Called with each received message, whose shape is not checked yet. Throwing a `FrameError` closes the connection. */
  readonly onMessage: (message: unknown) => void
  /** Called once when the connection is closed. The error is null when the other side closed it. */
  readonly onClose: (err: Error | null) => void
}

/** One connection that carries messages in both directions. */
export class MessageSocket {
  readonly #socket: Socket
  #outgoing: Array<CallMessage | AnswerMessage> = []
  #isClosed = false

  /**
   * @param socket - the connection, which may still be connecting
   * @param listener - callbacks
   */
  constructor (socket: Socket, { onMessage, onClose }: MessageSocketListener) {
    this.#socket = socket
    socket.setNoDelay(true)
    socket.setKeepAlive(true, KEEP_ALIVE_PROBE_AFTER_MS)
    const decoder = new FrameDecoder()
    let closeError: Error | null = null
    socket.on('data', (chunk: Buffer) => {
      try {
        for (const message of decoder.push(chunk)) onMessage(message)
      } catch (err) {
        if (!(err instanceof FrameError)) throw err
        socket.destroy(err)
      }
    })
    socket.on('error', (err) => { closeError = err })
    socket.on('end', () => { socket.destroy() })
    socket.on('close', () => {
      this.#isClosed = true
      this.#outgoing = []
      onClose(closeError)
    })
  }

  /**
   * Sends a message at the end of the current turn of the event loop. It is dropped when the connection is closed.
   *
   * @param message - message that MessagePack can encode
   */
  send (message: CallMessage | AnswerMessage): void {
    if (this.#isClosed) return
    this.#outgoing.push(message)
    if (this.#outgoing.length === 1) setImmediate(() => { this.#flush() })
  }

  /** Closes the connection. Messages that are not written yet are dropped. */
  close (): void {
    this.#socket.destroy()
  }

  #flush (): void {
    const messages = this.#outgoing
    this.#outgoing = []
    if (this.#isClosed || messages.length === 0) return
    try {
      this.#socket.write(encodeFrame(messages))
    } catch (err) {
      this.#socket.destroy(err instanceof FrameError ? err : new FrameError(`a message can't be encoded: ${(err as Error).message}`))
      return
    }
    if (this.#socket.writableLength > MAX_BUFFERED_BYTES) this.#socket.destroy(new FrameError('the other side does not read'))
  }
}
