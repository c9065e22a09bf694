/** Collects the runs that workers have begun, to be recorded in the replicated state. */
import type { Clock, Millis } from '../../clock/index.js'
import type { BatchState } from '../state/index.js'
import type { Placement } from '../state/records.js'
import { parseTask } from '../types.js'

/** Starts wait for a commit with placements for this long, and then get one of their own. */
const MAX_DELAY_MS: Millis = 250

/**
 * Knows the confirmed starts of one term that the state lacks. The state needs the first of each job, which tells that the job has started, and all of
 * long-running tasks, which tell the next leader what it need not wait for.
 */
export class RunStartRecorder {
  readonly #clock: Clock
  readonly #state: BatchState
  readonly #takeConfirmed: () => readonly Placement[]
  /** By task, with the time of the confirmation. */
  readonly #unrecorded = new Map<string, { readonly start: Placement, readonly confirmedAt: Millis }>()

  /**
   * @param clock - source of time
   * @param state - replicated state
   * @param takeConfirmed - removes and returns the runs that workers have confirmed since the last call
   */
  constructor (clock: Clock, state: BatchState, takeConfirmed: () => readonly Placement[]) {
    this.#clock = clock
    this.#state = state
    this.#takeConfirmed = takeConfirmed
  }

  /**
   * Lists the starts to record now. They are listed again until the state has them.
   *
   * @param hasCommit - whether something else is committed now
   */
  list (hasCommit: boolean): Placement[] {
    const now = this.#clock.now()
    for (const start of this.#takeConfirmed()) this.#unrecorded.set(start.task, { start, confirmedAt: now })
    let isDue = hasCommit
    for (const [task, { start, confirmedAt }] of this.#unrecorded) {
      if (!this.#isNeeded(start)) this.#unrecorded.delete(task)
      else if (now - confirmedAt >= MAX_DELAY_MS) isDue = true
    }
    return isDue ? [...this.#unrecorded.values()].map(({ start }) => start) : []
  }

  #isNeeded ({ task, run, worker }: Placement): boolean {
    const position = parseTask(task)
    const job = position === null ? undefined : this.#state.data.jobs.get(position.job)
    if (position === null || job?.state !== 'active') return false
    const active = job.occurrences.get(position.occurrence)?.[position.step]?.tasks[position.index]?.active.find((other) => other.run === run && other.worker === worker)
    if (active === undefined || active.hasBegun === true) return false
    return !job.hasStarted || job.steps[position.step]?.isLasting === true
  }
}
