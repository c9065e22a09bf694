/**
 * Decides how long an entry holds a request while it looks for a leader, before it rejects the request.
 *
 * Handles the loss of the leader: a change of leader takes about a second. Callers that are rejected early with a time
 * to retry lose less time than callers whose request is held until they time out.
 */
import type { Millis } from '../../clock/index.js'

/** Maximum hold shortly after the leader's last answer, when a new leader may be found in time. */
const LEADER_CHANGE_HOLD_MS: Millis = 550

/**
 * Maximum hold once no leader has answered for longer than a change of leader takes: another few attempts are enough.
 */
const NO_LEADER_HOLD_MS: Millis = 150
const LEADER_LOST_AFTER_MS: Millis = 2000

/**
 * Maximum hold of a request of which a copy may have been executed. It can't be rejected as not run, so it is repeated
 * until a new leader knows the outcome. Detecting the loss, the election and the first confirmed heartbeat take 1.2 s in
 * most cases.
 */
const UNKNOWN_OUTCOME_HOLD_MS: Millis = 1700

/** Maximum times for which a request is held. */
export interface HoldLimits {
  /** While no copy of the request can have been executed. */
  readonly rejectableMs: Millis
  /** Once a copy of the request may have been executed. */
  readonly outcomeUnknownMs: Millis
}

/**
 * Computes how long a request may be held.
 *
 * @param sinceLastAnswerMs - time since the last answer of a leader
 * @param remainingMs - time until the caller's deadline
 */
export function computeHoldLimits (sinceLastAnswerMs: Millis, remainingMs: Millis): HoldLimits {
  const rejectableMs = Math.min(remainingMs, sinceLastAnswerMs > LEADER_LOST_AFTER_MS ? NO_LEADER_HOLD_MS : LEADER_CHANGE_HOLD_MS)
  return { rejectableMs, outcomeUnknownMs: Math.max(rejectableMs, Math.min(remainingMs, UNKNOWN_OUTCOME_HOLD_MS)) }
}

/** A change of leader is usually completed within this time. */
const LEADER_CHANGE_RETRY_SECONDS = 1

/**
 * Used when no leader has answered for longer: most control machines are probably down, and their restart takes
 * several seconds.
 */
const OUTAGE_RETRY_SECONDS = 2

const LEADER_CHANGE_MS: Millis = 1200

/**
 * Computes the time after which a rejected caller should retry.
 *
 * @param sinceLastAnswerMs - time since the last answer of a leader
 * @returns the time in seconds
 */
export function computeRetryAfterSeconds (sinceLastAnswerMs: Millis): number {
  return sinceLastAnswerMs > LEADER_CHANGE_MS ? OUTAGE_RETRY_SECONDS : LEADER_CHANGE_RETRY_SECONDS
}
