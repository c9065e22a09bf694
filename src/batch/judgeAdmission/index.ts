/**
 * Decides whether a submitted job is accepted or refused at once.
 *
 * Handles demand that the machines can't serve in time: each job that is accepted beyond that makes others late, and late
 * completions have a small share of their value. A caller that is refused at once may come back, or do without.
 */
import type { Millis } from '../../clock/index.js'

/** What the decision depends on. */
export interface AdmissionInputs {
  /** Whether more work arrives than all machines together can do. Otherwise a queue is over soon by itself. */
  readonly isOverloaded: boolean
  /** Time that a job may wait in all and still meet its objective; negative when it is late however soon it starts. */
  readonly slackMs: Millis
  /** Expected wait behind all waiting work that can be on time. */
  readonly waitMs: Millis
  /** Expected wait behind the workspace's own waiting work, on its share of the machines. */
  readonly ownWaitMs: Millis
  /** Mean time that the waiting jobs may wait in all; infinity when none waits. */
  readonly usualSlackMs: Millis
  /** Whether the workspace submits no more jobs a second than it may count on. */
  readonly isWithinRate: boolean
  /** Number of jobs whose acceptance the leader has proposed and not yet committed. */
  readonly pendingCount: number
}

/** Why a job is refused. `backlog`: it would be late; `rate`: its workspace is beyond its rate while others wait; `leader`: too many are being accepted. */
export type RefusalReason = 'backlog' | 'rate' | 'leader'

/** A workspace beyond its rate may use this share of the time that jobs may wait: the rest is for those within theirs. */
const BEYOND_RATE_SHARE = 0.5

/**
 * Jobs that the leader accepts at the same time. It commits some 700 a second, so that the last one waits half a second, a
 * part of the least time that callers give (3 s) which leaves two more attempts.
 */
const MAX_PENDING = 350

/**
 * Decides whether a job is accepted.
 *
 * @param inputs - what the decision depends on
 * @returns why the job is refused, or null when it is accepted
 */
export function judgeAdmission ({ isOverloaded, slackMs, waitMs, ownWaitMs, usualSlackMs, isWithinRate, pendingCount }: AdmissionInputs): RefusalReason | null {
  const share = isWithinRate ? 1 : BEYOND_RATE_SHARE
  if (pendingCount >= MAX_PENDING * share) return 'leader'
  if (!isOverloaded) return null
  // A job that is late anyway is accepted only while nothing else waits. Large jobs may wait longer than others, but not for a longer queue.
  const bearableMs = Math.max(0, Math.min(slackMs, usualSlackMs)) * share
  if (isWithinRate) return Math.min(waitMs, ownWaitMs) > bearableMs ? 'backlog' : null
  return waitMs > bearableMs ? 'rate' : null
}
