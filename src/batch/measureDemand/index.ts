/** Works out what the jobs of a service ask of its machines. */
import type { Millis } from '../../clock/index.js'
import type { Demand, PoolDemand } from '../../pools/machinesNeeded/index.js'
import { classifyJob, type QueuedJob, type Timeliness } from '../orderJobs/index.js'
import type { JobRecord } from '../state/records.js'
import type { Resources, Step } from '../types.js'

/** A queued job with its record. */
export interface MeasuredJob extends QueuedJob {
  readonly job: JobRecord
  /** What estimates are multiplied by. */
  readonly estimateCorrection: number
}

/** Jobs that are late earn little: they are given this long, in ms. */
const LATE_JOB_DUE_MS: Readonly<Record<Exclude<Timeliness, 'onTime' | 'lasting'>, Millis>> = { late: 5000, overdue: 10_000 }

/**
 * Returns the share of a machine that a task takes, by what it takes most of.
 *
 * @param step - the task's step
 * @param capacity - a machine's room
 */
export function computeDominantShare (step: Step, capacity: Resources): number {
  const computeShare = (requested: number, total: number): number => requested === 0 ? 0 : requested / Math.max(1, total)
  return Math.max(step.isFiller ? 0 : computeShare(step.cpu, capacity.cpu), computeShare(step.memory, capacity.memory), computeShare(step.accelerators, capacity.accelerators))
}

/**
 * Returns how long a whole machine is busy with a job, in ms.
 *
 * @param job - the job
 * @param capacity - a machine's room
 * @param estimateCorrection - what estimates are multiplied by
 */
export function computeLoad (job: Pick<JobRecord, 'steps' | 'occurrences'>, capacity: Resources, estimateCorrection: number): number {
  const records = job.occurrences.get(0)
  let load = 0
  job.steps.forEach((step, i) => {
    const remainingTasks = step.count - (records?.[i]?.doneCount ?? 0)
    load += remainingTasks * step.estimateMs * estimateCorrection * computeDominantShare(step, capacity)
  })
  return load
}

/**
 * Adds up what the jobs of a service ask for.
 *
 * @param jobs - its active jobs
 * @param capacity - a machine's room
 * @param arrivalRate - machines that keep up with what comes in
 * @param wall - the wall clock
 */
export function measureDemand (jobs: readonly MeasuredJob[], capacity: Resources, arrivalRate: number, wall: Millis): Omit<PoolDemand, 'isStuck'> {
  const work: Demand[] = []
  let lasting = 0
  let lastingSpread = 0
  for (const measured of jobs) {
    const timeliness = classifyJob(measured, wall)
    if (timeliness === 'lasting') {
      for (const step of measured.job.steps) {
        lasting += step.count * computeDominantShare(step, capacity)
        if (step.maxPerWorker > 0) lastingSpread = Math.max(lastingSpread, Math.ceil(step.count / step.maxPerWorker))
      }
      continue
    }
    const dueInMs = timeliness === 'onTime' ? measured.forecast.onTimeUntil - wall : LATE_JOB_DUE_MS[timeliness]
    work.push({ load: computeLoad(measured.job, capacity, measured.estimateCorrection), dueInMs })
  }
  return { work, arrivalRate, lasting, lastingSpread }
}
