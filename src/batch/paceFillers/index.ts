/**
 * Decides how much spare processor time the filler tasks of a worker may use.
 *
 * Handles serving tasks whose response times suffer from fillers on the same worker: fillers are slowed down at once when
 * the tail of the response times gets close to its target, and sped up again in small steps.
 */

/** Fillers are slowed down above the higher share of a target and sped up below the lower one. */
const HIGH_WATER_SHARE = 0.85
const LOW_WATER_SHARE = 0.6

const SLOW_DOWN_FACTOR = 0.4
const SPEED_UP_STEP = 15
const FULL_PACE = 100

/** Fillers are halted below this pace. */
const MIN_PACE = 8

/**
 * Returns the next pace of the fillers on a worker.
 *
 * @param pace - current pace, 0 (halted) to 100
 * @param tailShare - worst tail of the response times of a serving task there, as a share of its target; null when none is reported
 */
export function paceFillers (pace: number, tailShare: number | null): number {
  if (tailShare === null || tailShare < LOW_WATER_SHARE) return Math.min(FULL_PACE, pace + SPEED_UP_STEP)
  if (tailShare <= HIGH_WATER_SHARE) return pace
  const reducedPace = tailShare > 1 ? 0 : Math.floor(pace * SLOW_DOWN_FACTOR)
  return reducedPace < MIN_PACE ? 0 : reducedPace
}
