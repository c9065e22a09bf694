/** How a request ended, as the caller is told. */
import type { Readable } from 'node:stream'
import type { Millis } from '../../clock/index.js'
import { ATTEMPTS_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER } from '../../contracts/headers/index.js'
import type { Outcome } from '../../contracts/types.js'
import type { AnswerHeaders } from '../../endpoints/link/index.js'

/** Why a request was not run, or may have been. */
export type FailureReason =
  | 'badRequest' | 'unknownService' | 'staleView' | 'noEndpoint' | 'queueFull' | 'deadline' | 'stopping'
  | 'refused' | 'notSent' | 'claimFailed' | 'keyExpired' | 'keyUsed' | 'attemptFailed' | 'inProgress'

/** Result of a request. */
export type RequestResult =
  | { readonly outcome: 'answered', readonly status: number, readonly headers: AnswerHeaders, readonly body: Buffer | Readable }
  | { readonly outcome: 'notRun' | 'unknown', readonly reason: FailureReason, readonly message: string, readonly retryAfterMs?: Millis }

/** What is sent to the caller. */
export interface CallerResponse {
  readonly status: number
  readonly headers: Record<string, string | string[]>
  readonly body: Buffer | Readable | string
}

const STATUS_BY_REASON: Readonly<Record<FailureReason, number>> = {
  badRequest: 400,
  unknownService: 404,
  staleView: 503,
  noEndpoint: 503,
  queueFull: 503,
  deadline: 503,
  stopping: 503,
  refused: 503,
  notSent: 503,
  claimFailed: 503,
  keyExpired: 409,
  keyUsed: 409,
  attemptFailed: 502,
  inProgress: 504
}

/** Headers that belong to one connection and are not passed on. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'content-length', 'host', 'expect'])

/**
 * Drops the headers that belong to one connection.
 *
 * @param headers - headers in lower case
 */
export function omitHopByHopHeaders (headers: AnswerHeaders): Record<string, string | string[]> {
  const forwarded: Record<string, string | string[]> = {}
  for (const name in headers) {
    const value = headers[name]
    if (value !== undefined && !HOP_BY_HOP_HEADERS.has(name)) forwarded[name] = value
  }
  return forwarded
}

/**
 * Builds the response for a result.
 *
 * @param result - how the request ended
 * @param requestId - identity of the request
 * @param attempts - how many attempts were made
 */
export function toResponse (result: RequestResult, requestId: string, attempts: number): CallerResponse {
  const outcomeHeaders = createOutcomeHeaders(result.outcome, requestId, attempts)
  if (result.outcome === 'answered') {
    const headers = omitHopByHopHeaders(result.headers)
    return { status: result.status, headers: Object.assign(headers, outcomeHeaders), body: result.body }
  }
  const { outcome, reason, message, retryAfterMs } = result
  const headers: Record<string, string> = { ...outcomeHeaders, 'content-type': 'application/json' }
  if (retryAfterMs !== undefined) headers['retry-after'] = String(Math.max(1, Math.ceil(retryAfterMs / 1000)))
  return { status: STATUS_BY_REASON[reason], headers, body: `${JSON.stringify({ outcome, reason, message, requestId })}\n` }
}

function createOutcomeHeaders (outcome: Outcome, requestId: string, attempts: number): Record<string, string> {
  return { [OUTCOME_HEADER]: outcome, [REQUEST_ID_HEADER]: requestId, [ATTEMPTS_HEADER]: String(attempts) }
}
