/** What the replicated state keeps of a worker's report. */
import type { WorkerRecord } from '../../batch/state/records.js'
import { workerKey, type WorkerReport } from '../../batch/types.js'

/**
 * Turns a report into a record. A worker that drains goes on draining.
 *
 * @param report - decoded report
 * @param known - what the state has of this life of the worker
 */
export function toRecord (report: WorkerReport, known: WorkerRecord | undefined): WorkerRecord {
  const { state, drainLeftMs: _left, sequence: _sequence, ...rest } = report
  return { ...rest, isDraining: state === 'draining' || known?.isDraining === true }
}

/** @param a - one record, @param b - another; whether they say the same */
export function isSameRecord (a: WorkerRecord, b: WorkerRecord): boolean {
  return JSON.stringify(a) === JSON.stringify(b)
}

/**
 * Tells whether a report says nothing that the replicated state doesn't have. Any member of the group may then
 * acknowledge it: the leader learns from its own looks whether the worker is alive.
 *
 * @param report - decoded report
 * @param workers - workers in the state
 */
export function isKnownReport (report: WorkerReport, workers: ReadonlyMap<string, WorkerRecord>): boolean {
  if (report.state !== 'ready') return false
  const known = workers.get(workerKey(report))
  return known !== undefined && !known.isDraining && isSameRecord(known, toRecord(report, known))
}
