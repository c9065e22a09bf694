/** Converts a worker's report into the record that the replicated state keeps. */
import type { WorkerRecord } from '../../batch/state/records.js'
import { workerKey, type WorkerReport } from '../../batch/types.js'

/**
 * Converts a report into a record. A worker that is draining stays so.
 *
 * @param report - decoded report
 * @param known - record of this incarnation in the state, if any
 */
export function toRecord (report: WorkerReport, known: WorkerRecord | undefined): WorkerRecord {
  const { state, drainLeftMs: _left, sequence: _sequence, ...rest } = report
  return { ...rest, isDraining: state === 'draining' || known?.isDraining === true }
}

/** Compares two records by value. */
export function isSameRecord (a: WorkerRecord, b: WorkerRecord): boolean {
  return JSON.stringify(a) === JSON.stringify(b)
}

/** Returns whether a worker has less of any resource than before. */
export function hasLessCapacity ({ room }: WorkerRecord, { room: before }: WorkerRecord): boolean {
  return room.cpu < before.cpu || room.memory < before.memory || room.accelerators < before.accelerators
}

/**
 * Decides whether a report contains nothing new. Any member of the group may then acknowledge it, because the leader
 * learns from its own long polls whether the worker is alive.
 *
 * @param report - decoded report
 * @param workers - workers in the replicated state
 */
export function isKnownReport (report: WorkerReport, workers: ReadonlyMap<string, WorkerRecord>): boolean {
  if (report.state !== 'ready') return false
  const known = workers.get(workerKey(report))
  return known !== undefined && !known.isDraining && isSameRecord(known, toRecord(report, known))
}
