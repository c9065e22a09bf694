/** How much work a job has left, how long that takes at least, and until when it is on time. */
import type { Millis } from '../../clock/index.js'
import type { JobRecord, StepRecord } from '../state/records.js'
import type { Queue, Step } from '../types.js'

/** What is left of a job. */
export interface JobForecast {
  /** Longest chain of work of the whole job, in ms. */
  readonly criticalPathMs: Millis
  /** Longest chain of what is left, in ms. */
  readonly remainingCriticalPathMs: Millis
  /** Work of the whole job, in core-ms. */
  readonly work: number
  /** Work that is left, in core-ms. */
  readonly remainingWork: number
  /** Until when it is on time, by the wall clock. */
  readonly onTimeUntil: Millis
  /** Until when it still earns something, by the wall clock. */
  readonly lateUntil: Millis
}

/** A GPU counts as this many thousandths of a core. */
const ACCELERATOR_MILLICORES = 8000

/** Up to this many times the objective a job is late, and later of no use. */
const LATE_LIMIT_FACTOR = 3

const MILLICORES_PER_CORE = 1000

/** @param step - a step; its processor room, accelerators included, in cores */
export function countCores (step: Step): number {
  return (step.cpu + step.accelerators * ACCELERATOR_MILLICORES) / MILLICORES_PER_CORE
}

/**
 * Works out what is left of a job.
 *
 * @param job - the job
 * @param records - its steps' records, or null when nothing of it has begun
 * @param queue - its queue's configuration
 * @param estimateCorrection - what a task's estimate is multiplied by
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
