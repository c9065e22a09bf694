/** Answers calls of other processes of the group. The client is {@link MsgpackLink}. */
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import { Packr } from 'msgpackr/pack'
import { splitAddress } from '../../settings/parsers.js'

/** A chunk of a snapshot or a full batch of log entries stays below this size. */
const MAX_BODY_BYTES = 32 * 1024 * 1024

/** Longer than the idle time of the links, so that the client closes an idle connection first. */
const KEEP_ALIVE_TIMEOUT_MS = 30_000

/** Large enough for all entries, which connect to a new leader within milliseconds. */
const ACCEPT_BACKLOG = 1024

const BASE_PATH = '/group/'

const packr = new Packr({ useRecords: false, moreTypes: true })

/** Handlers by name of the call. A handler receives the decoded input; its result or error goes back to the caller. */
export type MsgpackHandlers = Readonly<Record<string, ((input: never) => Promise<unknown> | unknown) | undefined>>

/** Serves calls on an address of the internal network. */
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
        send(res, 404, Buffer.from(`Unknown call: "${name}".`))
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
    if (bytes > MAX_BODY_BYTES) throw new Error(`Body too large: expected at most ${MAX_BODY_BYTES} bytes.`)
    chunks.push(chunk)
  }
  return chunks.length === 1 ? chunks[0] as Buffer : Buffer.concat(chunks)
}

function send (res: ServerResponse, status: number, body: Buffer): void {
  if (res.destroyed || res.headersSent) return
  res.writeHead(status, { 'content-length': body.length })
  res.end(body)
}
