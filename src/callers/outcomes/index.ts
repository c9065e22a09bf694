/** Outcomes of requests and the HTTP responses that report them. */
import type { Readable } from 'node:stream'
import type { Millis } from '../../clock/index.js'
import { ATTEMPTS_HEADER, OUTCOME_HEADER, REQUEST_ID_HEADER } from '../../contracts/headers/index.js'
import type { Outcome } from '../../contracts/types.js'
import type { AnswerHeaders } from '../../endpoints/link/index.js'

/** Why a request was not run, or why it is unknown whether it was. */
export type FailureReason =
  | 'badRequest' | 'unknownService' | 'staleView' | 'noEndpoint' | 'queueFull' | 'deadline' | 'stopping'
  | 'refused' | 'notSent' | 'claimFailed' | 'keyExpired' | 'keyUsed' | 'attemptFailed' | 'inProgress'

/** Result of a request. */
export type RequestResult =
  | { readonly outcome: 'answered', readonly status: number, readonly headers: AnswerHeaders, readonly body: Buffer | Readable }
  | { readonly outcome: 'notRun' | 'unknown', readonly reason: FailureReason, readonly message: string, readonly retryAfterMs?: Millis }

/** HTTP response to the caller. */
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

/** Headers that apply to one connection and must not be forwarded. */
const HOP_BY_HOP_HEADERS: ReadonlySet<string> = new Set(['connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer', 'transfer-encoding', 'upgrade', 'content-length', 'host', 'expect'])

/**
 * Returns headers without those that apply to one connection only.
 *
 * @param headers - headers with lower-case names
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
 * Creates the response that reports a result.
 *
 * @param result - result of the request
 * @param requestId - id of the request
 * @param attempts - number of attempts made
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
