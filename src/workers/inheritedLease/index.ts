/**
 * Computes the longest lease that a worker may hold before a session with it grants one.
 *
 * Handles workers that restart under their id: a late call to the earlier incarnation, whose clock showed a later time, may have granted the next
 * one the longest lease that workers allow.
 */
import type { Millis } from '../../clock/index.js'
import { countRestarts } from '../../batch/state/incarnations.js'
import type { BatchData } from '../../batch/state/records.js'
import { LEASE_MS, MAX_LATE_CALL_MS } from '../constants.js'

/** Allowance for the difference between the clocks of successive leaders. */
const WALL_CLOCK_MARGIN_MS: Millis = 1000

/**
 * Returns the longest lease that a worker may hold.
 *
 * @param data - replicated state
 * @param incarnation - id and start time of the worker
 * @param wall - wall-clock time in milliseconds
 * @param maxLeaseMs - longest lease that workers allow, in milliseconds
 */
export function computeInheritedLease (data: BatchData, incarnation: { readonly id: string, readonly born: number }, wall: Millis, maxLeaseMs: Millis): Millis {
  const latest = data.incarnations.get(incarnation.id)
  if (latest === undefined || countRestarts(data, incarnation) === 0) return LEASE_MS
  // A worker with a placement had been called with its own fencing token by then, and refuses late calls to the earlier incarnation since.
  const lastLateCallAt = latest.placedAt ?? latest.since + MAX_LATE_CALL_MS
  return Math.max(LEASE_MS, Math.min(maxLeaseMs, lastLateCallAt + maxLeaseMs + WALL_CLOCK_MARGIN_MS - wall))
}
