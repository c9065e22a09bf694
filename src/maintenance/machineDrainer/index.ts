/** Empties machines that are to go into upkeep or to another pool: new work is kept away, and what can move is moved. */
import type { Millis } from '../../clock/index.js'
import type { TermContext } from '../../batch/leader/context.js'
import { planStarts, type Startable } from '../../batch/planStarts/index.js'
import { createPoolWorker } from '../../batch/poolWorker/index.js'
import type { JobRecord } from '../../batch/state/records.js'
import { formatTask, parseTask, type Step, type TaskPlace } from '../../batch/types.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'

/** Work that can't save its progress may go on for this long on a machine that is to be emptied. */
const MAX_DRAIN_WAIT_MS: Millis = 2600

/** A task that lasts and fits on no other worker is stopped after this time: as long as an upkeep and a move beside it take. */
const MAX_PLACEMENT_WAIT_MS: Millis = 5000

/** A run that saves its progress is left alone when it is this far. */
const NEARLY_DONE_PERCENT = 85

/** A task that lasts is at work when it is this far. */
const READY_PERCENT = 100

/** A task that lasts and is not at work. */
interface UnavailableTask {
  readonly task: string
  /** It has been given a worker already. */
  readonly hasWorker: boolean
}

/** Keeps the machines that are being emptied in one term. */
export class MachineDrainer {
  readonly #context: TermContext
  readonly #registry: WorkerRegistry
  readonly #hasPendingStarts: (worker: string) => boolean
  readonly #drainingSince = new Map<string, Millis>()

  /**
   * @param context - the term's parts
   * @param registry - the workers
   * @param hasPendingStarts - whether starts on a worker are on their way to the log
   */
  constructor (context: TermContext, registry: WorkerRegistry, hasPendingStarts: (worker: string) => boolean) {
    this.#context = context
    this.#registry = registry
    this.#hasPendingStarts = hasPendingStarts
  }

  /**
   * Tells whether nothing is on a worker, nor about to be.
   *
   * @param session - worker of a machine that is being emptied
   */
  isEmpty (session: WorkerSession): boolean {
    return this.#context.state.runsOn(session.key).size === 0 && !this.#hasPendingStarts(session.key)
  }

  /** @param machine - machine that is given no new work from now on */
  begin (machine: string): void {
    this.#drainingSince.set(machine, this.#context.clock.now())
  }

  /** @param machine - machine that is no longer to be emptied */
  end (machine: string): void {
    this.#drainingSince.delete(machine)
  }

  /**
   * Tells whether a worker must be given no work because its machine is being emptied.
   *
   * @param session - the worker
   */
  isCordoned (session: WorkerSession): boolean {
    return this.#drainingSince.has(session.record.machine)
  }

  /**
   * Stops what can go on elsewhere; the rest is waited for, up to a bound.
   *
   * @param session - worker of a machine that is being emptied
   * @returns whether nothing is left on it
   */
  advance (session: WorkerSession): boolean {
    const { clock, state, log } = this.#context
    const runs = state.runsOn(session.key)
    const waitedMs = clock.now() - (this.#drainingSince.get(session.record.machine) ?? clock.now())
    for (const [task, { run }] of runs) {
      const order = session.orders.get(task)
      if (order === undefined || order.isStopRequested) continue
      const place = parseTask(task) as TaskPlace
      const job = state.data.jobs.get(place.job)
      const step = job?.steps[place.step]
      if (job === undefined || step === undefined) continue
      const mayStop = step.isLasting
        ? this.#mayStopLongRunning(job, place, step, session.record.service, waitedMs > MAX_PLACEMENT_WAIT_MS)
        : (step.isCheckpointable && order.percent < NEARLY_DONE_PERCENT) || waitedMs > MAX_DRAIN_WAIT_MS
      if (!mayStop) continue
      log.info('run.stopping', { task, run, worker: session.key, reason: 'its machine is to be emptied' })
      void session.stop(task, run)
    }
    return this.isEmpty(session)
  }

  /** Whether a task that lasts may be stopped: enough others of its step are at work, and it has a place to go on. */
  #mayStopLongRunning (job: JobRecord, place: TaskPlace, step: Step, service: string, hasWaitedLongEnough: boolean): boolean {
    const unavailable = this.#listUnavailable(job, place)
    if (step.maxUnavailable > 0 && unavailable.length >= step.maxUnavailable) return false
    const unplaced = unavailable.filter(({ hasWorker }) => !hasWorker).map(({ task }) => task)
    return hasWaitedLongEnough || this.#canPlace(step, [...unplaced, formatTask(place)], service)
  }

  /** Other tasks of a step that are not at work. */
  #listUnavailable (job: JobRecord, place: TaskPlace): UnavailableTask[] {
    const tasks = job.occurrences.get(place.occurrence)?.[place.step]?.tasks ?? []
    const unavailable: UnavailableTask[] = []
    tasks.forEach((record, index) => {
      if (index === place.index) return
      const task = formatTask({ ...place, index })
      const active = record.active[0]
      const order = active === undefined ? undefined : this.#registry.sessionOf(active.worker)?.orders.get(task)
      if (order === undefined || order.isStopRequested || order.percent < READY_PERCENT) unavailable.push({ task, hasWorker: active !== undefined && order?.isStopRequested !== true })
    })
    return unavailable
  }

  /** Whether all of some tasks of a step fit on the workers that take new work. */
  #canPlace (step: Step, tasks: readonly string[], service: string): boolean {
    const open = [...this.#registry.sessions].filter((session) => session.record.service === service && session.isLive && !session.record.isDraining && !this.isCordoned(session))
    const workers = open.map((session) => createPoolWorker(session, this.#context.state))
    const groups = tasks.map((task) => {
      const startable: Startable = { task, stepKey: task.slice(0, task.lastIndexOf('.')), step, failedOn: [], allowed: null }
      return { members: [startable], mayReserve: false }
    })
    return planStarts(workers, groups).length === tasks.length
  }
}
