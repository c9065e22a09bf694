/** Works out what the jobs of a service ask of its machines. */
import type { Millis } from '../../clock/index.js'
import type { Demand, PoolDemand } from '../../pools/machinesNeeded/index.js'
import { classifyJob, type QueuedJob, type Usefulness } from '../orderJobs/index.js'
import type { JobRecord } from '../state/records.js'
import type { Resources, Step } from '../types.js'

/** A queued job with its record. */
export interface MeasuredJob extends QueuedJob {
  readonly job: JobRecord
  /** What estimates are multiplied by. */
  readonly correction: number
}

/** Jobs that are late earn little: they are given this long, in ms. */
const DUE_WHEN_LATE: Readonly<Record<Exclude<Usefulness, 'onTime' | 'lasting'>, Millis>> = { late: 5000, overdue: 10_000 }

/**
 * Returns the share of a machine that a task takes, by what it takes most of.
 *
 * @param step - the task's step
 * @param room - a machine's room
 */
export function shareOf (step: Step, room: Resources): number {
  const shareOfOne = (wanted: number, all: number): number => wanted === 0 ? 0 : wanted / Math.max(1, all)
  return Math.max(step.isFiller ? 0 : shareOfOne(step.cpu, room.cpu), shareOfOne(step.memory, room.memory), shareOfOne(step.accelerators, room.accelerators))
}

/**
 * Returns how long a whole machine is busy with a job, in ms.
 *
 * @param job - the job
 * @param room - a machine's room
 * @param correction - what estimates are multiplied by
 */
export function loadOf (job: Pick<JobRecord, 'steps' | 'occurrences'>, room: Resources, correction: number): number {
  const records = job.occurrences.get(0)
  let load = 0
  job.steps.forEach((step, i) => {
    const left = step.count - (records?.[i]?.doneCount ?? 0)
    load += left * step.estimateMs * correction * shareOf(step, room)
  })
  return load
}

/**
 * Adds up what the jobs of a service ask for.
 *
 * @param jobs - its active jobs
 * @param room - a machine's room
 * @param arrivalRate - machines that keep up with what comes in
 * @param wall - the wall clock
 */
export function measureDemand (jobs: readonly MeasuredJob[], room: Resources, arrivalRate: number, wall: Millis): Omit<PoolDemand, 'isStarved'> {
  const work: Demand[] = []
  let longRunningLoad = 0
  let longRunningSpread = 0
  for (const measured of jobs) {
    const usefulness = classifyJob(measured, wall)
    if (usefulness === 'lasting') {
      for (const step of measured.job.steps) {
        longRunningLoad += step.count * shareOf(step, room)
        if (step.maxPerWorker > 0) longRunningSpread = Math.max(longRunningSpread, Math.ceil(step.count / step.maxPerWorker))
      }
      continue
    }
    const dueInMs = usefulness === 'onTime' ? measured.outlook.onTimeUntil - wall : DUE_WHEN_LATE[usefulness]
    work.push({ load: loadOf(measured.job, room, measured.correction), dueInMs })
  }
  return { work, arrivalRate, longRunningLoad, longRunningSpread }
}
