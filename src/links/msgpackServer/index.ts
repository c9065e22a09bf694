/** Answers calls of other processes of the group; see {@link PackLink} for the other side. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Packr } from 'msgpackr/pack'
import { splitAddress } from '../../settings/parsers.js'

/** Largest body of a call, in bytes: a piece of a snapshot or a full batch of log entries stays below it. */
const MAX_BODY_BYTES = 32 * 1024 * 1024

/** Idle connections are closed after this time, in milliseconds; links retire theirs earlier. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000

/** Connections that may wait to be accepted: all entries turn to a new leader within milliseconds. */
const ACCEPT_BACKLOG = 1024

const BASE_PATH = '/group/'

const packr = new Packr({ useRecords: false, moreTypes: true })

/** Handlers by name of the call. */
export type MsgpackHandlers = Readonly<Record<string, ((input: never) => Promise<unknown> | unknown) | undefined>>

/** Listens on an address of the internal network. */
export class MsgpackServer {
  readonly #server: Server

  /** @param handlers - handlers by name */
  constructor (handlers: MsgpackHandlers) {
    this.#server = createServer({ keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS }, (req, res) => { void this.#answer(handlers, req, res) })
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
    this.#server.closeAllConnections()
  }

  async #answer (handlers: MsgpackHandlers, req: IncomingMessage, res: ServerResponse): Promise<void> {
    try {
      const name = (req.url ?? '').slice(BASE_PATH.length)
      const handler = Object.hasOwn(handlers, name) ? handlers[name] : undefined
      if (handler === undefined) {
        send(res, 404, Buffer.from(`There is no call "${name}".`))
        return
      }
      const input = packr.unpack(await readBody(req)) as never
      send(res, 200, packr.pack(await handler(input)))
    } catch (err) {
      send(res, 500, Buffer.from((err as Error).message))
    }
  }
}

async function readBody (req: IncomingMessage): Promise<Buffer> {
  const chunks: Buffer[] = []
  let bytes = 0
  for await (const chunk of req as AsyncIterable<Buffer>) {
    bytes += chunk.length
    if (bytes > MAX_BODY_BYTES) throw new Error(`The body is larger than ${MAX_BODY_BYTES} bytes.`)
    chunks.push(chunk)
  }
  return chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks)
}

function send (res: ServerResponse, status: number, body: Buffer): void {
  if (res.destroyed || res.headersSent) return
  res.writeHead(status, { 'content-length': body.length })
  res.end(body)
}
