/**
 * Decides how much of the room left over the filling tasks of a worker may use.
 *
 * Answers serving tasks whose response times suffer from the tasks that fill beside them: the fillers are slowed down
 * at once when a tail comes near its target, and let back slowly.
 */

/** Fillers slow down above this share of a target, and speed up below the lower one. */
const HIGH_WATER_SHARE = 0.85
const LOW_WATER_SHARE = 0.6

const SLOW_DOWN_FACTOR = 0.4
const SPEED_UP_STEP = 15
const FULL_PACE = 100

/** Below this pace fillers are halted. */
const MIN_PACE = 8

/**
 * Returns the next pace of the fillers on a worker.
 *
 * @param pace - pace now, 0 to 100
 * @param tailShare - the worst tail of a serving task there, as a share of its target; null when none is told
 */
export function paceFillers (pace: number, tailShare: number | null): number {
  if (tailShare === null || tailShare < LOW_WATER_SHARE) return Math.min(FULL_PACE, pace + SPEED_UP_STEP)
  if (tailShare <= HIGH_WATER_SHARE) return pace
  const reducedPace = tailShare > 1 ? 0 : Math.floor(pace * SLOW_DOWN_FACTOR)
  return reducedPace < MIN_PACE ? 0 : reducedPace
}
