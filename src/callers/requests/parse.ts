/** Parses and validates the headers of a caller's request. */
import type { IncomingHttpHeaders } from 'node:http'
import type { Millis } from '../../clock/index.js'
import type { Finding } from '../../contracts/findings/index.js'
import { CLASS_HEADER, DEADLINE_HEADER, KEY_CREATED_HEADER, KEY_HEADER, TEAM_HEADER } from '../../contracts/headers/index.js'
import { WORK_CLASSES, type WorkClass } from '../../contracts/types.js'

const DEFAULT_DEADLINE_MS = 10_000
const MAX_DEADLINE_MS = 600_000
const MAX_KEY_LENGTH = 200
const TEAM_PATTERN = /^[a-z0-9][a-z0-9.-]{0,62}$/
const KEY_PATTERN = /^[\x21-\x7e]+$/
const UUID_V7_PATTERN = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i

/** Values of the project's headers, with the findings about invalid ones. */
export interface ParsedHeaders {
  readonly team: string
  readonly class: WorkClass
  readonly deadlineMs: Millis
  readonly key: string | null
  readonly keyCreated: Millis | null
  readonly findings: readonly Finding[]
}

/**
 * Parses the project's headers of a request.
 *
 * @param headers - all headers of the request
 * @returns the values, with defaults for missing headers; they may only be used when there are no findings
 */
export function parseHeaders (headers: IncomingHttpHeaders): ParsedHeaders {
  const findings: Finding[] = []
  const addError = (source: string, message: string): void => { findings.push({ severity: 'error', source, message }) }
  const team = getHeader(headers, TEAM_HEADER) ?? 'default'
  if (!TEAM_PATTERN.test(team)) addError(TEAM_HEADER, 'expected lower-case letters, digits, dots and hyphens')
  const classText = getHeader(headers, CLASS_HEADER) ?? 'normal'
  const matchingClass = WORK_CLASSES.find((candidate) => candidate === classText)
  if (matchingClass === undefined) addError(CLASS_HEADER, `expected one of ${WORK_CLASSES.join(', ')}, got "${classText}"`)
  const deadlineMs = Number(getHeader(headers, DEADLINE_HEADER) ?? DEFAULT_DEADLINE_MS)
  if (!(deadlineMs >= 1 && deadlineMs <= MAX_DEADLINE_MS)) addError(DEADLINE_HEADER, `expected milliseconds from 1 to ${MAX_DEADLINE_MS}`)
  const key = getHeader(headers, KEY_HEADER) ?? null
  if (key !== null && (key.length > MAX_KEY_LENGTH || !KEY_PATTERN.test(key))) addError(KEY_HEADER, `expected at most ${MAX_KEY_LENGTH} printable ASCII characters without spaces`)
  const keyCreated = parseKeyCreated(getHeader(headers, KEY_CREATED_HEADER), key)
  if (keyCreated !== null && !Number.isFinite(keyCreated)) addError(KEY_CREATED_HEADER, 'expected milliseconds since the Unix epoch')
  return { team, class: matchingClass ?? 'normal', deadlineMs, key, keyCreated, findings }
}

function getHeader (headers: IncomingHttpHeaders, name: string): string | undefined {
  const value = headers[name]
  return Array.isArray(value) ? value[0] : value
}

/**
 * Returns when a key was created, from its header or else from the key itself if it is a version 7 UUID, which contains
 * a time stamp.
 *
 * @returns milliseconds since the Unix epoch, NaN when the header is invalid, or null when the time is not given
 */
function parseKeyCreated (header: string | undefined, key: string | null): Millis | null {
  if (header !== undefined) return /^\d{1,15}$/.test(header) ? Number(header) : Number.NaN
  if (key === null || !UUID_V7_PATTERN.test(key)) return null
  return Number.parseInt(key.replaceAll('-', '').slice(0, 12), 16)
}
