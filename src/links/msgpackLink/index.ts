/**
 * Calls other processes of the group. All calls to a process share one connection, and each has its own timeout.
 *
 * A connection may go silent without being closed. When a call times out and the other side has sent nothing since, further calls
 * wait until that connection or a new one has brought a message: a busy process answers late on the connection that it has,
 * and a silent connection is replaced without further calls being lost on it.
 */
import { connect, type Socket } from 'node:net'
import type { Millis } from '../../clock/index.js'
import { splitAddress } from '../../settings/parsers.js'
import { FrameError, type AnswerMessage } from '../frames/index.js'
import { MessageSocket } from '../messageSocket/index.js'
import { CallTimeoutError } from '../callTimeoutError/index.js'

const CONNECT_TIMEOUT_MS: Millis = 600

/** A new connection in place of a silent one is given up when it has brought no answer either. */
const CANDIDATE_TIMEOUT_MS: Millis = 1500

/** A replaced connection is kept for late answers to the calls that it carried. */
const LATE_ANSWER_MS: Millis = 2000

/** Name of a call without effect that every process answers. */
export const PING = 'ping'

/** Thrown when the called process answers that the call failed there. */
export class RemoteError extends Error {
  override readonly name = 'RemoteError'
}

/** Thrown when no connection could be opened, so that the call was certainly not carried out. */
export class NotConnectedError extends Error {
  override readonly name = 'NotConnectedError'
}

/** Thrown when the connection was lost after the call was sent, so that its outcome is unknown. */
export class ConnectionLostError extends Error {
  override readonly name = 'ConnectionLostError'
}

/**
 * Returns whether an error of a call guarantees that nothing of it was sent.
 *
 * @param err - what the call has thrown
 */
export function isCertainlyNotSent (err: unknown): boolean {
  return err instanceof NotConnectedError || (err instanceof CallTimeoutError && !err.wasSent)
}

interface PendingCall {
  readonly name: string
  readonly input: unknown
  readonly resolve: (result: unknown) => void
  readonly reject: (err: Error) => void
  /** Connection that the call was sent on, or null while it waits for one. */
  connection: LinkConnection | null
  /** Messages that the connection had received when the call was sent. */
  receivedBefore: number
}

/** One connection of a link with the calls that were sent on it. */
class LinkConnection {
  readonly calls = new Map<number, PendingCall>()
  receivedCount = 0
  isConnected = false
  readonly #messages: MessageSocket

  constructor (socket: Socket, onMessage: (message: unknown) => void, onClose: (err: Error | null) => void) {
    this.#messages = new MessageSocket(socket, {
      onMessage: (message) => {
        this.receivedCount += 1
        onMessage(message)
      },
      onClose
    })
    const timeout = setTimeout(() => { socket.destroy(new Error('the connection was not opened within its timeout')) }, CONNECT_TIMEOUT_MS)
    socket.once('connect', () => { clearTimeout(timeout) })
    socket.once('close', () => { clearTimeout(timeout) })
  }

  send (id: number, name: string, input: unknown): void {
    this.#messages.send([id, name, input])
  }

  close (): void {
    this.#messages.close()
  }
}

/** Owns the connection to one process. */
export class MsgpackLink {
  readonly #address: string
  #nextId = 1
  #isClosed = false
  /** Connection that carries the calls, or null. */
  #current: LinkConnection | null = null
  /** Connection that is being opened, first or in place of a current connection that may have gone silent. */
  #candidate: LinkConnection | null = null
  readonly #waiting = new Set<PendingCall>()

  /** @param address - host and port */
  constructor (address: string) {
    this.#address = address
  }

  /**
   * Calls the process and waits for its answer.
   *
   * @param name - name of the call
   * @param input - any value that MessagePack can encode
   * @param timeoutMs - time for the whole call, in milliseconds
   * @returns the result from the called process
   * @throws RemoteError when the call failed there
   * @throws NotConnectedError when it was not sent; CallTimeoutError tells whether it was
   * @throws any other error when the outcome is unknown
   */
  call<T> (name: string, input: unknown, timeoutMs: Millis): Promise<T> {
    return new Promise<T>((resolve, reject) => {
      const call: PendingCall = {
        name,
        input,
        resolve: (result) => {
          clearTimeout(timeout)
          resolve(result as T)
        },
        reject: (err) => {
          clearTimeout(timeout)
          reject(err)
        },
        connection: null,
        receivedBefore: 0
      }
      const timeout = setTimeout(() => { this.#onTimeout(call) }, timeoutMs)
      this.#send(call)
    })
  }

  /** Closes the connection and rejects calls in flight. */
  close (): void {
    this.#isClosed = true
    this.#current?.close()
    this.#candidate?.close()
  }

  #send (call: PendingCall): void {
    const connection = this.#current
    if (connection === null || this.#candidate !== null) {
      this.#waiting.add(call)
      if (this.#candidate === null) this.#openCandidate()
      return
    }
    const id = this.#nextId++
    call.connection = connection
    call.receivedBefore = connection.receivedCount
    connection.calls.set(id, call)
    connection.send(id, call.name, call.input)
  }

  #onTimeout (call: PendingCall): void {
    const { connection } = call
    this.#waiting.delete(call)
    call.reject(new CallTimeoutError(connection !== null))
    const isSilent = connection !== null && connection.receivedCount === call.receivedBefore
    if (isSilent && connection === this.#current && this.#candidate === null) this.#openCandidate()
  }

  #openCandidate (): void {
    const candidate: LinkConnection = new LinkConnection(this.#connect(() => {
      candidate.isConnected = true
      if (this.#current === null) this.#useCandidate(candidate)
      else candidate.send(this.#nextId++, PING, null)
    }), (message) => { this.#onMessage(candidate, message) }, (err) => { this.#onClose(candidate, err) })
    this.#candidate = candidate
    setTimeout(() => { if (this.#candidate === candidate) candidate.close() }, CANDIDATE_TIMEOUT_MS).unref()
    // An answer on the current connection shows that the process was only slow.
    this.#current?.send(this.#nextId++, PING, null)
  }

  #connect (onConnect: () => void): Socket {
    return connect({ ...splitAddress(this.#address) }, onConnect)
  }

  #useCandidate (candidate: LinkConnection): void {
    this.#retireCurrent()
    this.#current = candidate
    this.#candidate = null
    this.#sendWaiting()
  }

  #retireCurrent (): void {
    const retired = this.#current
    this.#current = null
    if (retired !== null) setTimeout(() => { retired.close() }, LATE_ANSWER_MS).unref()
  }

  #sendWaiting (): void {
    const waiting = [...this.#waiting]
    this.#waiting.clear()
    for (const call of waiting) this.#send(call)
  }

  #onMessage (connection: LinkConnection, message: unknown): void {
    const [id, result, failure] = checkAnswer(message)
    const call = connection.calls.get(id)
    connection.calls.delete(id)
    // Calls that have timed out are no longer waited for.
    if (failure === undefined) call?.resolve(result)
    else call?.reject(new RemoteError(failure))
    if (this.#candidate === null) return
    if (connection === this.#candidate) this.#useCandidate(connection)
    else if (connection === this.#current) {
      const unused = this.#candidate
      this.#candidate = null
      unused.close()
      this.#sendWaiting()
    }
  }

  #onClose (connection: LinkConnection, err: Error | null): void {
    const reason = err?.message ?? 'the other side has closed the connection'
    for (const call of connection.calls.values()) call.reject(new ConnectionLostError(reason))
    connection.calls.clear()
    if (connection === this.#current) {
      this.#current = null
      if (this.#candidate?.isConnected === true) this.#useCandidate(this.#candidate)
    } else if (connection === this.#candidate) {
      this.#candidate = null
      // Neither connection has brought a message: the next call waits for a new one.
      this.#retireCurrent()
      this.#rejectWaiting(new NotConnectedError(reason))
    }
    if (this.#isClosed) this.#rejectWaiting(new NotConnectedError('the link is closed'))
  }

  #rejectWaiting (err: Error): void {
    for (const call of this.#waiting) call.reject(err)
    this.#waiting.clear()
  }
}

/** Holds one link for each address, created at its first use. */
export class MsgpackLinks {
  readonly #links = new Map<string, MsgpackLink>()

  /**
   * Returns the link to an address.
   *
   * @param address - host and port
   */
  to (address: string): MsgpackLink {
    let link = this.#links.get(address)
    if (link === undefined) {
      link = new MsgpackLink(address)
      this.#links.set(address, link)
    }
    return link
  }

  /** Closes all links. */
  close (): void {
    for (const link of this.#links.values()) link.close()
  }
}

function checkAnswer (message: unknown): AnswerMessage {
  if (!Array.isArray(message) || message.length < 2 || message.length > 3 || !Number.isSafeInteger(message[0])) throw new FrameError('Malformed answer: expected a number and a result or a failure.')
  if (message.length === 3 && typeof message[2] !== 'string') throw new FrameError('Malformed answer: expected the reason of the failure as text.')
  return message as unknown as AnswerMessage
}
