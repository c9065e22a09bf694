/** Simulates callers that submit jobs, and evaluates how the jobs were started. */
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import type { WorkClass } from '../../src/contracts/types.js'
import type { TaskPayload } from '../../standins/tasks/index.js'
import type { Deployment } from '../harness/deployment.js'

/** Properties of a job to submit. */
export interface JobKind {
  readonly service: string
  readonly team: string
  readonly class: WorkClass
  /** Declared number of cores. */
  readonly cores: number
  /** Declared run time, in milliseconds. */
  readonly runMs: number
  readonly repeatable: boolean
  readonly checkpointable: boolean
  readonly label?: string
  readonly payload: TaskPayload
}

/** A job that an entry has accepted. */
interface SubmittedJob {
  readonly id: string
  readonly kind: JobKind
  /** Wall clock of the first attempt to submit it, in milliseconds. */
  readonly at: number
}

/** Target for the time from the submission of urgent work to its start. */
const MAX_URGENT_START_DELAY_MS = 1000

/** Submits jobs and keeps a record of them. */
export class JobTracker {
  readonly #deployment: Deployment
  readonly submitted: SubmittedJob[] = []
  /** Number of jobs that were rejected with status 422. */
  refused = 0
  #nextNumber = 0

  /** @param deployment - deployment to which jobs are submitted */
  constructor (deployment: Deployment) {
    this.#deployment = deployment
  }

  /**
   * Submits one job; resends it with the same key through other entries until it is accepted or rejected, up to 20 times.
   *
   * @param kind - properties of the job
   */
  async submit (kind: JobKind): Promise<void> {
    const key = `job-${this.#nextNumber++}`
    const at = Date.now()
    for (let attempt = 0; attempt < 20; attempt += 1) {
      const entries = this.#deployment.entryAddresses
      const entry = entries[(this.#nextNumber + attempt) % entries.length] ?? ''
      const res = await request(`http://${entry}/v1/jobs`, { method: 'POST', body: JSON.stringify({ ...kind, key, memoryGb: 1 }) }).catch(() => null)
      const body = await res?.body.json().catch(() => null) as { job?: string, state?: string } | null
      if (res?.statusCode === 422) {
        this.refused += 1
        return
      }
      if (body?.job !== undefined) {
        this.submitted.push({ id: body.job, kind, at })
        return
      }
      await sleep(100)
    }
  }

  /**
   * Submits many jobs in batches.
   *
   * @param kinds - properties of the jobs
   * @param concurrency - number of jobs in a batch, which are submitted concurrently
   */
  async submitMany (kinds: readonly JobKind[], concurrency = 20): Promise<void> {
    for (let start = 0; start < kinds.length; start += concurrency) {
      await Promise.all(kinds.slice(start, start + concurrency).map((kind) => this.submit(kind)))
    }
  }

  /** Returns the states of all jobs by id. */
  async readStates (): Promise<Map<string, string>> {
    const jobs = await this.#deployment.ctlJson<Array<{ id: string, state: string }>>(['jobs', 'list'])
    return new Map(jobs.map((job) => [job.id, job.state]))
  }

  /** Returns the times from submission to first start of urgent jobs, in milliseconds; infinite for jobs that never started. */
  listUrgentStartDelaysMs (): number[] {
    const urgent = this.submitted.filter(({ kind }) => kind.class === 'urgent')
    return urgent.map(({ id, at }) => (this.#deployment.oracle.getFirstTaskStart(id) ?? Number.POSITIVE_INFINITY) - at)
  }

  /** Returns the share of urgent jobs that started later than the target. */
  computeUrgentLateness (): number {
    const delaysMs = this.listUrgentStartDelaysMs()
    return delaysMs.length === 0 ? 0 : delaysMs.filter((ms) => ms > MAX_URGENT_START_DELAY_MS).length / delaysMs.length
  }

  /** Returns the number of jobs that are neither repeatable nor checkpointable but were started more than once. */
  doubles (): number {
    return this.submitted.filter(({ id, kind }) => !kind.repeatable && !kind.checkpointable && this.#deployment.oracle.countTaskRuns(id) > 1).length
  }
}
