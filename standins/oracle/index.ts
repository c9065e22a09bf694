/** Records what actually ran on the stand-ins, so that tests and benches can check the guarantees to callers. */

/** One run of a request at an endpoint. */
export interface RequestRun {
  readonly vm: string
  /** When it started, in milliseconds since the Unix epoch. */
  readonly at: number
}

/** Record of all runs, written by the stand-ins and read by tests and benches. */
export class Oracle {
  readonly #runs = new Map<string, RequestRun[]>()
  readonly #taskRuns = new Map<string, Array<{ vm: string, token: number, at: number }>>()
  readonly #runningTasks = new Map<string, Set<string>>()
  /** Number of requests that were cut off by a planned stop. */
  cut = 0
  /** Number of requests that arrived at an endpoint more than 3 s after it was told to drain. */
  lateAfterLeaving = 0
  /** Number of task starts while an earlier run of the same job was still running. */
  overlappingTaskStarts = 0

  /**
   * Records that a request has started to run.
   *
   * @param key - idempotency key of the request
   * @param vm - VM that runs it
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
   * @param key - idempotency key of the request
   * @returns number of runs on all VMs
   */
  countRuns (key: string): number {
    return this.#runs.get(key)?.length ?? 0
  }

  /**
   * Records that a task starts.
   *
   * @param job - id of its job
   * @param token - its fencing token
   * @param vm - VM that runs it
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
   * Records that a task has ended, whatever its result.
   *
   * @param job - id of its job
   * @param token - its fencing token
   * @param vm - VM that ran it
   */
  recordTaskEnd (job: string, token: number, vm: string): void {
    this.#runningTasks.get(job)?.delete(`${vm}/${token}`)
  }

  /**
   * Returns how often the task of a job was started.
   *
   * @param job - id of the job
   * @returns number of starts on all VMs
   */
  countTaskRuns (job: string): number {
    return this.#taskRuns.get(job)?.length ?? 0
  }

  /**
   * Returns when the task of a job was first started.
   *
   * @param job - id of the job
   * @returns the time in milliseconds since the Unix epoch, or undefined if it never started
   */
  getFirstTaskStart (job: string): number | undefined {
    return this.#taskRuns.get(job)?.[0]?.at
  }

  /** Number of task starts beyond the first one of each job. */
  get taskRestarts (): number {
    return [...this.#taskRuns.values()].reduce((sum, runs) => sum + runs.length - 1, 0)
  }
}
