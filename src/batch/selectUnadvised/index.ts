/** Selects the workers that the advisor is asked about next for a step. */
import type { Millis } from '../../clock/index.js'

/** Most workers that one call to the advisor may name. */
export const MAX_WORKERS_PER_CALL = 100

/** One incarnation of a worker. */
export interface AdvisedWorker {
  /** Key of the incarnation. */
  readonly key: string
  /** Id by which the advisor knows the worker. */
  readonly id: string
}

/** Decision on one incarnation of a worker for one step. */
export interface Verdict {
  /** Ticket for starts there, or null when the step may not run there. */
  readonly ticket: string | null
  /** Clock reading from which on it needs renewal. */
  readonly usableUntil: Millis
}

/**
 * Selects the workers for one call: those whose tickets need renewal, then those that the advisor was never asked about. Which workers may run a step
 * doesn't change, so that it is asked again about refused ones only when it has allowed none of them all.
 *
 * @param workers - workers that the step may start on
 * @param verdicts - earlier decisions, by key of the incarnation
 * @param now - clock reading
 * @returns as many as one call may name; empty when every worker has a decision that holds
 */
export function selectUnadvised (workers: readonly AdvisedWorker[], verdicts: ReadonlyMap<string, Verdict>, now: Millis): AdvisedWorker[] {
  const expired: AdvisedWorker[] = []
  const unknown: AdvisedWorker[] = []
  const refused: Array<{ readonly worker: AdvisedWorker, readonly usableUntil: Millis }> = []
  let hasAllowed = false
  for (const worker of workers) {
    const verdict = verdicts.get(worker.key)
    if (verdict === undefined) unknown.push(worker)
    else if (verdict.ticket !== null) {
      hasAllowed = true
      if (now >= verdict.usableUntil) expired.push(worker)
    } else if (now >= verdict.usableUntil) refused.push({ worker, usableUntil: verdict.usableUntil })
  }
  if (hasAllowed || unknown.length > 0) return [...expired, ...unknown].slice(0, MAX_WORKERS_PER_CALL)
  return refused.sort((a, b) => a.usableUntil - b.usableUntil).slice(0, MAX_WORKERS_PER_CALL).map(({ worker }) => worker)
}
