/** Types and defaults of the limits for clients. */
import type { IncomingMessage, ServerResponse } from 'node:http'
import type { Millis } from '../../clock/index.js'

/** Limits for the clients of one process. */
export interface ClientLimitSettings {
  /** Open connections at one address. */
  readonly maxConnections: number
  /** Requests that are being answered, over all connections. */
  readonly maxRequests: number
  /** Requests that were read while an earlier one of their connection was being answered, over all connections. */
  readonly maxRequestsAhead: number
  /** Bytes of one body. */
  readonly maxBodyBytes: number
  /** Bytes of bodies and unread answers that are held over all connections. */
  readonly maxHeldBytes: number
  /** Time within which the headers of a request must have come, also after a connection was opened. */
  readonly headersTimeoutMs: Millis
  /** Time within which a request must have come completely. At least `headersTimeoutMs`. */
  readonly requestTimeoutMs: Millis
  /** Time after which a connection without a request is closed. */
  readonly idleTimeoutMs: Millis
  /** Time after which a connection is closed whose client reads nothing of its answer. */
  readonly stalledTimeoutMs: Millis
}

const MIB = 1024 * 1024

/** Limits of entry processes: callers' bodies are small, and the heap is 156 MB. */
export const ENTRY_LIMITS: ClientLimitSettings = {
  maxConnections: 3000,
  maxRequests: 4000,
  maxRequestsAhead: 2000,
  maxBodyBytes: MIB,
  maxHeldBytes: 16 * MIB,
  headersTimeoutMs: 20_000,
  requestTimeoutMs: 30_000,
  idleTimeoutMs: 60_000,
  stalledTimeoutMs: 30_000
}

/** Limits of control processes, which take reports and configurations of up to 4 MiB, eight of them at once. */
export const CONTROL_LIMITS: ClientLimitSettings = { ...ENTRY_LIMITS, maxBodyBytes: 4 * MIB, maxHeldBytes: 32 * MIB }

/** Limits of the daemons with the product's own interface; their bodies' sizes and idle times differ. */
export const PRODUCT_LIMITS: ClientLimitSettings = { ...ENTRY_LIMITS, maxConnections: 4000, maxBodyBytes: 16 * MIB, maxHeldBytes: 16 * MIB }

/** Open connections at an address for health checks or metrics. */
export const MONITORING_MAX_CONNECTIONS = 200

/** Why a request was refused or a connection closed. */
export type RefusalReason = 'bodyTooLarge' | 'heldBytes' | 'requests' | 'requestsAhead' | 'connections' | 'timeout' | 'malformed'

/** Answers a request. A promise settles when nothing of the request is held any more. */
export type RequestListener = (req: IncomingMessage, res: ServerResponse) => void | Promise<void>

/** Thrown instead of a body that is over a limit. The request has not run. */
export class RefusedError extends Error {
  override readonly name = 'RefusedError'

  /**
   * @param reason - limit that was met
   * @param statusCode - HTTP status that says so
   */
  constructor (readonly reason: RefusalReason, readonly statusCode: 413 | 503) {
    super(statusCode === 413 ? 'body: larger than the limit' : 'too many requests or bytes are held; try again later')
  }
}
