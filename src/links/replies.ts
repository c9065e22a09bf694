/** Replies of control to entries and operators. */
import { NotLeaderError, UncertainCommitError } from '../consensus/errors.js'

/**
 * Why control did not carry out a call. `notLeader` asks the caller to try again, also when it is unknown whether a change was
 * committed; `refused` stands for errors that a retry does not change.
 */
export type ReplyError =
  | { readonly kind: 'notLeader', readonly leader: string | null, readonly message: string }
  | { readonly kind: 'refused', readonly message: string }

/** Value of a call, or its error. */
export type Reply<T> =
  | { readonly ok: true, readonly value: T }
  | { readonly ok: false, readonly error: ReplyError }

/** Thrown when a call is refused for a reason that a retry does not change. */
export class RefusedError extends Error {
  override readonly name = 'RefusedError'
}

/**
 * Runs a call and converts its result or error into a reply.
 *
 * @param handleCall - handles the call
 * @returns the value, or the error as data; never rejects
 */
export async function toReply<T> (handleCall: () => Promise<T>): Promise<Reply<T>> {
  try {
    return { ok: true, value: await handleCall() }
  } catch (err) {
    if (err instanceof NotLeaderError) return { ok: false, error: { kind: 'notLeader', leader: err.leader?.address ?? null, message: err.message } }
    if (err instanceof UncertainCommitError) return { ok: false, error: { kind: 'notLeader', leader: null, message: err.message } }
    return { ok: false, error: { kind: 'refused', message: (err as Error).message } }
  }
}
