/**
 * Tells which incarnation of a worker gave an answer that doesn't name one. An incarnation's clock begins anew, so that of the next one is behind.
 */
import type { Millis } from '../../clock/index.js'
import { CLOCK_MARGIN_MS, SLOWEST_CLOCK_RATE } from '../constants.js'

/** A reading of an incarnation's clock in an answer that names it. */
export interface WorkerReading {
  readonly workerClockMs: Millis
  /** Clock reading of the leader when the answer arrived. */
  readonly observedAt: Millis
}

/** Which incarnation gave an answer; `unclear` when its reading fits several, or there is nothing to compare it with. */
export type AnswerSource = 'same' | 'other' | 'unclear'

/** When a call was sent and answered, on the leader's clock. */
export interface CallTimes {
  readonly sentAt: Millis
  readonly receivedAt: Millis
}

/**
 * Attributes an answer to the incarnation that was called or to another one.
 *
 * @param workerClockMs - reading in the answer; null when it has none
 * @param reading - newest reading of the called incarnation when the call was sent; null before its first answer
 * @param times - when the call was sent and answered
 */
export function attributeAnswer (workerClockMs: Millis | null, reading: WorkerReading | null, { sentAt, receivedAt }: CallTimes): AnswerSource {
  if (workerClockMs === null || reading === null) return 'unclear'
  if (workerClockMs < reading.workerClockMs) return 'other'
  const earliestMs = reading.workerClockMs + (sentAt - reading.observedAt) * SLOWEST_CLOCK_RATE - CLOCK_MARGIN_MS
  const latestMs = reading.workerClockMs + (receivedAt - reading.observedAt) + CLOCK_MARGIN_MS
  return workerClockMs >= earliestMs && workerClockMs <= latestMs ? 'same' : 'unclear'
}
