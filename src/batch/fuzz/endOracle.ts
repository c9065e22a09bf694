/** Checks that no task starts after an end that is acknowledged, then or later. */
import { parseTask } from '../types.js'

/** Description of a violated invariant. */
export type Violation = string

/** A run that has ended as done on a worker that may still report it. */
export interface DoneEnd {
  readonly task: string
  readonly run: number
  /** Starts of its unit before the end. */
  readonly startsBefore: number
}

interface Unit {
  starts: number
  lastStart: string
  /** The first end that was acknowledged. */
  finishedBy: string | null
}

/**
 * Watches all workers. A unit is a task, or all tasks of a gang, since the end of one member stands for all.
 *
 * An end counts as acknowledged when an acknowledgement reaches its number, whether or not the worker has listed it. The caller leaves out
 * an end if the lease of its worker has expired since.
 */
export class EndOracle {
  readonly #violations: Violation[]
  readonly #isGang: (task: string) => boolean
  readonly #units = new Map<string, Unit>()

  /**
   * @param violations - receives what it finds
   * @param isGang - returns whether a task is a member of a gang
   */
  constructor (violations: Violation[], isGang: (task: string) => boolean) {
    this.#violations = violations
    this.#isGang = isGang
  }

  /**
   * Records that a run has begun.
   *
   * @param task - name of the task
   * @param run - number of the run
   * @param worker - incarnation of the worker
   */
  recordStart (task: string, run: number, worker: string): void {
    const name = this.#unitName(task)
    const unit = this.#unitOf(name)
    const start = `run ${run} of ${task} on ${worker}`
    if (unit.finishedBy !== null) this.#violations.push(`${name} is started after its end was acknowledged: ${start}, after ${unit.finishedBy}`)
    unit.starts += 1
    unit.lastStart = start
  }

  /**
   * Records that a run has ended as done.
   *
   * @param task - name of the task
   * @param run - number of the run
   */
  recordDone (task: string, run: number): DoneEnd {
    return { task, run, startsBefore: this.#unitOf(this.#unitName(task)).starts }
  }

  /**
   * Records that the end of a run is acknowledged.
   *
   * @param end - the end, since which the lease of its worker has not expired
   * @param worker - incarnation of the worker
   * @param isListed - whether the worker has listed the end
   */
  recordAcknowledged ({ task, run, startsBefore }: DoneEnd, worker: string, isListed: boolean): void {
    const name = this.#unitName(task)
    const unit = this.#unitOf(name)
    const end = `the end of run ${run} of ${task} on ${worker}${isListed ? '' : ', which it never listed'}`
    if (unit.starts > startsBefore) this.#violations.push(`${name} was started after an end that is acknowledged later: ${unit.lastStart}, after ${end}`)
    unit.finishedBy ??= end
  }

  #unitOf (name: string): Unit {
    let unit = this.#units.get(name)
    if (unit === undefined) this.#units.set(name, unit = { starts: 0, lastStart: '', finishedBy: null })
    return unit
  }

  #unitName (task: string): string {
    const position = parseTask(task)
    return position !== null && this.#isGang(task) ? `${position.job}.${position.occurrence}.${position.step}` : task
  }
}
