/** Settings that entry and control processes share. */
import type { Finding } from '../contracts/findings/index.js'
import { PRODUCT_LIMITS, type ClientLimitSettings } from '../links/clientLimits/types.js'
import { readToken, type TokenRole } from '../links/tokens/index.js'
import type { SettingSpec } from './index.js'
import { integerBetween, oneOf, parsePath } from './parsers.js'

const MAX_COUNT = 1_000_000
const MAX_HELD_BYTES = 2 ** 40
const MAX_TIMEOUT_MS = 3_600_000

/** Specifications of the shared settings. */
export const COMMON_SETTINGS = {
  peerTokenFile: { flag: 'peer-token-file', value: 'path', help: 'file with the token of control and entry processes', parse: parsePath },
  operatorTokenFile: { flag: 'operator-token-file', value: 'path', help: 'file with the token of operators', parse: parsePath },
  endpointTokenFile: { flag: 'endpoint-token-file', value: 'path', help: 'file with the token of endpoints', parse: parsePath },
  logLevel: { flag: 'log-level', value: 'level', help: 'error, warn, info or debug', fallback: 'info', parse: oneOf('error', 'warn', 'info', 'debug') },
  logFormat: { flag: 'log-format', value: 'format', help: 'text or json', fallback: 'text', parse: oneOf('text', 'json') },
  maxConnections: { flag: 'max-connections', value: 'count', help: 'most connections that clients may have open', fallback: String(PRODUCT_LIMITS.maxConnections), parse: integerBetween(1, MAX_COUNT) },
  maxRequests: { flag: 'max-requests', value: 'count', help: 'most requests that are answered at once', fallback: String(PRODUCT_LIMITS.maxRequests), parse: integerBetween(1, MAX_COUNT) },
  maxRequestsAhead: { flag: 'max-requests-ahead', value: 'count', help: 'most requests that clients may send before they have the answers to earlier ones', fallback: String(PRODUCT_LIMITS.maxRequestsAhead), parse: integerBetween(1, MAX_COUNT) },
  headersTimeoutMs: { flag: 'headers-timeout-ms', value: 'ms', help: 'time within which the headers of a request must have come', fallback: String(PRODUCT_LIMITS.headersTimeoutMs), parse: integerBetween(1, MAX_TIMEOUT_MS) },
  requestTimeoutMs: { flag: 'request-timeout-ms', value: 'ms', help: 'time within which a request must have come completely', fallback: String(PRODUCT_LIMITS.requestTimeoutMs), parse: integerBetween(1, MAX_TIMEOUT_MS) },
  stalledTimeoutMs: { flag: 'stalled-timeout-ms', value: 'ms', help: 'time after which a client that reads nothing of its answer is disconnected', fallback: String(PRODUCT_LIMITS.stalledTimeoutMs), parse: integerBetween(1, MAX_TIMEOUT_MS) }
} as const

/**
 * Creates the specification of the limit for bytes that are held.
 *
 * @param fallback - default of the daemon
 */
export function createHeldBytesSetting (fallback: number): SettingSpec<number> & { readonly fallback: string } {
  return { flag: 'max-held-bytes', value: 'bytes', help: 'most bytes of bodies that are held at once', fallback: String(fallback), parse: integerBetween(PRODUCT_LIMITS.maxBodyBytes, MAX_HELD_BYTES) }
}

/** Settings for clients that both daemons have. */
export type ClientLimitFlags = Omit<ClientLimitSettings, 'maxBodyBytes' | 'idleTimeoutMs'>

/**
 * Checks settings that depend on each other.
 *
 * @param cfg - settings of a daemon
 * @param findings - receives a finding for each that is wrong
 */
export function checkClientLimits ({ headersTimeoutMs, requestTimeoutMs }: ClientLimitFlags, findings: Finding[]): void {
  if (headersTimeoutMs > requestTimeoutMs) findings.push({ severity: 'error', source: '--request-timeout-ms', message: 'expected at least the value of --headers-timeout-ms' })
}

/**
 * Returns the limits for clients.
 *
 * @param cfg - settings of a daemon
 */
export function readClientLimits ({ maxConnections, maxRequests, maxRequestsAhead, maxHeldBytes, headersTimeoutMs, requestTimeoutMs, stalledTimeoutMs }: ClientLimitFlags): ClientLimitFlags {
  return { maxConnections, maxRequests, maxRequestsAhead, maxHeldBytes, headersTimeoutMs, requestTimeoutMs, stalledTimeoutMs }
}

/** Paths of the token files that are configured. */
export interface TokenFiles {
  readonly peerTokenFile: string | undefined
  readonly operatorTokenFile: string | undefined
  readonly endpointTokenFile: string | undefined
}

/**
 * Reads the tokens that are configured.
 *
 * @param files - paths of the token files
 * @param findings - receives a finding for each file without a valid token
 * @returns the valid tokens by role
 */
export function readTokens (files: TokenFiles, findings: Finding[]): Partial<Record<TokenRole, string>> {
  const peer = readToken(files.peerTokenFile, '--peer-token-file', findings)
  const operator = readToken(files.operatorTokenFile, '--operator-token-file', findings)
  const endpoint = readToken(files.endpointTokenFile, '--endpoint-token-file', findings)
  return { ...(peer === undefined ? {} : { peer }), ...(operator === undefined ? {} : { operator }), ...(endpoint === undefined ? {} : { endpoint }) }
}
