/** Run ends of one simulated worker, which it lists until they are acknowledged. */
import type { EndedRun, RunOutcome } from '../types.js'
import type { DoneEnd } from './endOracle.js'

/** An end that the worker lists until it is acknowledged. */
export interface ListedEnd {
  readonly ended: EndedRun
  /** Set when the run has ended as done. */
  readonly done: DoneEnd | null
  /** Whether an answer has listed it, even one that was lost. */
  readonly isListed: boolean
  /** Whether the lease of the worker has expired since. */
  readonly isLapsed: boolean
}

type OpenEnd = { -readonly [K in keyof ListedEnd]: ListedEnd[K] }

/** Numbers the run ends of one incarnation, and keeps those that are not acknowledged. */
export class SimEnds {
  #open: OpenEnd[] = []
  #lastSeq = 0
  #lapsedSeq = 0

  /** Number of the last end. */
  get lastSeq (): number {
    return this.#lastSeq
  }

  /** Number of ends that are not acknowledged. */
  get openCount (): number {
    return this.#open.length
  }

  /**
   * Records an end.
   *
   * @param task - name of the task
   * @param run - number of the run
   * @param outcome - how the run ended
   * @param done - set when it has ended as done
   */
  add (task: string, run: number, outcome: RunOutcome, done: DoneEnd | null): void {
    this.#open.push({ ended: { seq: ++this.#lastSeq, task, run, outcome, checkpoint: '' }, done, isListed: false, isLapsed: false })
  }

  /**
   * Lists the oldest ends that are not acknowledged.
   *
   * @param limit - maximum number of ends
   */
  list (limit: number): EndedRun[] {
    const listed = this.#open.slice(0, limit)
    for (const end of listed) end.isListed = true
    return listed.map(({ ended }) => ended)
  }

  /**
   * Records that the lease of the worker has expired, so that the leader may ignore the ends so far.
   *
   * @returns whether there are ends since the last expiry
   */
  lapse (): boolean {
    const hasNew = this.#lapsedSeq < this.#lastSeq
    this.#lapsedSeq = this.#lastSeq
    for (const end of this.#open) end.isLapsed = true
    return hasNew
  }

  /**
   * Removes and returns the ends up to a number, listed or not.
   *
   * @param seq - the number
   */
  acknowledge (seq: number): readonly ListedEnd[] {
    const acknowledged = this.#open.filter(({ ended }) => ended.seq <= seq)
    this.#open = this.#open.filter(({ ended }) => ended.seq > seq)
    return acknowledged
  }
}
