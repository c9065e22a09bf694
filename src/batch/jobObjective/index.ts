/** Forecasts the remaining work of a job, its earliest completion and the deadlines of its latency objective. */
import type { Millis } from '../../clock/index.js'
import type { JobRecord, StepRecord } from '../state/records.js'
import type { Queue, Step } from '../types.js'

/** Forecast of a job: total and remaining work, and deadlines. */
export interface JobForecast {
  /** Longest chain of dependent steps of the whole job, in ms. */
  readonly criticalPathMs: Millis
  /** Longest chain of dependent steps that are not done, in ms. */
  readonly remainingCriticalPathMs: Millis
  /** Work of the whole job, in core-ms. */
  readonly work: number
  /** Work of the tasks that are not done, in core-ms. */
  readonly remainingWork: number
  /** Latest completion that meets the objective, as wall-clock time. */
  readonly onTimeUntil: Millis
  /** Latest completion that still has some value, as wall-clock time. */
  readonly lateUntil: Millis
}

/** Processor capacity that one accelerator counts as. */
const ACCELERATOR_MILLICORES = 8000

/** A completion later than this many times the objective has no value. */
const LATE_LIMIT_FACTOR = 3

const MILLICORES_PER_CORE = 1000

/**
 * Returns the processor capacity that one task of a step needs, accelerators included, in cores.
 *
 * @param step - the step
 */
export function countCores (step: Step): number {
  return (step.cpu + step.accelerators * ACCELERATOR_MILLICORES) / MILLICORES_PER_CORE
}

/**
 * Estimates the total and remaining work of a job, and derives the deadlines of its latency objective.
 *
 * @param job - the job
 * @param records - records of its steps, or null when none has started
 * @param queue - configuration of its queue; without one the objective is the critical path itself
 * @param estimateCorrection - factor applied to the submitter's estimates
 */
export function forecastJob (job: JobRecord, records: readonly StepRecord[] | null, queue: Queue | undefined, estimateCorrection: number): JobForecast {
  const pathEnds: number[] = []
  const remainingPathEnds: number[] = []
  let work = 0
  let remainingWork = 0
  job.steps.forEach((step, i) => {
    const taskMs = step.estimateMs * estimateCorrection
    const record = records?.[i]
    const remainingTasks = record === undefined ? step.count : step.count - record.doneCount
    work += step.count * taskMs * countCores(step)
    remainingWork += remainingTasks * taskMs * countCores(step)
    const startMs = Math.max(0, ...step.after.map((other) => pathEnds[other] ?? 0))
    const remainingStartMs = Math.max(0, ...step.after.map((other) => remainingPathEnds[other] ?? 0))
    pathEnds.push(startMs + taskMs)
    remainingPathEnds.push(remainingTasks === 0 ? 0 : remainingStartMs + taskMs)
  })
  const criticalPathMs = Math.max(0, ...pathEnds)
  const objectiveMs = (queue?.targetLatencyMs ?? 0) + (queue?.slackFactor ?? 1) * criticalPathMs
  return {
    criticalPathMs,
    remainingCriticalPathMs: Math.max(0, ...remainingPathEnds),
    work,
    remainingWork,
    onTimeUntil: job.acceptedAt + objectiveMs,
    lateUntil: job.acceptedAt + LATE_LIMIT_FACTOR * objectiveMs
  }
}
