/** Watches what workers are told and what callers hear, and collects broken promises. */
import type { WorkerObserver } from '../../../platform/standin/worker.js'

/** What a caller knows of its job. */
export type JobOutcome = 'accepted' | 'refused' | 'unknown'

/** Room of a stand-in worker, in tasks of one core. */
const WORKER_CAPACITY_TASKS = 16

/** Starts may still arrive for this long after a cancellation was acknowledged, in milliseconds: the platform's bound. */
const CANCEL_GRACE_MS = 3000

interface JobRecord {
  /** Tasks of the first step; one task of a second step follows them. */
  readonly tasks: number
  outcome: JobOutcome
  cancelledAt: number
  startCount: number
}

/** Oracle of one soak run. */
export class SoakOracle implements WorkerObserver {
  readonly violations: string[] = []
  readonly #jobs = new Map<string, JobRecord>()
  readonly #runningWorkers = new Map<string, Set<string>>()
  readonly #doneTasks = new Set<string>()
  readonly #acknowledgedTasks = new Set<string>()
  #newestConfigVersion = 0

  /** @param id - a job that is about to be handed in, @param tasks - tasks of its first step */
  expectJob (id: string, tasks: number): void {
    this.#jobs.set(id, { tasks, outcome: 'unknown', cancelledAt: Number.POSITIVE_INFINITY, startCount: 0 })
  }

  /** @param id - a job, @param outcome - what its caller was told */
  settle (id: string, outcome: JobOutcome): void {
    const job = this.#jobs.get(id)
    if (job === undefined) return
    job.outcome = outcome
    if (outcome === 'refused' && job.startCount > 0) this.violations.push(`job ${id} has run, and its caller was told that it had not`)
  }

  /** @param id - a job whose cancellation was acknowledged */
  cancel (id: string): void {
    const job = this.#jobs.get(id)
    if (job !== undefined) job.cancelledAt = Date.now()
  }

  /** @param id - a job, @param state - what a caller was shown */
  show (id: string, state: unknown): void {
    const job = this.#jobs.get(id)
    if (job === undefined || state !== 'completed') return
    const doneCount = [...this.#doneTasks].filter((task) => task.startsWith(`${id}.`)).length
    if (doneCount < job.tasks + 1) this.violations.push(`job ${id} is shown as completed with ${doneCount} of ${job.tasks + 1} tasks done`)
  }

  /** @param version - of a configuration that was acknowledged */
  recordAcknowledgedConfig (version: number): void {
    this.#newestConfigVersion = Math.max(this.#newestConfigVersion, version)
  }

  /** Newest version that was acknowledged; a read that is sent now must not show an older one. */
  get newestConfigVersion (): number {
    return this.#newestConfigVersion
  }

  /** Jobs that were accepted and not cancelled. */
  get uncancelledAcceptedJobs (): string[] {
    return [...this.#jobs].filter(([, { outcome, cancelledAt }]) => outcome === 'accepted' && cancelledAt === Number.POSITIVE_INFINITY).map(([id]) => id)
  }

  /** How many jobs callers were told what of. */
  get outcomeCounts (): Record<JobOutcome, number> {
    const counts = { accepted: 0, refused: 0, unknown: 0 }
    for (const { outcome } of this.#jobs.values()) counts[outcome] += 1
    return counts
  }

  onStart (worker: string, task: string, running: number): void {
    const [id = '', , step] = task.split('.')
    const job = this.#jobs.get(id)
    if (job === undefined) {
      this.violations.push(`${task} starts, and nobody has handed its job in`)
      return
    }
    job.startCount += 1
    const otherWorkers = this.#runningWorkers.get(task) ?? new Set<string>()
    if (otherWorkers.size > 0) this.violations.push(`${task} starts on ${worker} while it runs on ${[...otherWorkers].join(', ')}`)
    if (this.#acknowledgedTasks.has(task)) this.violations.push(`${task} starts again after its end was acknowledged`)
    if (job.outcome === 'refused') this.violations.push(`${task} starts, and its caller was told that it never runs`)
    if (Date.now() > job.cancelledAt + CANCEL_GRACE_MS) this.violations.push(`${task} starts ${Date.now() - job.cancelledAt} ms after its job was cancelled`)
    if (step === '1' && this.#countDoneTasks(id, job.tasks) < job.tasks) this.violations.push(`${task} starts before the step that it waits for is done`)
    if (running > WORKER_CAPACITY_TASKS) this.violations.push(`${worker} runs ${running} tasks and has room for ${WORKER_CAPACITY_TASKS}`)
    this.#runningWorkers.set(task, otherWorkers.add(worker))
  }

  onEnd (worker: string, task: string, result: string): void {
    this.#runningWorkers.get(task)?.delete(worker)
    if (result === 'done') this.#doneTasks.add(task)
  }

  onAcknowledged (task: string, result: string): void {
    if (result === 'done') this.#acknowledgedTasks.add(task)
  }

  onCrash (worker: string): void {
    for (const workers of this.#runningWorkers.values()) workers.delete(worker)
  }

  #countDoneTasks (id: string, tasks: number): number {
    return Array.from({ length: tasks }, (_, index) => `${id}.0.0.${index}`).filter((task) => this.#doneTasks.has(task)).length
  }
}
