/** Counts the restarts of each worker under its id. Deterministic, like the command handlers that use it. */
import type { Millis } from '../../clock/index.js'
import type { BatchData, WorkerRecord } from './records.js'

/**
 * Records an incarnation of a worker.
 *
 * @param data - replicated state
 * @param worker - the incarnation
 * @param at - time of the command
 */
export function recordIncarnation (data: BatchData, { id, born }: WorkerRecord, at: Millis): void {
  const latest = data.incarnations.get(id)
  if (latest !== undefined && latest.born > born) return
  if (latest === undefined) data.incarnations.set(id, { born, restarts: 0, since: at, seenAt: at })
  else if (latest.born === born) data.incarnations.set(id, { ...latest, seenAt: at })
  else data.incarnations.set(id, { born, restarts: latest.restarts + 1, since: at, seenAt: at })
}

/**
 * Records that a run is placed on an incarnation.
 *
 * @param data - replicated state
 * @param worker - the incarnation
 * @param at - time of the command
 */
export function recordPlacement (data: BatchData, { id, born }: WorkerRecord, at: Millis): void {
  const latest = data.incarnations.get(id)
  if (latest?.born === born && latest.placedAt === undefined) data.incarnations.set(id, { ...latest, placedAt: at })
}

/** A worker that has restarted and is cut off for less than this refuses no leader for a token that is too low. */
const RESTARTS_RETENTION_MS = 24 * 3600 * 1000

/**
 * Forgets the workers that were dismissed before a time; those that have restarted under their id later, since they may return as
 * the same incarnation, which knows the token that it was called with.
 *
 * @param data - replicated state
 * @param seenBefore - time in milliseconds
 */
export function purgeIncarnations (data: BatchData, seenBefore: Millis): void {
  const present = new Set([...data.workers.values()].map(({ id }) => id))
  for (const [id, { seenAt, restarts }] of data.incarnations) {
    const isDue = seenAt < (restarts === 0 ? seenBefore : seenBefore - RESTARTS_RETENTION_MS)
    if (isDue && !present.has(id)) data.incarnations.delete(id)
  }
}

/**
 * Returns how often a worker is known to have restarted under its id before an incarnation.
 *
 * @param data - replicated state
 * @param incarnation - id and start time of the incarnation
 */
export function countRestarts (data: BatchData, { id, born }: { readonly id: string, readonly born: number }): number {
  const latest = data.incarnations.get(id)
  return latest?.born === born ? latest.restarts : 0
}
