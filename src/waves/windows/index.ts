/** Evaluates maintenance windows: weekly spans of time in UTC. */
import type { Millis } from '../../clock/index.js'
import type { MaintenanceWindow } from '../../contracts/rules/index.js'

const DAYS = ['sun', 'mon', 'tue', 'wed', 'thu', 'fri', 'sat'] as const
const MINUTES_PER_DAY = 24 * 60
const MINUTE_MS = 60_000
const DAY_MS = MINUTES_PER_DAY * MINUTE_MS

/**
 * Returns the length of a window.
 *
 * @param window - a window; one that ends before it begins runs past midnight
 * @returns minutes
 */
export function minutesOfWindow (window: MaintenanceWindow): number {
  const span = minuteOf(window.to) - minuteOf(window.from)
  return span < 0 ? span + MINUTES_PER_DAY : span
}

/**
 * Returns how long maintenance may still run from now on. If several windows are open, the longest time counts.
 *
 * @param windows - all windows; without any, maintenance may always run
 * @param wall - wall clock in milliseconds since the Unix epoch
 * @returns milliseconds, infinite without windows, 0 when none is open
 */
export function remainingOpenMs (windows: readonly MaintenanceWindow[], wall: Millis): Millis {
  if (windows.length === 0) return Number.POSITIVE_INFINITY
  return Math.max(...windows.map((window) => remainingOpenMsOf(window, wall)))
}

/**
 * Returns the total time for which windows are open in a span of days.
 *
 * @param windows - all windows; without any, maintenance may always run
 * @param days - length of the span, in days
 * @returns milliseconds
 */
export function totalOpenMs (windows: readonly MaintenanceWindow[], days: number): Millis {
  if (windows.length === 0) return days * DAY_MS
  const weekly = windows.reduce((sum, window) => sum + minutesOfWindow(window) * window.days.length, 0)
  return weekly * MINUTE_MS * days / 7
}

function remainingOpenMsOf (window: MaintenanceWindow, wall: Millis): Millis {
  const length = minutesOfWindow(window) * MINUTE_MS
  const midnight = Math.floor(wall / DAY_MS) * DAY_MS
  for (const day of [midnight, midnight - DAY_MS]) {
    const name = DAYS[new Date(day).getUTCDay()] ?? 'sun'
    const openedAt = day + minuteOf(window.from) * MINUTE_MS
    if (window.days.includes(name) && wall >= openedAt && wall < openedAt + length) return openedAt + length - wall
  }
  return 0
}

function minuteOf (time: string): number {
  const [hours = 0, minutes = 0] = time.split(':').map(Number)
  return hours * 60 + minutes
}
