/** Answers calls of other processes of the group. The client is {@link MsgpackLink}. */
import { createServer, type Server, type Socket } from 'node:net'
import { splitAddress } from '../../settings/parsers.js'
import { FrameError, type CallMessage } from '../frames/index.js'
import { MessageSocket } from '../messageSocket/index.js'
import { PING } from '../msgpackLink/index.js'

/** Longer than the interval at which entries use the connections to all control processes. */
const IDLE_TIMEOUT_MS = 60_000

/** Large enough for all entries, which connect to a new leader within milliseconds. */
const ACCEPT_BACKLOG = 1024

/** Handlers by name of the call. A handler receives the decoded input; its result or error goes back to the caller. */
export type MsgpackHandlers = Readonly<Record<string, ((input: never) => Promise<unknown> | unknown) | undefined>>

/** Serves calls on an address of the internal network. */
export class MsgpackServer {
  readonly #server: Server
  readonly #handlers: MsgpackHandlers
  readonly #sockets = new Set<Socket>()
  readonly #onMalformed: (err: Error) => void

  /**
   * @param handlers - handlers by name
   * @param onMalformed - called when a connection is closed because its bytes can't be read as calls
   */
  constructor (handlers: MsgpackHandlers, onMalformed: (err: Error) => void = () => {}) {
    this.#handlers = handlers
    this.#onMalformed = onMalformed
    this.#server = createServer((socket) => { this.#serve(socket) })
  }

  /**
   * Starts listening.
   *
   * @param address - host and port
   */
  listen (address: string): Promise<void> {
    return new Promise((resolve, reject) => {
      this.#server.once('error', reject)
      this.#server.listen({ ...splitAddress(address), backlog: ACCEPT_BACKLOG }, resolve)
    })
  }

  /** Stops listening and closes all connections. */
  close (): void {
    this.#server.close()
    for (const socket of this.#sockets) socket.destroy()
  }

  #serve (socket: Socket): void {
    this.#sockets.add(socket)
    const messages = new MessageSocket(socket, {
      onMessage: (message) => {
        const call = checkCall(message)
        void this.#answer(call, messages)
      },
      onClose: (err) => {
        this.#sockets.delete(socket)
        if (err instanceof FrameError) this.#onMalformed(err)
      }
    })
    socket.setTimeout(IDLE_TIMEOUT_MS, () => { messages.close() })
  }

  async #answer ([id, name, input]: CallMessage, messages: MessageSocket): Promise<void> {
    try {
      if (name === PING) {
        messages.send([id, null])
        return
      }
      const handler = Object.hasOwn(this.#handlers, name) ? this.#handlers[name] : undefined
      if (handler === undefined) throw new Error(`Unknown call: "${name}".`)
      messages.send([id, await handler(input as never)])
    } catch (err) {
      messages.send([id, null, (err as Error).message])
    }
  }
}

function checkCall (message: unknown): CallMessage {
  if (!Array.isArray(message) || message.length !== 3 || !Number.isSafeInteger(message[0]) || typeof message[1] !== 'string') throw new FrameError('Malformed call: expected a number, a name and an input.')
  return message as unknown as CallMessage
}
