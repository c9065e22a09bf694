/** Operations of operators: a resend is given the first answer again. */
import type { FleetData } from './types.js'

/**
 * Runs an operation once for its id.
 *
 * @param data - replicated state
 * @param operation - id chosen by the operator's client
 * @param run - carries the operation out
 * @returns the result, or that of the first time
 */
export function runOnce<T> (data: FleetData, operation: string, run: () => T): T {
  const stored = data.operations.get(operation)
  if (stored !== undefined) return stored.result as T
  const result = run()
  data.operations.set(operation, { at: data.now, result })
  return result
}
