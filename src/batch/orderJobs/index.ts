/**
 * Decides in which order the jobs of a pool are scheduled.
 *
 * Handles surges beyond the pool's capacity: a job has its full value only when it completes on time, and a small share of
 * it when it completes late. Jobs with long-running tasks come first, since users depend on them at any time. Next come
 * the jobs that can still be on time, by queue priority and then by value per remaining work; then late jobs in the same
 * order; then the jobs that a workspace has sent beyond its rate, again those that can be on time first; then overdue jobs, oldest
 * first. No accepted job is dropped.
 */
import type { Millis } from '../../clock/index.js'
import type { JobForecast } from '../jobObjective/index.js'

/** An active job with the values that decide its rank. */
export interface ActiveJob {
  readonly id: string
  /** Priority of the job's queue; 0 is the highest. */
  readonly priority: number
  /** Whether a step of the job has long-running tasks. */
  readonly isLasting: boolean
  /** Whether its workspace had sent more jobs than its weight counts on when it was accepted. */
  readonly isBeyondRate: boolean
  readonly acceptedAt: Millis
  readonly forecast: JobForecast
  /** Mean work of the queue's jobs, in core-ms. */
  readonly meanWork: number
}

/** How a job stands to its latency objective; `longRunning` is a job with long-running tasks, which has none. */
export type Timeliness = 'longRunning' | 'onTime' | 'late' | 'overdue'

const RANKS: Readonly<Record<Timeliness, number>> = { longRunning: 0, onTime: 1, late: 2, overdue: 5 }

/** Ranks of the jobs that their workspace has sent beyond its rate. */
const RANKS_BEYOND_RATE: Readonly<Record<Timeliness, number>> = { longRunning: 0, onTime: 3, late: 4, overdue: 5 }

/**
 * The value of a job relative to the mean of its queue: a fixed part, plus the rest in proportion to the job's work, up to
 * a limit.
 */
const FIXED_VALUE = 0.3
const MAX_VALUE = 4

/**
 * Classifies a job by the earliest time at which it can complete.
 *
 * @param job - the job
 * @param now - wall-clock time in milliseconds
 */
export function classifyJob (job: ActiveJob, now: Millis): Timeliness {
  if (job.isLasting) return 'longRunning'
  const earliestEnd = now + job.forecast.remainingCriticalPathMs
  if (earliestEnd <= job.forecast.onTimeUntil) return 'onTime'
  return earliestEnd <= job.forecast.lateUntil ? 'late' : 'overdue'
}

/**
 * Sorts jobs into the order in which they are scheduled.
 *
 * @param jobs - jobs of one pool
 * @param now - wall-clock time in milliseconds
 * @returns the same jobs, most urgent first
 */
export function orderJobs<J extends ActiveJob> (jobs: readonly J[], now: Millis): J[] {
  return rankJobs(jobs, now).map(({ job }) => job)
}

/** A job with its class and priority, by which it precedes all jobs with a higher one. */
export interface RankedJob<J extends ActiveJob> {
  readonly job: J
  readonly rank: number
  readonly priority: number
}

/**
 * Sorts jobs into the order in which they are scheduled, and tells which of them are equally urgent.
 *
 * @param jobs - jobs of one pool
 * @param now - wall-clock time in milliseconds
 * @returns the same jobs, most urgent first
 */
export function rankJobs<J extends ActiveJob> (jobs: readonly J[], now: Millis): Array<RankedJob<J>> {
  const ranked = jobs.map((job) => {
    const rank = (job.isBeyondRate ? RANKS_BEYOND_RATE : RANKS)[classifyJob(job, now)]
    const isOldestFirst = rank === RANKS.overdue
    return { job, rank, priority: isOldestFirst ? 0 : job.priority, valueDensity: isOldestFirst ? 0 : computeValue(job) / Math.max(1, job.forecast.remainingWork) }
  })
  return ranked.sort((a, b) => a.rank - b.rank || a.priority - b.priority || b.valueDensity - a.valueDensity || a.job.acceptedAt - b.job.acceptedAt)
}

function computeValue ({ forecast, meanWork }: ActiveJob): number {
  const relativeWork = meanWork > 0 ? forecast.work / meanWork : 1
  return Math.min(MAX_VALUE, FIXED_VALUE + (1 - FIXED_VALUE) * relativeWork)
}
