/**
 * Tells the jobs that a workspace sends within its rate from those beyond it.
 *
 * Handles a workspace that sends several times its usual: its jobs beyond the rate rank behind all jobs within it. The bucket is
 * part of the replicated state and changes when a job is accepted, so that a new leader goes on with the same one.
 */
import type { Millis } from '../../clock/index.js'

/** Token bucket of one workspace. */
export interface RateBucket {
  /** Jobs that may still be accepted within the rate. */
  readonly tokens: number
  /** Time of the last job. */
  readonly at: Millis
}

/** What became of one job. */
export interface RateDecision {
  readonly bucket: RateBucket
  readonly isBeyondRate: boolean
}

/** The bucket holds the jobs of this time: long enough for the several seconds in which a demand that rises by turns is at its height. */
const BURST_SECONDS = 5

const SECOND_MS: Millis = 1000

/**
 * Counts one job.
 *
 * @param bucket - the bucket; undefined before the first job
 * @param ratePerSecond - jobs a second within the rate
 * @param at - time of the command that accepts the job, in milliseconds
 * @returns the bucket after it, and whether the job is beyond the rate
 */
export function countJob (bucket: RateBucket | undefined, ratePerSecond: number, at: Millis): RateDecision {
  const depth = Math.max(1, ratePerSecond * BURST_SECONDS)
  const elapsedMs = bucket === undefined ? 0 : Math.max(0, at - bucket.at)
  const tokens = Math.min(depth, (bucket?.tokens ?? depth) + elapsedMs * Math.max(0, ratePerSecond) / SECOND_MS)
  const isBeyondRate = tokens < 1
  return { bucket: { tokens: isBeyondRate ? tokens : tokens - 1, at: Math.max(at, bucket?.at ?? at) }, isBeyondRate }
}
