/** Corrects declared sizes of jobs by what jobs of the same kind have used. */
import type { Millis } from '../../clock/index.js'
import type { Capacity, TaskReport, WorkClass } from '../../contracts/types.js'
import type { Job } from '../../state/types.js'

/** Weight of one new observation. */
const SMOOTHING_FACTOR = 0.2

/** Observations before a correction is trusted. */
const MIN_OBSERVATIONS = 3

/** Headroom above what was used. */
const HEADROOM_FACTOR = 1.15

interface Correction {
  cores: number
  memoryGb: number
  runTime: number
  observations: number
}

/** Ratios of used to declared by service and class. */
export class SizeEstimator {
  readonly #corrections = new Map<string, Correction>()

  /**
   * Takes in what a task has used.
   *
   * @param job - the job as declared
   * @param usage - what it has used
   * @param isDone - whether the run time is complete
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
   * Returns what a job is expected to take. Accelerators are taken whole, as declared.
   *
   * @param job - the job as declared
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
   * Returns how long a job is expected to run.
   *
   * @param job - the job as declared
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
