/** Watches what workers are told and what callers hear, and collects broken promises. */
import type { WorkerObserver } from '../../../platform/standin/worker.js'

/** What a caller knows of its job. */
export type JobFate = 'accepted' | 'refused' | 'unknown'

/** Room of a stand-in worker, in tasks of one core. */
const WORKER_ROOM = 16

/** Starts may still arrive for this long after a cancellation was acknowledged, in milliseconds: the platform's bound. */
const CANCEL_MS = 3000

interface JobNotes {
  /** Tasks of the first step; one task of a second step follows them. */
  readonly tasks: number
  fate: JobFate
  cancelledAt: number
  startCount: number
}

/** Oracle of one soak run. */
export class SoakOracle implements WorkerObserver {
  readonly violations: string[] = []
  readonly #jobs = new Map<string, JobNotes>()
  readonly #atWork = new Map<string, Set<string>>()
  readonly #done = new Set<string>()
  readonly #noted = new Set<string>()
  #newestVersion = 0

  /** @param id - a job that is about to be handed in, @param tasks - tasks of its first step */
  expect (id: string, tasks: number): void {
    this.#jobs.set(id, { tasks, fate: 'unknown', cancelledAt: Number.POSITIVE_INFINITY, startCount: 0 })
  }

  /** @param id - a job, @param fate - what its caller was told */
  settle (id: string, fate: JobFate): void {
    const job = this.#jobs.get(id)
    if (job === undefined) return
    job.fate = fate
    if (fate === 'refused' && job.startCount > 0) this.violations.push(`job ${id} has run, and its caller was told that it had not`)
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
    const doneCount = [...this.#done].filter((task) => task.startsWith(`${id}.`)).length
    if (doneCount < job.tasks + 1) this.violations.push(`job ${id} is shown as completed with ${doneCount} of ${job.tasks + 1} tasks done`)
  }

  /** @param version - of a configuration that was acknowledged */
  acknowledgeConfig (version: number): void {
    this.#newestVersion = Math.max(this.#newestVersion, version)
  }

  /** Newest version that was acknowledged; a read that is sent now must not show an older one. */
  get newestVersion (): number {
    return this.#newestVersion
  }

  /** Jobs that were accepted and not cancelled. */
  get owed (): string[] {
    return [...this.#jobs].filter(([, { fate, cancelledAt }]) => fate === 'accepted' && cancelledAt === Number.POSITIVE_INFINITY).map(([id]) => id)
  }

  /** How many jobs callers were told what of. */
  get counts (): Record<JobFate, number> {
    const counts = { accepted: 0, refused: 0, unknown: 0 }
    for (const { fate } of this.#jobs.values()) counts[fate] += 1
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
    const others = this.#atWork.get(task) ?? new Set<string>()
    if (others.size > 0) this.violations.push(`${task} starts on ${worker} while it runs on ${[...others].join(', ')}`)
    if (this.#noted.has(task)) this.violations.push(`${task} starts again after its end was acknowledged`)
    if (job.fate === 'refused') this.violations.push(`${task} starts, and its caller was told that it never runs`)
    if (Date.now() > job.cancelledAt + CANCEL_MS) this.violations.push(`${task} starts ${Date.now() - job.cancelledAt} ms after its job was cancelled`)
    if (step === '1' && this.#countDone(id, job.tasks) < job.tasks) this.violations.push(`${task} starts before the step that it waits for is done`)
    if (running > WORKER_ROOM) this.violations.push(`${worker} runs ${running} tasks and has room for ${WORKER_ROOM}`)
    this.#atWork.set(task, others.add(worker))
  }

  onEnd (worker: string, task: string, how: string): void {
    this.#atWork.get(task)?.delete(worker)
    if (how === 'done') this.#done.add(task)
  }

  onAcknowledged (task: string, how: string): void {
    if (how === 'done') this.#noted.add(task)
  }

  onCrash (worker: string): void {
    for (const workers of this.#atWork.values()) workers.delete(worker)
  }

  #countDone (id: string, tasks: number): number {
    return Array.from({ length: tasks }, (_, i) => `${id}.0.0.${i}`).filter((task) => this.#done.has(task)).length
  }
}
