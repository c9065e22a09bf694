/**
 * Keeps the runs of suspected tasks apart, so that the next crash tells which job is to blame.
 *
 * Handles tasks that crash each worker that starts them, beside innocent neighbours: the suspected tasks of a job start on one worker at
 * a time, and nothing else starts there until the worker has survived. The other tasks of the job are not held up.
 */
import type { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import type { BatchState } from '../state/index.js'
import type { JobRecord, TaskRecord } from '../state/records.js'
import { parseTask } from '../types.js'

/**
 * Returns whether a suspected task of a job has a run that its worker is not known to have survived.
 *
 * @param job - the job
 * @param registry - sessions with the workers
 */
export function isOnTrial (job: JobRecord, registry: WorkerRegistry): boolean {
  if (!job.isSuspect) return false
  for (const [occurrence, steps] of job.occurrences) {
    for (const [step, { tasks }] of steps.entries()) {
      for (const [index, { crashes, active }] of tasks.entries()) {
        if (crashes === 0) continue
        for (const { run, worker } of active) {
          if (registry.sessionOf(worker)?.orders.hasSurvived(`${job.id}.${occurrence}.${step}.${index}`, run) !== true) return true
        }
      }
    }
  }
  return false
}

/** What the planner has to know of a worker while tasks are suspected. */
export interface WorkerTrialState {
  /** Number of runs that the worker is not known to have survived. */
  readonly freshRuns: number
  /** Whether one of them is of a suspected task. */
  readonly isTrial: boolean
}

/**
 * Describes the fresh runs on a worker.
 *
 * @param session - session with the worker
 * @param state - replicated state with its runs
 */
export function describeTrials (session: WorkerSession, state: BatchState): WorkerTrialState {
  let freshRuns = 0
  let isTrial = false
  for (const [task, { run }] of state.runsOn(session.key)) {
    if (session.orders.hasSurvived(task, run)) continue
    freshRuns += 1
    isTrial ||= isSuspectTask(task, state)
  }
  return { freshRuns, isTrial }
}

/**
 * Returns whether a worker has crashed under a task that no worker has survived since.
 *
 * @param name - name of the task
 * @param state - replicated state
 */
export function isSuspectTask (name: string, state: BatchState): boolean {
  return (findTask(name, state)?.crashes ?? 0) > 0
}

function findTask (name: string, state: BatchState): TaskRecord | undefined {
  const position = parseTask(name)
  if (position === null) return undefined
  return state.data.jobs.get(position.job)?.occurrences.get(position.occurrence)?.[position.step]?.tasks[position.index]
}
