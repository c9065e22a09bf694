/** Estimates the actual size of jobs from the usage of earlier jobs of the same service and class. */
import type { Millis } from '../../clock/index.js'
import type { Capacity, TaskReport, WorkClass } from '../../contracts/types.js'
import type { Job } from '../../state/types.js'

/** Weight of a new observation in the moving averages. */
const SMOOTHING_FACTOR = 0.2

/** Observations required before the declared size is corrected. */
const MIN_OBSERVATIONS = 3

/** Allowance on top of the average usage. */
const HEADROOM_FACTOR = 1.15

/** Moving averages of the ratio of used to declared capacity and run time. */
interface Correction {
  cores: number
  memoryGb: number
  runTime: number
  observations: number
}

/** Tracks the ratio of used to declared capacity by service and class. */
export class SizeEstimator {
  readonly #corrections = new Map<string, Correction>()

  /**
   * Records the usage that a worker has reported for a task.
   *
   * @param job - the job, with its declared capacity
   * @param usage - cores and memory used, and the run time so far
   * @param isDone - whether the task is done; only then does the run time count
   */
  observe (job: Job, usage: NonNullable<TaskReport['usage']>, isDone: boolean): void {
    const key = createCorrectionKey(job.service, job.class)
    const correction = this.#corrections.get(key) ?? { cores: 1, memoryGb: 1, runTime: 1, observations: 0 }
    if (job.cores > 0) correction.cores = updateAverage(correction.cores, usage.cores / job.cores)
    if (job.memoryGb > 0) correction.memoryGb = updateAverage(correction.memoryGb, usage.memoryGb / job.memoryGb)
    if (isDone && job.runMs > 0) correction.runTime = updateAverage(correction.runTime, usage.ranMs / job.runMs)
    correction.observations += 1
    this.#corrections.set(key, correction)
  }

  /**
   * Estimates the capacity that a job uses. Accelerators are allocated whole, so their declared number is kept.
   *
   * @param job - the job, with its declared capacity
   * @returns the estimate with headroom, or the declared capacity until there are enough observations
   */
  estimateSize (job: Job): Capacity {
    const correction = this.#corrections.get(createCorrectionKey(job.service, job.class))
    if (correction === undefined || correction.observations < MIN_OBSERVATIONS) return job
    return {
      cores: job.cores * correction.cores * HEADROOM_FACTOR,
      memoryGb: job.memoryGb * correction.memoryGb * HEADROOM_FACTOR,
      accelerators: job.accelerators
    }
  }

  /**
   * Estimates how long a job runs.
   *
   * @param job - the job, with its declared run time
   * @returns the estimate, in milliseconds
   */
  estimateRunMs (job: Job): Millis {
    return job.runMs * (this.#corrections.get(createCorrectionKey(job.service, job.class))?.runTime ?? 1)
  }
}

function createCorrectionKey (service: string, workClass: WorkClass): string {
  return `${service}/${workClass}`
}

function updateAverage (average: number, observed: number): number {
  return average + SMOOTHING_FACTOR * (observed - average)
}
