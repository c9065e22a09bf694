/** Simulated gangs: their members work from the moment when all of one run are present, and end together. */
import type { ManualClock, Millis } from '../../clock/index.js'
import { parseTask, type RunOutcome, type Step } from '../types.js'
import type { Random } from './random.js'

/** Time for which a member waits for the others. */
const GANG_TIMEOUT_MS: Millis = 1500

const FAILURE_SHARE = 0.05

/** A worker as far as its members of gangs are concerned. */
export interface GangHost {
  /** Ends the worker's runs if its lease has expired. */
  expireLease (): void
  /** Ends one run of the worker. */
  endRun (task: string, outcome: RunOutcome): void
}

interface Gang {
  /** Hosts by task. */
  readonly members: Map<string, GangHost>
  /** Time at which all members were present; null before. */
  beganAt: Millis | null
  tookMs: Millis
}

/** The gangs on all workers. */
export class SimGangs {
  readonly #clock: ManualClock
  readonly #random: Random
  readonly #getStep: (task: string) => Step
  /** By step and run. */
  readonly #gangs = new Map<string, Gang>()

  /**
   * @param clock - source of time
   * @param random - source of run times and outcomes
   * @param getStep - returns the step of a task
   */
  constructor (clock: ManualClock, random: Random, getStep: (task: string) => Step) {
    this.#clock = clock
    this.#random = random
    this.#getStep = getStep
  }

  /**
   * Adds a member that has been started.
   *
   * @param task - name of the task
   * @param run - number of the run
   * @param host - its worker
   */
  join (task: string, run: number, host: GangHost): void {
    const key = gangKey(task, run)
    const gang = this.#gangs.get(key) ?? { members: new Map(), beganAt: null, tookMs: 0 }
    this.#gangs.set(key, gang)
    gang.members.set(task, host)
    const { count, estimateMs } = this.#getStep(task)
    if (gang.members.size < count) {
      this.#clock.after(GANG_TIMEOUT_MS, () => {
        if (gang.beganAt === null && gang.members.get(task) === host) host.endRun(task, 'alone')
      })
      return
    }
    gang.beganAt = this.#clock.now()
    gang.tookMs = estimateMs * (0.5 + this.#random.next())
    const isFailing = this.#random.next() < FAILURE_SHARE
    this.#clock.after(gang.tookMs, () => { this.#finish(key, gang, isFailing) })
  }

  /**
   * Removes a member whose run has ended otherwise, so that the others end as well.
   *
   * @param task - name of the task
   * @param run - number of the run
   * @param host - its worker
   */
  leave (task: string, run: number, host: GangHost): void {
    const key = gangKey(task, run)
    const gang = this.#gangs.get(key)
    if (gang?.members.get(task) !== host) return
    gang.members.delete(task)
    this.#endAll(key, gang, 'broken')
  }

  /**
   * Returns the progress of a gang in percent, 0 until all members are present; null for a task that is in no gang.
   *
   * @param task - name of the task
   * @param run - number of the run
   */
  getPercent (task: string, run: number): number | null {
    const gang = this.#gangs.get(gangKey(task, run))
    if (gang === undefined) return null
    if (gang.beganAt === null) return 0
    return Math.min(100, Math.floor((this.#clock.now() - gang.beganAt) / gang.tookMs * 100))
  }

  #finish (key: string, gang: Gang, isFailing: boolean): void {
    for (const host of [...gang.members.values()]) host.expireLease()
    if (this.#gangs.get(key) !== gang) return
    const [first] = gang.members
    if (isFailing && first !== undefined) first[1].endRun(first[0], 'failed')
    else this.#endAll(key, gang, 'done')
  }

  #endAll (key: string, { members }: Gang, outcome: RunOutcome): void {
    const ending = [...members]
    members.clear()
    this.#gangs.delete(key)
    for (const [task, host] of ending) host.endRun(task, outcome)
  }
}

function gangKey (task: string, run: number): string {
  const position = parseTask(task)
  return `${position?.job}.${position?.occurrence}.${position?.step}#${run}`
}
