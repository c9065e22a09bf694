/** Reads and checks the tokens of operators, endpoints and peers. */
import { createHash, timingSafeEqual } from 'node:crypto'
import { readFileSync } from 'node:fs'
import type { IncomingMessage } from 'node:http'
import type { Finding } from '../../contracts/findings/index.js'

/** Role that a token authorizes. */
export type TokenRole = 'operator' | 'endpoint' | 'peer'

const LOOPBACK_ADDRESS = /^(127\.|::1$|::ffff:127\.)/

/** Checks tokens in constant time. If a role has no token, only requests from loopback may act in it. */
export class TokenGuard {
  readonly #digests: ReadonlyMap<TokenRole, Buffer>

  /** @param tokens - tokens by role; roles without a token may be missing */
  constructor (tokens: Partial<Record<TokenRole, string>>) {
    const entries = Object.entries(tokens) as Array<[TokenRole, string | undefined]>
    this.#digests = new Map(entries.flatMap(([role, token]) => token === undefined ? [] : [[role, digest(token)] as const]))
  }

  /**
   * Returns whether a role has a token.
   *
   * @param role - role to look up
   */
  hasTokenFor (role: TokenRole): boolean {
    return this.#digests.has(role)
  }

  /**
   * Returns whether a request may act in a role.
   *
   * @param req - request with its token in the `authorization` header
   * @param role - role that the request claims
   */
  allows (req: Pick<IncomingMessage, 'headers' | 'socket'>, role: TokenRole): boolean {
    const expected = this.#digests.get(role)
    if (expected === undefined) return LOOPBACK_ADDRESS.test(req.socket.remoteAddress ?? '')
    const receivedToken = /^Bearer (.+)$/.exec(req.headers.authorization ?? '')?.[1]
    return receivedToken !== undefined && timingSafeEqual(digest(receivedToken), expected)
  }
}

/**
 * Reads a token from a file.
 *
 * @param path - path of a file that holds nothing but the token, or undefined when none is configured
 * @param flag - flag that names the file, for findings
 * @param findings - receives a finding when the file can't be read or its token is too short
 * @returns the token, or undefined when there is no valid one
 */
export function readToken (path: string | undefined, flag: string, findings: Finding[]): string | undefined {
  if (path === undefined) return undefined
  try {
    const token = readFileSync(path, 'utf8').trim()
    if (token.length >= 16) return token
    findings.push({ severity: 'error', source: flag, message: `${path} holds a token of ${token.length} characters; expected at least 16` })
  } catch (err) {
    findings.push({ severity: 'error', source: flag, message: `failed to read ${path}: ${(err as Error).message}` })
  }
  return undefined
}

function digest (token: string): Buffer {
  return createHash('sha256').update(token).digest()
}
