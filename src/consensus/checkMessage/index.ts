/**
 * Checks messages of other members before they change anything: a term that is no number would compare with nothing
 * afterwards, and a member that stored it could neither vote nor follow.
 */
import { MalformedMessageError } from '../errors.js'
import type { AppendRequest, SnapshotChunk, VoteRequest } from '../types.js'

type FieldCheck = (value: unknown) => boolean

/** Whether a value is a term, an index or a number of bytes. */
const isCount: FieldCheck = (value) => Number.isSafeInteger(value) && (value as number) >= 0
const isText: FieldCheck = (value) => typeof value === 'string'
const isFlag: FieldCheck = (value) => typeof value === 'boolean'
const isMember: FieldCheck = (value) => isRecord(value) && isText(value['id']) && isText(value['instance']) && isText(value['address']) && isText(value['role'])
const isEntry: FieldCheck = (value) => isRecord(value) && isCount(value['index']) && isCount(value['term']) && isText(value['kind'])
const isListOf = (isElement: FieldCheck): FieldCheck => (value) => Array.isArray(value) && value.every(isElement)

const VOTE_FIELDS: Readonly<Record<keyof VoteRequest, FieldCheck>> = { term: isCount, candidate: isText, target: isText, lastIndex: isCount, lastTerm: isCount, pre: isFlag }
const APPEND_FIELDS: Readonly<Record<keyof AppendRequest, FieldCheck>> = { term: isCount, leader: isMember, target: isText, prevIndex: isCount, prevTerm: isCount, entries: isListOf(isEntry), commitIndex: isCount }
const SNAPSHOT_FIELDS: Readonly<Record<keyof SnapshotChunk, FieldCheck>> = { term: isCount, leader: isMember, target: isText, index: isCount, snapshotTerm: isCount, members: isListOf(isMember), offset: isCount, total: isCount, data: isText }

/**
 * Checks a vote request.
 *
 * @param req - the decoded message
 * @returns the same message
 * @throws MalformedMessageError when a field is missing or has another type
 */
export function checkVoteRequest (req: VoteRequest): VoteRequest {
  checkFields('vote', req, VOTE_FIELDS)
  return req
}

/**
 * Checks an append request. The commands of its entries are checked by whoever proposes them.
 *
 * @param req - the decoded message
 * @returns the same message
 * @throws MalformedMessageError when a field is missing or has another type
 */
export function checkAppendRequest (req: AppendRequest): AppendRequest {
  checkFields('append', req, APPEND_FIELDS)
  return req
}

/**
 * Checks a chunk of a snapshot.
 *
 * @param req - the decoded message
 * @returns the same message
 * @throws MalformedMessageError when a field is missing or has another type
 */
export function checkSnapshotChunk (req: SnapshotChunk): SnapshotChunk {
  checkFields('snapshot', req, SNAPSHOT_FIELDS)
  return req
}

/**
 * Checks the term in the answer of another member.
 *
 * @param term - the decoded term
 * @throws MalformedMessageError when it is no term
 */
export function checkTerm (term: number): void {
  if (!isCount(term)) throw new MalformedMessageError('answer: term')
}

function checkFields (name: string, message: unknown, checks: Readonly<Record<string, FieldCheck>>): void {
  if (!isRecord(message)) throw new MalformedMessageError(name)
  for (const field of Object.keys(checks)) {
    if (checks[field]?.(message[field]) !== true) throw new MalformedMessageError(`${name}: ${field}`)
  }
}

function isRecord (value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null
}
