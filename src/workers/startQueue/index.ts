/** Limits the starts in flight to one worker, and takes back those that must not be sent any more. */

/** Decides whether a placed run may still be started. */
export type MayStart = (task: string, run: number) => boolean

interface WaitingStart {
  readonly task: string
  readonly run: number
  readonly begin: (maySend: boolean) => void
}

/** Sends the starts for one worker in the order of their placement. */
export class StartQueue {
  readonly #maxConcurrent: number
  readonly #mayStart: MayStart
  #waiting: WaitingStart[] = []
  readonly #inFlight = new Map<string, Promise<void>>()

  /**
   * @param maxConcurrent - maximum number of starts in flight
   * @param mayStart - called when a start's turn comes, and by {@link takeBack}
   */
  constructor (maxConcurrent: number, mayStart: MayStart) {
    this.#maxConcurrent = maxConcurrent
    this.#mayStart = mayStart
  }

  /**
   * Sends a start when its turn comes.
   *
   * @param task - name of the task
   * @param run - number of the run
   * @param send - sends the start and waits for its answer; must not reject
   * @returns false when the start was taken back, so that nothing was sent
   */
  async run (task: string, run: number, send: () => Promise<void>): Promise<boolean> {
    const maySend = await new Promise<boolean>((resolve) => {
      this.#waiting.push({ task, run, begin: resolve })
      this.#beginNext()
    })
    if (!maySend) return false
    const sending = send()
    this.#inFlight.set(task, sending)
    await sending
    this.#inFlight.delete(task)
    this.#beginNext()
    return true
  }

  /** Takes back the waiting starts that must not be sent any more, without waiting for their turn, so that they are placed again at once. */
  takeBack (): void {
    const waiting = this.#waiting
    this.#waiting = []
    for (const start of waiting) {
      if (this.#mayStart(start.task, start.run)) this.#waiting.push(start)
      else start.begin(false)
    }
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
      const maySend = this.#mayStart(task, run)
      // Occupy the slot now: `begin` resumes the caller only in a later microtask.
      if (maySend) this.#inFlight.set(task, Promise.resolve())
      begin(maySend)
    }
  }
}
