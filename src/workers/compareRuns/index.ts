/** Compares the runs that the replicated state has on a worker with those that the worker lists. */
import type { RunningTask } from '../../batch/types.js'
import type { WorkerRuns } from '../types.js'

/** Result of {@link compareRuns}. */
export interface RunComparison {
  /** Runs that are in the state and running. */
  readonly confirmed: readonly RunningTask[]
  /** Runs that are running and not in the state. */
  readonly unknown: readonly RunningTask[]
  /** Runs that are in the state, and neither running nor among the ends. None while not all ends are listed. */
  readonly missing: ReadonlyArray<{ readonly task: string, readonly run: number }>
}

/**
 * Compares the runs on a worker.
 *
 * @param expected - runs that the state has on the worker, by task
 * @param listed - the worker's lists
 */
export function compareRuns (expected: ReadonlyMap<string, { readonly run: number }>, { running, ended, hasMoreEnds }: WorkerRuns): RunComparison {
  const isExpected = ({ task, run }: RunningTask): boolean => expected.get(task)?.run === run
  const listed = new Set([...running, ...ended].map(({ task, run }) => `${task}#${run}`))
  const missing = hasMoreEnds ? [] : [...expected].filter(([task, { run }]) => !listed.has(`${task}#${run}`)).map(([task, { run }]) => ({ task, run }))
  return { confirmed: running.filter(isExpected), unknown: running.filter((run) => !isExpected(run)), missing }
}
