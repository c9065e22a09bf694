/** Bounds the starts that are under way to one worker, and drops those whose job has been cancelled while they waited. */

/** Tells whether a run that was placed is still to be started. */
export type IsRunRequested = (task: string, run: number) => boolean

interface WaitingStart {
  readonly task: string
  readonly run: number
  readonly begin: (isRequested: boolean) => void
}

/** Starts for one worker, in the order in which they were decided. */
export class StartQueue {
  readonly #maxConcurrent: number
  readonly #isRequested: IsRunRequested
  readonly #waiting: WaitingStart[] = []
  readonly #inFlight = new Map<string, Promise<void>>()

  /**
   * @param maxConcurrent - most starts under way at once
   * @param isRequested - asked when a start's turn has come
   */
  constructor (maxConcurrent: number, isRequested: IsRunRequested) {
    this.#maxConcurrent = maxConcurrent
    this.#isRequested = isRequested
  }

  /**
   * Sends a start when its turn has come.
   *
   * @param task - name of the task
   * @param run - its run
   * @param send - sends the start and waits for its answer; must not reject
   * @returns false when the run was no longer wanted, so that nothing was sent
   */
  async run (task: string, run: number, send: () => Promise<void>): Promise<boolean> {
    const isRequested = await new Promise<boolean>((resolve) => {
      this.#waiting.push({ task, run, begin: resolve })
      this.#beginNext()
    })
    if (!isRequested) return false
    const sending = send()
    this.#inFlight.set(task, sending)
    await sending
    this.#inFlight.delete(task)
    this.#beginNext()
    return true
  }

  /**
   * Waits until the starts of a job that are under way have been answered or given up.
   *
   * @param job - id of the job
   */
  async settle (job: string): Promise<void> {
    await Promise.all([...this.#inFlight].filter(([task]) => task.startsWith(`${job}.`)).map(([, sending]) => sending))
  }

  #beginNext (): void {
    while (this.#waiting.length > 0 && this.#inFlight.size < this.#maxConcurrent) {
      const { task, run, begin } = this.#waiting.shift() as WaitingStart
      const isRequested = this.#isRequested(task, run)
      // Takes its place at once: `begin` resumes the caller only in a later microtask.
      if (isRequested) this.#inFlight.set(task, Promise.resolve())
      begin(isRequested)
    }
  }
}
