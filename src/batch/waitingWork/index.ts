/** Sums up the work of a service that waits for a machine. */
import type { Millis } from '../../clock/index.js'
import { computeDominantShare, type MeasuredJob } from '../measureDemand/index.js'
import { classifyJob } from '../orderJobs/index.js'
import type { Resources } from '../types.js'

/** Part of a job that waits. */
export interface WaitingEntry {
  /** Name of the workspace; empty for none. */
  readonly workspace: string
  /** Priority of the queue; 0 is the highest. */
  readonly priority: number
  /** How long the waiting tasks keep one whole machine busy, in ms. */
  readonly load: Millis
}

/** Waiting work of one service. */
export class WaitingWork {
  /** Of the jobs that can still be on time, by workspace and priority; those that can't run after them. */
  readonly #loads = new Map<string, Map<number, Millis>>()
  /** The same of all workspaces, by priority. */
  readonly #totals = new Map<number, Millis>()
  #jobCount = 0
  /** Of the jobs that their workspaces have sent beyond their rates, which run last. */
  #beyondRateLoad: Millis = 0
  #slackSum: Millis = 0

  /** Workspaces with waiting work. */
  get workspaces (): Iterable<string> {
    return this.#loads.keys()
  }

  /** Mean time that the waiting jobs may wait in all and still be on time; infinity when none waits. */
  get usualSlackMs (): Millis {
    return this.#jobCount === 0 ? Number.POSITIVE_INFINITY : this.#slackSum / this.#jobCount
  }

  /**
   * Adds the tasks of a job that wait.
   *
   * @param measured - an active job
   * @param capacity - capacity of a machine
   * @param wall - wall-clock time in milliseconds
   */
  addJob (measured: MeasuredJob, capacity: Resources, wall: Millis): void {
    const { job, estimateCorrection, forecast, isBeyondRate, priority } = measured
    const timeliness = classifyJob(measured, wall)
    if (job.repeatCount > 0 || (timeliness !== 'onTime' && !isBeyondRate) || timeliness === 'longRunning') return
    const records = job.occurrences.get(0)
    let load = 0
    job.steps.forEach((step, i) => {
      const record = records?.[i]
      const running = record?.tasks.reduce((sum, task) => sum + (!task.isDone && task.active.length > 0 ? 1 : 0), 0) ?? 0
      load += (step.count - (record?.doneCount ?? 0) - running) * step.estimateMs * estimateCorrection * computeDominantShare(step, capacity)
    })
    if (isBeyondRate) this.addBeyondRate(load)
    else if (load > 0) this.add({ workspace: job.workspace, priority, load }, forecast.onTimeUntil - job.acceptedAt - forecast.criticalPathMs)
  }

  /**
   * Adds work.
   *
   * @param entry - the work
   * @param slackMs - time that the job may wait in all and still be on time
   */
  add ({ workspace, priority, load }: WaitingEntry, slackMs: Millis): void {
    const byPriority = this.#loads.get(workspace) ?? new Map<number, Millis>()
    this.#loads.set(workspace, byPriority)
    for (const loads of [byPriority, this.#totals]) loads.set(priority, (loads.get(priority) ?? 0) + load)
    this.#slackSum += slackMs
    this.#jobCount += 1
  }

  /** @param load - work of a job beyond the rate of its workspace, in ms of a whole machine */
  addBeyondRate (load: Millis): void {
    this.#beyondRateLoad += load
  }

  /** Work that runs before a new job that is beyond the rate of its workspace, in ms of a whole machine. */
  get beforeBeyondRate (): Millis {
    return this.sumBefore(Number.POSITIVE_INFINITY) + this.#beyondRateLoad
  }

  /**
   * Returns the work that runs before a new job, in ms of a whole machine. Asked for each submitted job, so that nothing is summed up but priorities.
   *
   * @param priority - priority of the job's queue
   * @param workspace - counts only the work of this workspace; left out for the work of all
   */
  sumBefore (priority: number, workspace?: string): Millis {
    let sum = 0
    for (const [other, load] of (workspace === undefined ? this.#totals : this.#loads.get(workspace)) ?? []) if (other <= priority) sum += load
    return sum
  }
}
