/** Checks that a long-running task which has stopped is started again while there is capacity for it. */
import type { Clock, Millis } from '../../clock/index.js'
import type { Violation } from './endOracle.js'
import type { SimWorker } from './simFleet.js'
import type { SimWorld } from './simWorld.js'

/** A task may be away for this long after its last run. */
const MAX_AWAY_MS: Millis = 6000

/** After that it may wait this long while there is capacity for it. */
const MAX_WAIT_MS: Millis = 3000

/** The wait counts only when no fault has come during it and for this long before. */
const CALM_BEFORE_MS: Millis = 4000

/** Free capacity that must be there, as a multiple of what the task needs. */
const CAPACITY_FACTOR = 2

interface TaskWatch {
  /** When it was running last, or accepted. */
  lastRunAt: Millis
  /** Since when there has been capacity for it; null while it runs or there is none. */
  heldSince: Millis | null
}

/** Watches the long-running tasks of all jobs. */
export class LastingOracle {
  readonly #clock: Clock
  readonly #world: SimWorld
  readonly #violations: Violation[]
  readonly #describe: (task: string) => string
  readonly #tasks = new Map<string, TaskWatch>()
  #lastFaultAt: Millis = 0

  /**
   * @param clock - source of time
   * @param world - state shared by all workers
   * @param violations - receives what it finds
   * @param describe - describes what the leader knows about a task
   */
  constructor (clock: Clock, world: SimWorld, violations: Violation[], describe: (task: string) => string) {
    this.#clock = clock
    this.#world = world
    this.#violations = violations
    this.#describe = describe
  }

  /** @param tasks - names of the tasks of a job that was accepted */
  watch (tasks: readonly string[]): void {
    for (const task of tasks) this.#tasks.set(task, { lastRunAt: this.#clock.now(), heldSince: null })
  }

  /** @param job - id of a job that was cancelled */
  forget (job: string): void {
    for (const task of this.#tasks.keys()) if (task.startsWith(`${job}.`)) this.#tasks.delete(task)
  }

  /** Records that a fault acts now. */
  recordFault (): void {
    this.#lastFaultAt = this.#clock.now()
  }

  /** @param workers - the current incarnations */
  sample (workers: readonly SimWorker[]): void {
    const now = this.#clock.now()
    for (const [task, watch] of this.#tasks) {
      if ((this.#world.runningOn.get(task)?.size ?? 0) > 0) {
        watch.lastRunAt = now
        watch.heldSince = null
        continue
      }
      const { cpu } = this.#world.getStep(task)
      const host = workers.find((worker) => !worker.isDead && !worker.isCutOff && worker.freeCpu >= CAPACITY_FACTOR * cpu)
      if (host === undefined || now - watch.lastRunAt < MAX_AWAY_MS) watch.heldSince = null
      else watch.heldSince ??= now
      if (watch.heldSince === null || now - watch.heldSince < MAX_WAIT_MS || now - this.#lastFaultAt < MAX_WAIT_MS + CALM_BEFORE_MS) continue
      this.#violations.push(`${task} is not started again although incarnation ${host?.born} has capacity for it: ${Math.round(now - watch.lastRunAt)} ms after its last run; ${this.#describe(task)}`)
      this.#tasks.delete(task)
    }
  }
}
