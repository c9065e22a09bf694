/** Learns how long tasks run, and how much longer away from their data or spread over racks. */
import type { Millis } from '../../clock/index.js'

/** A run that ended as done. */
export interface CompletedRun {
  /** Names the job, occurrence and step: `job.occurrence.step`. */
  readonly stepKey: string
  /** Image of the step, or its queue when it names none; tasks of one kind err alike. */
  readonly kind: string
  readonly estimateMs: Millis
  readonly durationMs: Millis
  /** Whether it ran away from its data or spread over racks. */
  readonly isFar: boolean
}

/** Expected run time of a task near its data. */
export interface RunTimeForecast {
  readonly meanMs: Millis
  /** Mean deviation of run times from such forecasts, as a share of them. */
  readonly spread: number
}

/** Ratio of run time to estimate, and deviation from forecasts, without any observation. */
const INITIAL_RATIO = 1.3
const INITIAL_SPREAD = 0.5

const MOVING_AVERAGE_WEIGHT = 0.05
const PENALTY_WEIGHT = 0.1

/** Bounds of an observed ratio, and of an observed penalty. */
const MIN_RATIO = 0.2
const MAX_RATIO = 8
const MAX_PENALTY = 6

/** Runs of the same step that count as much as the estimate. */
const ESTIMATE_WEIGHT_RUNS = 0.5

/** Steps that are remembered, the oldest forgotten first. */
const MAX_STEPS = 2000

interface StepTimes {
  runs: number
  totalMs: Millis
}

interface KindTimes {
  ratio: number
  spread: number
}

/** Run times by step and by kind of task, kept by the leader for one term. */
export class RunTimes {
  readonly #steps = new Map<string, StepTimes>()
  readonly #kinds = new Map<string, KindTimes>()
  #penalty: number

  /** @param penalty - run time of a far task divided by that of a near one, as the operators state it */
  constructor (penalty: number) {
    this.#penalty = Math.max(1, penalty)
  }

  /** Run time of a far task divided by that of a near one: the stated one, corrected by what was observed. */
  get remotePenalty (): number {
    return this.#penalty
  }

  /**
   * Records a run.
   *
   * @param run - a run that ended as done and did not continue from a checkpoint
   */
  observe ({ stepKey, kind, estimateMs, durationMs, isFar }: CompletedRun): void {
    if (estimateMs <= 0 || durationMs <= 0) return
    const step = this.#steps.get(stepKey)
    // Only runs of the same step tell the penalty: estimates err by more than it.
    if (isFar && step !== undefined) this.#penalty += PENALTY_WEIGHT * (Math.min(MAX_PENALTY, Math.max(1, durationMs * step.runs / step.totalMs)) - this.#penalty)
    if (isFar) return
    const times = this.#kinds.get(kind) ?? { ratio: INITIAL_RATIO, spread: INITIAL_SPREAD }
    const deviation = Math.min(1, Math.abs(durationMs / this.forecast(stepKey, kind, estimateMs).meanMs - 1))
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, durationMs / estimateMs))
    this.#kinds.set(kind, { ratio: times.ratio + MOVING_AVERAGE_WEIGHT * (ratio - times.ratio), spread: times.spread + MOVING_AVERAGE_WEIGHT * (deviation - times.spread) })
    this.#steps.set(stepKey, { runs: (step?.runs ?? 0) + 1, totalMs: (step?.totalMs ?? 0) + durationMs })
    if (this.#steps.size > MAX_STEPS) this.#steps.delete(this.#steps.keys().next().value as string)
  }

  /**
   * Forecasts the run time of a task near its data.
   *
   * @param stepKey - `job.occurrence.step`
   * @param kind - image of the step, or its queue
   * @param estimateMs - the submitter's estimate, in ms
   */
  forecast (stepKey: string, kind: string, estimateMs: Millis): RunTimeForecast {
    const { ratio, spread } = this.#kinds.get(kind) ?? { ratio: INITIAL_RATIO, spread: INITIAL_SPREAD }
    const { runs, totalMs } = this.#steps.get(stepKey) ?? { runs: 0, totalMs: 0 }
    return { meanMs: (totalMs + ESTIMATE_WEIGHT_RUNS * estimateMs * ratio) / (runs + ESTIMATE_WEIGHT_RUNS), spread }
  }
}
