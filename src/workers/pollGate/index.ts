/**
 * Limits the polls in flight that workers answer at once: a new leader's first ones, and those after a failure.
 *
 * Handles the start of a term on fleets of thousands of workers, where polls of all workers at once would make the heartbeats late
 * that keep the term alive. The workers whose leases run out first go first.
 */

/** `withRuns`: first poll of a worker with runs; `idle`: first poll of any other worker; `retry`: poll after a failed one. */
export type PollPriority = 'withRuns' | 'idle' | 'retry'

const PRIORITIES: readonly PollPriority[] = ['withRuns', 'idle', 'retry']

/** Share of the limit that retries may use, since workers that don't answer hold their place until the time-out. */
const MAX_RETRY_SHARE = 0.5

/** Ends the poll's use of the gate. */
export type LeaveGate = () => void

/** Admits polls by priority, in the order of their arrival. */
export class PollGate {
  readonly #limit: () => number
  readonly #waiting: Readonly<Record<PollPriority, Array<() => void>>> = { withRuns: [], idle: [], retry: [] }
  #inFlight = 0
  #retriesInFlight = 0

  /** @param limit - returns how many polls may be in flight */
  constructor (limit: () => number) {
    this.#limit = limit
  }

  /** Whether first polls are waiting, so that not all workers are known to be alive yet. */
  get hasWaitingFirstPolls (): boolean {
    return this.#waiting.withRuns.length + this.#waiting.idle.length > 0
  }

  /**
   * Waits until the poll may be sent.
   *
   * @param priority - priority of the poll
   * @returns a function to call once the poll is answered or has failed
   */
  async enter (priority: PollPriority): Promise<LeaveGate> {
    await new Promise<void>((resolve) => {
      this.#waiting[priority].push(resolve)
      this.#admit()
    })
    return () => { this.#leave(priority) }
  }

  #leave (priority: PollPriority): void {
    this.#inFlight -= 1
    if (priority === 'retry') this.#retriesInFlight -= 1
    this.#admit()
  }

  #admit (): void {
    const limit = this.#limit()
    for (const priority of PRIORITIES) {
      const waiting = this.#waiting[priority]
      while (waiting.length > 0 && this.#hasRoom(priority, limit)) {
        this.#inFlight += 1
        if (priority === 'retry') this.#retriesInFlight += 1
        waiting.shift()?.()
      }
    }
  }

  #hasRoom (priority: PollPriority, limit: number): boolean {
    return this.#inFlight < limit && (priority !== 'retry' || this.#retriesInFlight < limit * MAX_RETRY_SHARE)
  }
}
