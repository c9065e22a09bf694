/** Measures the demand of a service's jobs for its machines. */
import type { Millis } from '../../clock/index.js'
import type { Demand, PoolDemand } from '../../pools/machinesNeeded/index.js'
import { classifyJob, type ActiveJob, type Timeliness } from '../orderJobs/index.js'
import type { JobRecord } from '../state/records.js'
import type { Resources, Step } from '../types.js'

/** An active job with its record and the correction of its estimates. */
export interface MeasuredJob extends ActiveJob {
  readonly job: JobRecord
  /** Factor applied to the submitter's estimates. */
  readonly estimateCorrection: number
}

/** Jobs that can't be on time any more are given this long to complete, in ms, since a late completion has little value. */
const LATE_JOB_DUE_MS: Readonly<Record<Exclude<Timeliness, 'onTime' | 'longRunning'>, Millis>> = { late: 5000, overdue: 10_000 }

/**
 * Returns the dominant share of a task: the largest share of a machine that it takes of any resource.
 *
 * @param step - step of the task
 * @param capacity - capacity of a machine
 */
export function computeDominantShare (step: Step, capacity: Resources): number {
  const computeShare = (requested: number, total: number): number => requested === 0 ? 0 : requested / Math.max(1, total)
  return Math.max(step.isFiller ? 0 : computeShare(step.cpu, capacity.cpu), computeShare(step.memory, capacity.memory), computeShare(step.accelerators, capacity.accelerators))
}

/**
 * Returns how long the remaining tasks of a job keep one whole machine busy, in ms.
 *
 * @param job - the job
 * @param capacity - capacity of a machine
 * @param estimateCorrection - factor applied to the submitter's estimates
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
 * Sums up the demand of a service's jobs.
 *
 * @param jobs - active jobs of the service
 * @param capacity - capacity of a machine
 * @param arrivalRate - number of machines that the arriving work keeps busy
 * @param wall - wall-clock time in milliseconds
 */
export function measureDemand (jobs: readonly MeasuredJob[], capacity: Resources, arrivalRate: number, wall: Millis): Omit<PoolDemand, 'isStarved'> {
  const work: Demand[] = []
  let longRunningLoad = 0
  let longRunningSpread = 0
  for (const measured of jobs) {
    const timeliness = classifyJob(measured, wall)
    if (timeliness === 'longRunning') {
      for (const step of measured.job.steps) {
        longRunningLoad += step.count * computeDominantShare(step, capacity)
        if (step.maxPerWorker > 0) longRunningSpread = Math.max(longRunningSpread, Math.ceil(step.count / step.maxPerWorker))
      }
      continue
    }
    const dueInMs = timeliness === 'onTime' ? measured.forecast.onTimeUntil - wall : LATE_JOB_DUE_MS[timeliness]
    work.push({ load: computeLoad(measured.job, capacity, measured.estimateCorrection), dueInMs })
  }
  return { work, arrivalRate, longRunningLoad, longRunningSpread }
}
