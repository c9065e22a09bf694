/** Limits the starts in flight to one worker, and drops those whose job was cancelled while they waited. */

/** Decides whether a placed run still has to be started. */
export type IsRunNeeded = (task: string, run: number) => boolean

interface WaitingStart {
  readonly task: string
  readonly run: number
  readonly begin: (isNeeded: boolean) => void
}

/** Sends the starts for one worker in the order of their placement. */
export class StartQueue {
  readonly #maxConcurrent: number
  readonly #isNeeded: IsRunNeeded
  readonly #waiting: WaitingStart[] = []
  readonly #inFlight = new Map<string, Promise<void>>()

  /**
   * @param maxConcurrent - maximum number of starts in flight
   * @param isNeeded - called when a start's turn comes
   */
  constructor (maxConcurrent: number, isNeeded: IsRunNeeded) {
    this.#maxConcurrent = maxConcurrent
    this.#isNeeded = isNeeded
  }

  /**
   * Sends a start when its turn comes.
   *
   * @param task - name of the task
   * @param run - number of the run
   * @param send - sends the start and waits for its answer; must not reject
   * @returns false when the run was no longer needed, so that nothing was sent
   */
  async run (task: string, run: number, send: () => Promise<void>): Promise<boolean> {
    const isNeeded = await new Promise<boolean>((resolve) => {
      this.#waiting.push({ task, run, begin: resolve })
      this.#beginNext()
    })
    if (!isNeeded) return false
    const sending = send()
    this.#inFlight.set(task, sending)
    await sending
    this.#inFlight.delete(task)
    this.#beginNext()
    return true
  }

  /**
   * Waits until the starts of a job that are in flight have been answered or have timed out.
   *
   * @param job - id of the job
   */
  async settle (job: string): Promise<void> {
    await Promise.all([...this.#inFlight].filter(([task]) => task.startsWith(`${job}.`)).map(([, sending]) => sending))
  }

  #beginNext (): void {
    while (this.#waiting.length > 0 && this.#inFlight.size < this.#maxConcurrent) {
      const { task, run, begin } = this.#waiting.shift() as WaitingStart
      const isNeeded = this.#isNeeded(task, run)
      // Occupy the slot now: `begin` resumes the caller only in a later microtask.
      if (isNeeded) this.#inFlight.set(task, Promise.resolve())
      begin(isNeeded)
    }
  }
}
