/** Counts what really ran, so that promises to callers can be checked. */

/** One run of a request at an endpoint. */
export interface RequestRun {
  readonly vm: string
  readonly at: number
}

/** Book of all runs, kept by the stand-ins and read by tests and the bench. */
export class Oracle {
  readonly #runs = new Map<string, RequestRun[]>()
  readonly #taskRuns = new Map<string, Array<{ vm: string, token: number, at: number }>>()
  readonly #runningTasks = new Map<string, Set<string>>()
  /** Requests that a planned stop has cut. */
  cut = 0
  /** Requests that arrived at an endpoint more than 3 s after it was told to drain. */
  lateAfterLeaving = 0
  /** Moments at which a job ran on two workers at once. */
  overlappingTaskStarts = 0

  /**
   * Notes that a request has started to run.
   *
   * @param key - its idempotency key
   * @param vm - where
   */
  recordRun (key: string, vm: string): void {
    const runs = this.#runs.get(key)
    const run = { vm, at: Date.now() }
    if (runs === undefined) this.#runs.set(key, [run])
    else runs.push(run)
  }

  /**
   * Returns how often a request ran.
   *
   * @param key - its idempotency key
   */
  countRuns (key: string): number {
    return this.#runs.get(key)?.length ?? 0
  }

  /**
   * Notes that a task starts.
   *
   * @param job - its job
   * @param token - its fencing token
   * @param vm - where
   */
  recordTaskStart (job: string, token: number, vm: string): void {
    const runs = this.#taskRuns.get(job) ?? []
    runs.push({ vm, token, at: Date.now() })
    this.#taskRuns.set(job, runs)
    const runningTasks = this.#runningTasks.get(job) ?? new Set()
    if (runningTasks.size > 0) this.overlappingTaskStarts += 1
    runningTasks.add(`${vm}/${token}`)
    this.#runningTasks.set(job, runningTasks)
  }

  /**
   * Notes that a task has ended, however.
   *
   * @param job - its job
   * @param token - its fencing token
   * @param vm - where
   */
  recordTaskEnd (job: string, token: number, vm: string): void {
    this.#runningTasks.get(job)?.delete(`${vm}/${token}`)
  }

  /**
   * Returns how often a job's task was started.
   *
   * @param job - the job
   */
  countTaskRuns (job: string): number {
    return this.#taskRuns.get(job)?.length ?? 0
  }

  /**
   * Returns when a job's task was first started, in milliseconds since the Unix epoch.
   *
   * @param job - the job
   */
  getFirstTaskStart (job: string): number | undefined {
    return this.#taskRuns.get(job)?.[0]?.at
  }

  /** Starts of tasks beyond the first of each job. */
  get taskRestarts (): number {
    return [...this.#taskRuns.values()].reduce((sum, runs) => sum + runs.length - 1, 0)
  }
}
