/**
 * Decides in which order the jobs of a pool are served.
 *
 * Answers surges beyond the pool's room: a job earns its worth only while it is on time, and a small share while it is
 * late. Tasks that last come first, since their users wait at any time. Then, by the queues' priorities, jobs that can
 * still be on time, those first that bring the most worth for the work that they have left; then those that are late;
 * then the rest, oldest first. Nothing accepted is dropped.
 */
import type { Millis } from '../../clock/index.js'
import type { JobForecast } from '../jobObjective/index.js'

/** A job in the queue, with what is known of it. */
export interface QueuedJob {
  readonly id: string
  readonly priority: number
  readonly isLasting: boolean
  readonly acceptedAt: Millis
  readonly forecast: JobForecast
  /** Mean work of the queue's jobs, in core-ms. */
  readonly meanWork: number
}

/** How useful it still is to serve a job. */
export type Timeliness = 'lasting' | 'onTime' | 'late' | 'overdue'

const RANKS: Readonly<Record<Timeliness, number>> = { lasting: 0, onTime: 1, late: 2, overdue: 3 }

/** A job's worth is this share plus the rest in proportion to its work, up to a limit, of its kind's worth. */
const FIXED_VALUE = 0.3
const MAX_VALUE = 4

/**
 * Tells how useful it still is to serve a job.
 *
 * @param job - the job
 * @param now - the wall clock
 */
export function classifyJob (job: QueuedJob, now: Millis): Timeliness {
  if (job.isLasting) return 'lasting'
  const earliestEnd = now + job.forecast.remainingCriticalPathMs
  if (earliestEnd <= job.forecast.onTimeUntil) return 'onTime'
  return earliestEnd <= job.forecast.lateUntil ? 'late' : 'overdue'
}

/**
 * Sorts jobs into the order in which they are served.
 *
 * @param jobs - jobs of one pool
 * @param now - the wall clock
 * @returns the same jobs, most urgent first
 */
export function orderJobs<J extends QueuedJob> (jobs: readonly J[], now: Millis): J[] {
  const ranked = jobs.map((job) => {
    const timeliness = classifyJob(job, now)
    return { job, rank: RANKS[timeliness], priority: timeliness === 'overdue' ? 0 : job.priority, valueDensity: timeliness === 'overdue' ? 0 : computeValue(job) / Math.max(1, job.forecast.remainingWork) }
  })
  ranked.sort((a, b) => a.rank - b.rank || a.priority - b.priority || b.valueDensity - a.valueDensity || a.job.acceptedAt - b.job.acceptedAt)
  return ranked.map(({ job }) => job)
}

function computeValue ({ forecast, meanWork }: QueuedJob): number {
  const relativeWork = meanWork > 0 ? forecast.work / meanWork : 1
  return Math.min(MAX_VALUE, FIXED_VALUE + (1 - FIXED_VALUE) * relativeWork)
}
