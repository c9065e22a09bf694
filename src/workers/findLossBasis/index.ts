/**
 * Decides when a run that was placed on a worker can no longer be running, so that its task may start elsewhere.
 *
 * Handles workers that restart under the same id: a start that the earlier incarnation never answered may have reached
 * the next incarnation, whose clock and lease are independent of the earlier ones, and which takes a while to stop the run.
 */
import type { Millis } from '../../clock/index.js'
import type { RunOrder } from '../runOrder/index.js'

/**
 * What the leader knows about the start of a run. `confirmed`: the incarnation that it was placed on has carried it out; `notListedNext`: the next
 * one doesn't run it and never will; `open`: neither is known. A confirmed stop is not enough: it doesn't tell which incarnation has confirmed it, and
 * the run may go on for the stop grace.
 */
export type StartStatus = 'confirmed' | 'notListedNext' | 'open'

/**
 * Returns what the incarnation that a run was placed on has told about it.
 *
 * @param order - the leader's record of the run on that worker, if any
 * @param hasBegun - whether the state has it that the run has begun there, which an earlier leader may have recorded
 */
export function startStatusOf (order: RunOrder | undefined, hasBegun: boolean): StartStatus {
  return hasBegun || order?.isConfirmed === true ? 'confirmed' : 'open'
}

/**
 * Why a run can no longer be running. `leaseExpired`: its worker has not answered until its lease expired; `workerGone`: the incarnation is gone
 * and its id has not returned; `confirmed`: the incarnation had confirmed the run, which ended with it; `notListedNext`: the next incarnation doesn't
 * list it; `nextLeaseExpired`: the next one has not answered until its lease expired; `waited`: the longest lease has expired that the last call
 * which may start the run can grant to a next incarnation, and none has answered.
 */
export type LossBasis = 'leaseExpired' | 'workerGone' | 'confirmed' | 'notListedNext' | 'nextLeaseExpired' | 'waited'

/** What is known about the next incarnation of a worker. */
export interface NextIncarnation {
  /** Whether it has listed its runs, so that it refuses calls to earlier incarnations. */
  readonly hasListedRuns: boolean
  /** Whether its lease has expired without an answer. */
  readonly isLeaseExpired: boolean
}

/** What is known about the incarnation that a run was placed on. */
export interface PlacedIncarnation {
  /** Whether no run that the incarnation acknowledged can still be running: its lease has expired, or it is gone. */
  readonly isLeaseExpired: boolean
  /** Whether no next incarnation that nobody has heard of can still run a start that was sent to this one. */
  readonly isUnknownNextExpired: boolean
  /** Whether it is known to be gone; if not, its lease has expired without an answer. */
  readonly isGone: boolean
  /** Whether its worker has restarted under the same id. */
  readonly isReincarnated: boolean
  /** Time since it became known to be gone; meaningless while `isGone` is false. */
  readonly goneForMs: Millis
  /** The next incarnation; null while none is known or none is left. */
  readonly next: NextIncarnation | null
  /** Longest time for which a next incarnation that has never answered may run the start, from when this one became known to be gone. */
  readonly maxWaitMs: Millis
}

/**
 * Finds the reason for which a run can no longer be running.
 *
 * @param incarnation - state of the incarnation that the run was placed on
 * @param start - what is known about the start; an answer to it alone doesn't tell which incarnation gave it
 * @returns null while it may be running
 */
export function findLossBasis ({ isLeaseExpired, isUnknownNextExpired, isGone, isReincarnated, goneForMs, next, maxWaitMs }: PlacedIncarnation, start: StartStatus): LossBasis | null {
  if (!isLeaseExpired) return null
  if (!isGone) return start === 'confirmed' || isUnknownNextExpired ? 'leaseExpired' : null
  if (!isReincarnated) return 'workerGone'
  if (start !== 'open') return start
  if (next?.hasListedRuns === true) return next.isLeaseExpired ? 'nextLeaseExpired' : null
  return goneForMs > maxWaitMs ? 'waited' : null
}
