/** Finds the tasks of a job that may start now. */
import type { Millis } from '../../clock/index.js'
import { ensureOccurrence } from '../state/handlers.js'
import type { JobRecord, StepRecord, TaskRecord } from '../state/records.js'
import type { StartableTask, WorkspaceGroup } from '../planStarts/index.js'
import { formatTask, type Step } from '../types.js'

/** Delay before a long-running task that has ended is restarted. */
const RESTART_DELAY_MS: Millis = 50

/** Delay before the next run of a task whose last run did not complete it. */
const RETRY_DELAY_MS: Millis = 30

/**
 * Delay before the next run of a task that may have crashed its worker: the report of the worker's next incarnation tells whether it has. Not for
 * long-running tasks, which have to run again in time.
 */
const SUSPECT_RETRY_DELAY_MS: Millis = 500

/**
 * Counts the occurrences of a job that are due.
 *
 * @param job - the job
 * @param wall - wall-clock time in milliseconds
 * @returns 1 for a job that does not repeat
 */
export function countDueOccurrences (job: JobRecord, wall: Millis): number {
  if (job.repeatCount === 0) return 1
  if (wall < job.startAt) return 0
  if (job.intervalMs <= 0) return job.repeatCount
  return Math.min(job.repeatCount, Math.floor((wall - job.startAt) / job.intervalMs) + 1)
}

/**
 * Returns whether a task of a job may start now. Allocates nothing, since it is called for every active job in each cycle.
 *
 * @param job - an active job
 * @param wall - wall-clock time in milliseconds
 */
export function hasStartable (job: JobRecord, wall: Millis): boolean {
  const due = countDueOccurrences(job, wall)
  for (let occurrence = 0; occurrence < due; occurrence++) {
    const records = job.occurrences.get(occurrence)
    if (records === undefined) return true
    for (const [i, step] of job.steps.entries()) {
      const record = records[i] as StepRecord
      if (record.doneCount === step.count || !areStepsDone(records, step.after)) continue
      for (const task of record.tasks) if (isStartable(task, step, wall)) return true
    }
  }
  return false
}

/**
 * Lists the groups of tasks that may start now.
 *
 * @param job - an active job
 * @param wall - wall-clock time in milliseconds
 * @param getAllowedWorkers - returns the workers that the advisor allows for a step; null without an advisor, undefined while its answer is pending
 * @param mayStartSuspects - whether tasks that are suspected of crashing workers may start; not while one of the job's is on trial
 */
export function * listStartable (job: JobRecord, wall: Millis, getAllowedWorkers: (stepKey: string, job: JobRecord, step: Step) => ReadonlySet<string> | null | undefined, mayStartSuspects = true): Generator<WorkspaceGroup> {
  const { workspace } = job
  const due = countDueOccurrences(job, wall)
  for (let occurrence = 0; occurrence < due; occurrence++) {
    const records = ensureOccurrence(job, occurrence)
    for (const [i, step] of job.steps.entries()) {
      const record = records[i] as StepRecord
      if (record.doneCount === step.count || !areStepsDone(records, step.after)) continue
      const stepKey = `${job.id}.${occurrence}.${i}`
      const waiting = record.tasks
        .map((task, index) => ({ task, index }))
        .filter(({ task }) => isStartable(task, step, wall) && (mayStartSuspects || !isSuspect(task, record, step)))
      if (waiting.length === 0) continue
      const allowed = getAllowedWorkers(stepKey, job, step)
      if (allowed === undefined) continue
      const members = waiting.map(({ task, index }): StartableTask => ({ task: formatTask({ job: job.id, occurrence, step: i, index }), stepKey, step, failedOn: task.failedOn, allowed, suspectJob: isSuspect(task, record, step) ? job.id : null }))
      if (!step.isGang) {
        for (const member of members) yield { members: [member], mayReserve: true, workspace }
      } else if (members.length === step.count) yield { members, mayReserve: false, workspace }
    }
  }
}

function isStartable (task: TaskRecord, step: Step, wall: Millis): boolean {
  return !task.isDone && task.active.length === 0 && hasRetryDelayPassed(task, step, wall)
}

/** A gang is suspected as a whole, since its members start together. */
function isSuspect (task: TaskRecord, record: StepRecord, { isGang }: Step): boolean {
  return task.crashes > 0 || (isGang && record.tasks.some(({ crashes }) => crashes > 0))
}

function areStepsDone (records: readonly StepRecord[], steps: readonly number[]): boolean {
  return steps.every((i) => {
    const record = records[i]
    return record !== undefined && record.doneCount === record.tasks.length
  })
}

/**
 * Decides whether a task may start again after its last run. Uses the wall clock, because the time of the replicated state
 * advances only with commits. Returns true when the wall clock was set back.
 */
function hasRetryDelayPassed (task: TaskRecord, step: Step, wall: Millis): boolean {
  const elapsedMs = wall - task.lastEndAt
  const delayMs = step.isLasting ? RESTART_DELAY_MS : task.crashes > 0 ? SUSPECT_RETRY_DELAY_MS : RETRY_DELAY_MS
  return elapsedMs < 0 || elapsedMs >= delayMs
}
