/** Idempotency of operators' operations: a resend returns the result of the first call. */
import type { FleetData } from './types.js'

/**
 * Runs an operation unless an operation with the same id has already run.
 *
 * @param data - replicated state
 * @param operation - idempotency key chosen by the operator's client
 * @param run - executes the operation
 * @returns the result, or the stored result of the first call
 */
export function runOnce<T> (data: FleetData, operation: string, run: () => T): T {
  const stored = data.operations.get(operation)
  if (stored !== undefined) return stored.result as T
  const result = run()
  data.operations.set(operation, { at: data.now, result })
  return result
}
