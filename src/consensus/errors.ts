/** Errors of the replicated log. */
import type { Member } from './types.js'

/** Thrown when the member that receives a call is not the leader. */
export class NotLeaderError extends Error {
  override readonly name = 'NotLeaderError'

  /** @param leader - the leader that this member knows, or null */
  constructor (readonly leader: Member | null) {
    super(leader === null ? 'No leader is known at the moment.' : `The leader is ${leader.id} at ${leader.address}.`)
  }
}

/** Thrown when leadership ends before the outcome of a command is known: it may or may not be committed. */
export class UncertainCommitError extends Error {
  override readonly name = 'UncertainCommitError'
}

/** Thrown when a membership change is rejected; the message gives the reason. */
export class MembershipError extends Error {
  override readonly name = 'MembershipError'
}

/** Thrown when the data folder can't be used; the message gives the reason and the remedy. */
export class DataFolderError extends Error {
  override readonly name = 'DataFolderError'
}

/** Thrown when a message of another member can't be used; nothing has been changed. */
export class MalformedMessageError extends Error {
  override readonly name = 'MalformedMessageError'

  /** @param place - the message and its first field that is missing or has another type */
  constructor (place: string) {
    super(`Malformed message: ${place}.`)
  }
}
