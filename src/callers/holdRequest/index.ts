/**
 * Decides how long an entry looks for a leader before it sends a caller away.
 *
 * Answers the loss of the leader: a change of leader takes about a second, and callers that are told soon when to come
 * back lose less than callers that are held until they give up.
 */
import type { Millis } from '../../clock/index.js'

/** Right after the leader's last answer it is worth to look for a new one for this long. */
const HOLD_MS: Millis = 550

/** Once no leader has answered for longer than a change of leader takes, one more round is enough. */
const SHORT_HOLD_MS: Millis = 150
const LOST_AFTER_MS: Millis = 2000

/**
 * A request of which a copy may be carried out can't be refused: it is asked for until a new leader knows. Loss, election and
 * the first confirmed heartbeat take 1.2 s, as a rule.
 */
const UNCLEAR_HOLD_MS: Millis = 1700

/** How long a request may be held. */
export interface HoldTimes {
  /** While no copy of it can be carried out. */
  readonly refusableMs: Millis
  /** Once a copy may have been carried out. */
  readonly unclearMs: Millis
}

/**
 * Returns how long a request may be held.
 *
 * @param silentMs - time since the last answer of a leader
 * @param leftMs - time that the caller has left
 */
export function holdTimes (silentMs: Millis, leftMs: Millis): HoldTimes {
  const refusableMs = Math.min(leftMs, silentMs > LOST_AFTER_MS ? SHORT_HOLD_MS : HOLD_MS)
  return { refusableMs, unclearMs: Math.max(refusableMs, Math.min(leftMs, UNCLEAR_HOLD_MS)) }
}

/** A change of leader is over by then, as a rule. */
const SOON_SECONDS = 1

/** After a longer silence most control machines are down, and their restart takes some seconds. */
const LATER_SECONDS = 2

const CHANGE_OF_LEADER_MS: Millis = 1200

/**
 * Returns when a caller that is sent away should come back.
 *
 * @param silentMs - time since the last answer of a leader
 * @returns in seconds
 */
export function retryAfterSeconds (silentMs: Millis): number {
  return silentMs > CHANGE_OF_LEADER_MS ? LATER_SECONDS : SOON_SECONDS
}
