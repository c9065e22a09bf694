/** Compares what workers run with what callers were told, and collects violations of the guarantees. */
import type { ObservedRun, WorkerObserver } from '../../../platform/standin/worker.js'

/** What a caller learned about its submission: `refused` guarantees that the job never runs, `unknown` leaves it open. */
export type JobOutcome = 'accepted' | 'refused' | 'unknown'

/** Capacity of a stand-in worker, which has 16 cores, in tasks of one core. */
const WORKER_CAPACITY_TASKS = 16

/** The platform allows starts to arrive at a worker for this long after a cancellation was acknowledged. */
const CANCEL_GRACE_MS = 3000

interface JobRecord {
  /** Number of tasks in the first step. A second step with a single task follows it. */
  readonly tasks: number
  outcome: JobOutcome
  /** When the cancellation was acknowledged, in milliseconds since the Unix epoch; infinite while it was not. */
  cancelledAt: number
  /** Status of the answer to the cancellation, 0 when there was none, null when none was requested. */
  cancelStatus: number | null
  /** Number of starts of the job's tasks on any worker. */
  startCount: number
}

/** Checks the guarantees of one soak run. */
export class SoakOracle implements WorkerObserver {
  /** Descriptions of broken guarantees. */
  readonly violations: string[] = []
  readonly #jobs = new Map<string, JobRecord>()
  /** Runs that workers have now, by task. */
  readonly #activeRuns = new Map<string, Set<ObservedRun>>()
  readonly #doneTasks = new Set<string>()
  /** Tasks whose successful end was acknowledged to a worker. */
  readonly #acknowledgedTasks = new Set<string>()
  /** Runs of each task that have started after a successful end, by that end. */
  readonly #startsAfterDone = new Map<ObservedRun, ObservedRun[]>()
  #newestConfigVersion = 0

  /**
   * Records a job before it is submitted.
   *
   * @param id - id of the job
   * @param tasks - number of tasks in its first step
   */
  expectJob (id: string, tasks: number): void {
    this.#jobs.set(id, { tasks, outcome: 'unknown', cancelledAt: Number.POSITIVE_INFINITY, cancelStatus: null, startCount: 0 })
  }

  /**
   * Records what the caller of a job learned about its submission.
   *
   * @param id - id of the job
   * @param outcome - what the caller learned
   */
  settle (id: string, outcome: JobOutcome): void {
    const job = this.#jobs.get(id)
    if (job === undefined) return
    job.outcome = outcome
    if (outcome === 'refused' && job.startCount > 0) this.violations.push(`job ${id} has run, but its caller was told that it never runs`)
  }

  /**
   * Records the answer to the cancellation of a job.
   *
   * @param id - id of the job
   * @param status - status of the answer, or 0 when there was none; 200 acknowledges the cancellation
   */
  recordCancellation (id: string, status: number): void {
    const job = this.#jobs.get(id)
    if (job === undefined) return
    job.cancelStatus = status
    if (status === 200) job.cancelledAt = Date.now()
  }

  /**
   * Describes whether the cancellation of a job was requested and answered.
   *
   * @param id - id of the job
   */
  describeCancellation (id: string): string {
    const status = this.#jobs.get(id)?.cancelStatus ?? null
    if (status === null) return 'not requested'
    return status === 0 ? 'not answered' : `answered with ${status}`
  }

  /**
   * Checks the state of a job that was shown to a caller.
   *
   * @param id - id of the job
   * @param state - state in the answer
   */
  show (id: string, state: unknown): void {
    const job = this.#jobs.get(id)
    if (job === undefined || state !== 'completed') return
    const doneCount = [...this.#doneTasks].filter((task) => task.startsWith(`${id}.`)).length
    if (doneCount < job.tasks + 1) this.violations.push(`job ${id} is shown as completed with ${doneCount} of ${job.tasks + 1} tasks done`)
  }

  /**
   * Records that a configuration was acknowledged.
   *
   * @param version - version of the configuration
   */
  recordAcknowledgedConfig (version: number): void {
    this.#newestConfigVersion = Math.max(this.#newestConfigVersion, version)
  }

  /** Newest acknowledged version of the configuration. A read that is sent from now on must not show an older one. */
  get newestConfigVersion (): number {
    return this.#newestConfigVersion
  }

  /** Ids of the jobs that were accepted and not cancelled, all of which must complete. */
  get uncancelledAcceptedJobs (): string[] {
    return [...this.#jobs].filter(([, { outcome, cancelledAt }]) => outcome === 'accepted' && cancelledAt === Number.POSITIVE_INFINITY).map(([id]) => id)
  }

  /** Number of jobs by what their callers learned. */
  get outcomeCounts (): Record<JobOutcome, number> {
    const counts = { accepted: 0, refused: 0, unknown: 0 }
    for (const { outcome } of this.#jobs.values()) counts[outcome] += 1
    return counts
  }

  /**
   * Called when a worker starts a run; checks the start against all guarantees.
   *
   * @param started - the run
   * @param running - number of runs that the worker has now
   */
  onStart (started: ObservedRun, running: number): void {
    const { task, worker } = started
    const [id = '', , step] = task.split('.')
    const job = this.#jobs.get(id)
    if (job === undefined) {
      this.violations.push(`${task} starts, but its job was never submitted`)
      return
    }
    job.startCount += 1
    const activeRuns = this.#activeRuns.get(task) ?? new Set<ObservedRun>()
    for (const other of [...activeRuns]) other.settle()
    if (activeRuns.size > 0) this.violations.push(`${describeRun(started)} starts while there is ${[...activeRuns].map(describeRun).join(', ')}`)
    if (this.#acknowledgedTasks.has(task)) this.violations.push(`${describeRun(started)} starts after the end of the task was acknowledged`)
    if (job.outcome === 'refused') this.violations.push(`${task} starts, but its caller was told that the job never runs`)
    if (Date.now() > job.cancelledAt + CANCEL_GRACE_MS) this.violations.push(`${task} starts ${Date.now() - job.cancelledAt} ms after its job was cancelled`)
    if (step === '1' && this.#countDoneTasks(id, job.tasks) < job.tasks) this.violations.push(`${task} starts before all tasks of the previous step are done`)
    if (running > WORKER_CAPACITY_TASKS) this.violations.push(`${worker} runs ${running} tasks but has capacity for ${WORKER_CAPACITY_TASKS}`)
    this.#activeRuns.set(task, activeRuns.add(started))
    for (const [ended, startsAfter] of this.#startsAfterDone) if (ended.task === task) startsAfter.push(started)
  }

  /**
   * Called when a run ends.
   *
   * @param ended - the run
   * @param outcome - how it ended; `done` is a success
   */
  onEnd (ended: ObservedRun, outcome: string): void {
    this.#activeRuns.get(ended.task)?.delete(ended)
    if (outcome !== 'done') return
    this.#doneTasks.add(ended.task)
    this.#startsAfterDone.set(ended, [])
  }

  /**
   * Called when the end of a run was acknowledged to its worker, which held its lease from the end until then.
   *
   * @param ended - the run
   * @param outcome - how it ended; `done` is a success
   */
  onAcknowledged (ended: ObservedRun, outcome: string): void {
    if (outcome !== 'done') return
    this.#acknowledgedTasks.add(ended.task)
    for (const started of this.#startsAfterDone.get(ended) ?? []) this.violations.push(`${describeRun(started)} started after ${describeRun(ended)} had ended, and that end is acknowledged now`)
    this.#startsAfterDone.delete(ended)
  }

  /**
   * Called when a worker crashes, which ends all its runs.
   *
   * @param worker - id and start time of the worker
   */
  onCrash (worker: string): void {
    for (const runs of this.#activeRuns.values()) for (const run of runs) if (run.worker === worker) runs.delete(run)
    for (const ended of this.#startsAfterDone.keys()) if (ended.worker === worker) this.#startsAfterDone.delete(ended)
  }

  #countDoneTasks (id: string, tasks: number): number {
    return Array.from({ length: tasks }, (_, index) => `${id}.0.0.${index}`).filter((task) => this.#doneTasks.has(task)).length
  }
}

function describeRun ({ task, run, worker, stopsAt }: ObservedRun): string {
  return `run ${run} of ${task} on ${worker}${stopsAt < Number.POSITIVE_INFINITY ? ', being stopped' : ''}`
}
