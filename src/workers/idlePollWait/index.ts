/**
 * Decides for how long an idle worker holds a long poll.
 *
 * Handles fleets whose polls alone would use up the control processes: a poll of a worker without runs renews no lease that
 * matters and brings no run end, so that on large fleets it comes less often. The price is that the loss of an idle worker is
 * noticed later.
 */
import type { Millis } from '../../clock/index.js'
import { MAX_IDLE_POLL_WAIT_MS, POLL_WAIT_MS } from '../constants.js'

/** Polls of idle workers for each process that makes calls: at 0.25 to 0.7 ms of processor time each, an eighth of a core. */
const IDLE_POLLS_PER_SECOND = 250

/**
 * Returns how long an idle worker may hold a long poll.
 *
 * @param workers - number of workers
 * @param callers - number of processes that make calls to workers, at least 1
 * @returns whole milliseconds
 */
export function computeIdlePollWait (workers: number, callers: number): Millis {
  const waitMs = workers / (Math.max(1, callers) * IDLE_POLLS_PER_SECOND) * 1000
  return Math.round(Math.min(MAX_IDLE_POLL_WAIT_MS, Math.max(POLL_WAIT_MS, waitMs)))
}
