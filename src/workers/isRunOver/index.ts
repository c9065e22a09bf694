/**
 * Decides when a run that was placed on a worker can't be at work any more, so that its task may start elsewhere.
 *
 * Answers workers that start again under the id that they had: a start that the earlier life never answered may have
 * been carried out by the next one, whose clock and lease begin anew.
 */
import type { Millis } from '../../clock/index.js'
import type { RunOrder } from '../runOrder/index.js'

/** A next life that can't be reached holds what it was wrongly given no longer than the platform's longest lease. */
const MAX_REVOCATION_WAIT_MS: Millis = 12_000

/** `listed`: this life has listed the run; `barred`: it or the next life never starts it. */
export type StartStatus = 'listed' | 'barred' | 'open'

/**
 * Tells what is known of the start of a run.
 *
 * @param order - what the leader knows of the task there
 * @param run - the run
 */
export function startStatusOf (order: RunOrder | undefined, run: number): StartStatus {
  if (order === undefined || order.run !== run) return 'open'
  if (order.phase === 'barred') return 'barred'
  return order.percent >= 0 ? 'listed' : 'open'
}

/** What is known of the life that a run was placed on. */
export interface PlacedIncarnation {
  /** Nothing that it has acknowledged can be at work any more. */
  readonly isLeaseExpired: boolean
  /** It is known to be gone; otherwise its lease has been waited out. */
  readonly isGone: boolean
  /** Its worker has started again under the same id. */
  readonly isReincarnated: boolean
  /** How long it has been known to be gone. */
  readonly goneForMs: Millis
}

/**
 * Tells whether a run can't be at work any more.
 *
 * @param life - the life that it was placed on
 * @param start - what is known of its start; an answer alone doesn't tell which life has given it
 */
export function isRunOver ({ isLeaseExpired, isGone, isReincarnated, goneForMs }: PlacedIncarnation, start: StartStatus): boolean {
  if (!isLeaseExpired) return false
  if (!isGone || !isReincarnated) return true
  return start !== 'open' || goneForMs > MAX_REVOCATION_WAIT_MS
}
