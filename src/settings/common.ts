/** Settings that entry and control processes share. */
import type { Finding } from '../contracts/findings/index.js'
import { readToken, type TokenRole } from '../links/tokens/index.js'
import { oneOf, parsePath } from './parsers.js'

/** Specifications of the shared settings. */
export const COMMON_SETTINGS = {
  peerTokenFile: { flag: 'peer-token-file', value: 'path', help: 'file with the token of control and entry processes', parse: parsePath },
  operatorTokenFile: { flag: 'operator-token-file', value: 'path', help: 'file with the token of operators', parse: parsePath },
  endpointTokenFile: { flag: 'endpoint-token-file', value: 'path', help: 'file with the token of endpoints', parse: parsePath },
  logLevel: { flag: 'log-level', value: 'level', help: 'error, warn, info or debug', fallback: 'info', parse: oneOf('error', 'warn', 'info', 'debug') },
  logFormat: { flag: 'log-format', value: 'format', help: 'text or json', fallback: 'text', parse: oneOf('text', 'json') }
} as const

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
