/** Clients that send more than they should and, unless told otherwise, read nothing; for tests. */
import { connect, type Socket } from 'node:net'
import { splitAddress } from '../../src/settings/parsers.js'

const CHUNK_BYTES = 64 * 1024

/** A connection that has taken no bytes for this time is blocked by the process, and has sent what it can. */
const BLOCKED_AFTER_MS = 3000

/** What each connection of a crowd sends. */
export interface CrowdSpec {
  readonly address: string
  readonly connections: number
  /** Sent once. */
  readonly head?: string
  /** Sent over and over after the head. */
  readonly repeated?: string
  /** Bytes that each connection sends after the head, unless it is closed or blocked before. */
  readonly bytes?: number
  /** Whether the connections read what they are sent, and so notice when they are closed. */
  readonly reads?: boolean
}

/** Open connections of such clients. */
export class Crowd {
  readonly #sockets: Socket[] = []
  readonly #spec: CrowdSpec
  readonly #repeatedChunk: Buffer

  /** @param spec - what each connection sends */
  constructor (spec: CrowdSpec) {
    this.#spec = spec
    const { repeated = '' } = spec
    this.#repeatedChunk = Buffer.from(repeated === '' ? '' : repeated.repeat(Math.ceil(CHUNK_BYTES / repeated.length)))
  }

  /** Opens all connections and sends until each has sent its bytes, was closed or is blocked. The connections stay open. */
  async send (): Promise<void> {
    await Promise.all(Array.from({ length: this.#spec.connections }, () => this.#open()))
    await this.sendMore(this.#spec.bytes ?? 0)
  }

  /**
   * Sends more on the connections that are still open.
   *
   * @param bytes - bytes that each connection sends, unless it is closed or blocked before
   */
  async sendMore (bytes: number): Promise<void> {
    await Promise.all(this.#sockets.map((socket) => this.#push(socket, bytes)))
  }

  /** Number of connections that the process has not closed. */
  get openCount (): number {
    return this.#sockets.filter(({ destroyed }) => !destroyed).length
  }

  /** Closes all connections. */
  close (): void {
    for (const socket of this.#sockets) socket.destroy()
  }

  #open (): Promise<void> {
    return new Promise((resolve) => {
      const socket = connect(splitAddress(this.#spec.address))
      // Otherwise nothing reads the socket, and the answers stay in the buffers of the kernel and of the process.
      if (this.#spec.reads === true) socket.resume()
      socket.on('error', () => { socket.destroy() })
      socket.once('close', () => { resolve() })
      socket.once('connect', () => {
        if (this.#spec.head !== undefined) socket.write(this.#spec.head)
        resolve()
      })
      this.#sockets.push(socket)
    })
  }

  async #push (socket: Socket, bytes: number): Promise<void> {
    for (let sent = 0; sent < bytes && !socket.destroyed; sent += this.#repeatedChunk.length) {
      if (!socket.write(this.#repeatedChunk) && !await waitForDrain(socket)) return
    }
  }
}

function waitForDrain (socket: Socket): Promise<boolean> {
  return new Promise((resolve) => {
    const settle = (canGoOn: boolean): void => {
      clearTimeout(timer)
      socket.off('drain', onDrain).off('close', onClose)
      resolve(canGoOn)
    }
    const onDrain = (): void => { settle(true) }
    const onClose = (): void => { settle(false) }
    const timer = setTimeout(onClose, BLOCKED_AFTER_MS)
    socket.once('drain', onDrain).once('close', onClose)
  })
}
