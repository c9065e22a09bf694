/**
 * Decides how long an entry looks for a leader before it sends a caller away.
 *
 * Answers the loss of the leader: a change of leader takes about a second, and callers that are told soon when to come
 * back lose less than callers that are held until they give up.
 */
import type { Millis } from '../../clock/index.js'

/** Right after the leader's last answer it is worth to look for a new one for this long. */
const LEADER_CHANGE_HOLD_MS: Millis = 550

/** Once no leader has answered for longer than a change of leader takes, one more round is enough. */
const NO_LEADER_HOLD_MS: Millis = 150
const LEADER_LOST_AFTER_MS: Millis = 2000

/**
 * A request of which a copy may be carried out can't be refused: it is asked for until a new leader knows. Loss, election and
 * the first confirmed heartbeat take 1.2 s, as a rule.
 */
const UNKNOWN_OUTCOME_HOLD_MS: Millis = 1700

/** How long a request may be held. */
export interface HoldLimits {
  /** While no copy of it can be carried out. */
  readonly rejectableMs: Millis
  /** Once a copy may have been carried out. */
  readonly outcomeUnknownMs: Millis
}

/**
 * Returns how long a request may be held.
 *
 * @param sinceLastAnswerMs - time since the last answer of a leader
 * @param remainingMs - time that the caller has left
 */
export function computeHoldLimits (sinceLastAnswerMs: Millis, remainingMs: Millis): HoldLimits {
  const rejectableMs = Math.min(remainingMs, sinceLastAnswerMs > LEADER_LOST_AFTER_MS ? NO_LEADER_HOLD_MS : LEADER_CHANGE_HOLD_MS)
  return { rejectableMs, outcomeUnknownMs: Math.max(rejectableMs, Math.min(remainingMs, UNKNOWN_OUTCOME_HOLD_MS)) }
}

/** A change of leader is over by then, as a rule. */
const LEADER_CHANGE_RETRY_SECONDS = 1

/** After a longer silence most control machines are down, and their restart takes some seconds. */
const OUTAGE_RETRY_SECONDS = 2

const LEADER_CHANGE_MS: Millis = 1200

/**
 * Returns when a caller that is sent away should come back.
 *
 * @param sinceLastAnswerMs - time since the last answer of a leader
 * @returns in seconds
 */
export function computeRetryAfterSeconds (sinceLastAnswerMs: Millis): number {
  return sinceLastAnswerMs > LEADER_CHANGE_MS ? OUTAGE_RETRY_SECONDS : LEADER_CHANGE_RETRY_SECONDS
}
