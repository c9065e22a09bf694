/**
 * Serves tRPC mutations directly from Node's HTTP server, in the library's wire format.
 *
 * The library's own adapter first converts each request into objects of the fetch API. Creating them took a
 * considerable share of a control process's processor time.
 */
import type { IncomingMessage, ServerResponse } from 'node:http'
import { TRPCError } from '@trpc/server'
import { RefusedError } from '../clientLimits/types.js'
import { getHTTPStatusCodeFromError } from '@trpc/server/http'

/** Procedures by name, bound to a caller's context. */
export type BoundProcedures = Readonly<Record<string, ((input: unknown) => Promise<unknown>) | undefined>>

/** Options of the handler. */
export interface RpcHandlerOptions {
  readonly basePath: string
  /** Reads a body; throws RefusedError when it is over a limit. */
  readonly readBody: (req: IncomingMessage) => Promise<Buffer>
  /** Names that may be called. Any other member of the bound object, such as `constructor`, is rejected. */
  readonly procedureNames: ReadonlySet<string>
  readonly bindProcedures: (req: IncomingMessage) => BoundProcedures
  /** Returns further headers of an answer; called when the answer is sent. */
  readonly listHeaders?: (req: IncomingMessage) => Readonly<Record<string, string>>
}

/** JSON-RPC code that stands for every error; `data.code` says which one it is. */
const INTERNAL_ERROR_CODE = -32_603

/**
 * Creates a handler of requests below a base path.
 *
 * @param options - procedures and limits
 * @returns the handler, which answers errors too and so never rejects
 */
export function createRpcHandler (options: RpcHandlerOptions): (req: IncomingMessage, res: ServerResponse) => Promise<void> {
  return async (req, res) => {
    try {
      const name = (req.url ?? '').slice(options.basePath.length).split('?')[0] ?? ''
      if (req.method !== 'POST' || !options.procedureNames.has(name)) throw new TRPCError({ code: 'NOT_FOUND', message: `Unknown procedure: ${req.method ?? ''} "${name}".` })
      const input = await parseJson(await options.readBody(req))
      const data = await options.bindProcedures(req)[name]?.(input)
      send(res, 200, { result: { data } }, options.listHeaders?.(req))
    } catch (err) {
      sendError(res, err)
    }
  }
}

function parseJson (body: Buffer): unknown {
  try {
    return JSON.parse(body.toString('utf8')) as unknown
  } catch (err) {
    throw new TRPCError({ code: 'BAD_REQUEST', message: `Invalid body: expected JSON: ${(err as Error).message}` })
  }
}

function sendError (res: ServerResponse, err: unknown): void {
  if (err instanceof RefusedError) {
    // The rest of the body isn't read.
    if (!res.headersSent) res.setHeader('connection', 'close')
    sendError(res, new TRPCError({ code: err.statusCode === 413 ? 'PAYLOAD_TOO_LARGE' : 'SERVICE_UNAVAILABLE', message: err.message }))
    return
  }
  const error = err instanceof TRPCError ? err : new TRPCError({ code: 'INTERNAL_SERVER_ERROR', message: (err as Error).message })
  const httpStatus = getHTTPStatusCodeFromError(error)
  send(res, httpStatus, { error: { message: error.message, code: INTERNAL_ERROR_CODE, data: { code: error.code, httpStatus } } })
}

function send (res: ServerResponse, status: number, body: unknown, headers: Readonly<Record<string, string>> = {}): void {
  if (res.destroyed || res.headersSent) return
  const text = JSON.stringify(body)
  res.writeHead(status, { ...headers, 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) })
  res.end(text)
}
