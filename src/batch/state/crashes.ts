/** Counts the workers that have crashed under each task. Deterministic, like the command handlers that use it. */
import type { Millis } from '../../clock/index.js'
import { parseTask } from '../types.js'
import type { BatchData, JobRecord, RunEnd, TaskRecord, WorkerRecord } from './records.js'

/** Number of workers and machines kept in {@link TaskRecord.failedOn}. */
export const MAX_REMEMBERED_WORKERS = 4

/**
 * A task is given up once this many workers have crashed under it while no other job could be the cause. A machine that goes down
 * and up by itself is not evidence twice: on a single machine, one more crash is needed of which the task may be the cause.
 */
const MAX_SOLE_CRASHES = 2
const MAX_CRASHES = 3

/**
 * Records what the end of a run tells about crashes.
 *
 * @param data - replicated state
 * @param job - job of the run, which is active
 * @param task - task of the run
 * @param end - the end
 * @param at - time of the command
 * @returns whether the job is to be given up
 */
export function recordCrashEvidence (data: BatchData, job: JobRecord, task: TaskRecord, end: RunEnd, at: Millis): boolean {
  const { evidence, outcome } = end
  if (evidence === 'shared' || evidence === 'sole') {
    const machine = findMachine(data, end.worker)
    task.crashes += 1
    task.failedOn = [...task.failedOn, machine].slice(-MAX_REMEMBERED_WORKERS)
    job.isSuspect = true
    if (evidence === 'shared') return false
    if (end.isCrashConfirmed === true) return countSoleCrash(task, machine)
    addUnconfirmed(data, end, at)
  } else if (job.isSuspect && (evidence === 'survived' || outcome === 'done' || outcome === 'failed')) {
    task.crashes = 0
    task.soleCrashesOn = []
    job.isSuspect = hasSuspectTask(job)
  }
  return false
}

/**
 * Counts the crashes that a worker's report confirms: an earlier incarnation, or an earlier worker of its machine, was silent
 * until its lease expired.
 *
 * @param data - replicated state
 * @param worker - the worker that reports
 * @returns the active jobs to be given up
 */
export function confirmCrashes (data: BatchData, { id, machine, born }: WorkerRecord): JobRecord[] {
  const jobs = new Set<JobRecord>()
  for (const [key, crash] of data.unconfirmedCrashes) {
    const isSameWorker = crash.id === id || (machine !== '' && crash.machine === machine)
    if (!isSameWorker || crash.born >= born) continue
    data.unconfirmedCrashes.delete(key)
    for (const name of crash.tasks) {
      const position = parseTask(name)
      const job = position === null ? undefined : data.jobs.get(position.job)
      const task = position === null ? undefined : job?.occurrences.get(position.occurrence)?.[position.step]?.tasks[position.index]
      if (job === undefined || task === undefined || job.state !== 'active' || task.crashes === 0) continue
      if (countSoleCrash(task, crash.machine === '' ? crash.id : crash.machine)) jobs.add(job)
    }
  }
  return [...jobs]
}

/** Returns whether the task is to be given up. */
function countSoleCrash (task: TaskRecord, machine: string): boolean {
  task.soleCrashesOn.push(machine)
  const { soleCrashesOn, crashes, isDone } = task
  return !isDone && (new Set(soleCrashesOn).size >= MAX_SOLE_CRASHES || (soleCrashesOn.length >= MAX_SOLE_CRASHES && crashes >= MAX_CRASHES))
}

/** Returns the machine of a worker, or its id when it has named none. */
function findMachine (data: BatchData, key: string): string {
  const worker = data.workers.get(key)
  return worker === undefined || worker.machine === '' ? key.slice(0, key.lastIndexOf('@')) : worker.machine
}

function addUnconfirmed (data: BatchData, { worker: key, task }: RunEnd, at: Millis): void {
  const crash = data.unconfirmedCrashes.get(key)
  if (crash !== undefined) {
    crash.tasks.push(task)
    return
  }
  const worker = data.workers.get(key)
  if (worker !== undefined) data.unconfirmedCrashes.set(key, { id: worker.id, machine: worker.machine, born: worker.born, tasks: [task], at })
}

function hasSuspectTask (job: JobRecord): boolean {
  for (const steps of job.occurrences.values()) {
    for (const { tasks } of steps) if (tasks.some(({ crashes, isDone }) => crashes > 0 && !isDone)) return true
  }
  return false
}
