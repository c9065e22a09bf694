/**
 * Drains machines before their maintenance or their move to another pool: cordons them, so that they get no new tasks, and
 * stops the runs that can continue elsewhere.
 */
import type { Millis } from '../../clock/index.js'
import type { TermContext } from '../../batch/leader/context.js'
import { planStarts, type StartableTask } from '../../batch/planStarts/index.js'
import { createPoolWorker } from '../../batch/poolWorker/index.js'
import type { BatchState } from '../../batch/state/index.js'
import type { JobRecord } from '../../batch/state/records.js'
import { formatTask, parseTask, type Step, type TaskPosition } from '../../batch/types.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'

/** Time for which runs that are nearly done or not checkpointable may continue on a draining machine. */
const MAX_DRAIN_WAIT_MS: Millis = 2600

/**
 * A long-running task that fits on no other worker is stopped after this time, which is as long as a maintenance and a
 * concurrent move take.
 */
const MAX_PLACEMENT_WAIT_MS: Millis = 5000

/** A checkpointable run that has reached this percentage may finish within the maximum wait instead of being stopped at once. */
const NEARLY_DONE_PERCENT = 85

/** Percentage at which a long-running task is ready. */
const READY_PERCENT = 100

/** A long-running task that is not ready. */
interface UnavailableTask {
  readonly task: string
  /** Whether it is placed on a worker and not being stopped there. */
  readonly hasWorker: boolean
}

/** Tracks the draining machines during one term, and stops the runs on them. */
export class MachineDrainer {
  readonly #context: TermContext
  readonly #registry: WorkerRegistry
  readonly #hasPendingPlacement: (worker: string) => boolean

  /**
   * @param context - shared dependencies of the term
   * @param registry - sessions with the workers
   * @param hasPendingPlacement - returns whether a placement on a worker is proposed but not yet committed
   */
  constructor (context: TermContext, registry: WorkerRegistry, hasPendingPlacement: (worker: string) => boolean) {
    this.#context = context
    this.#registry = registry
    this.#hasPendingPlacement = hasPendingPlacement
  }

  /**
   * Decides whether no worker of a machine has runs, or a placement that is proposed but not yet committed. Counts unresponsive workers that may
   * still run.
   *
   * @param machine - name of the machine
   */
  isEmpty (machine: string): boolean {
    return this.listSteps(machine).length === 0 && !this.#registry.sessionsOn(machine).some(({ key }) => this.#hasPendingPlacement(key))
  }

  /**
   * Lists the steps of the runs on the workers of a machine that are not known to be gone, also on unresponsive ones.
   *
   * @param machine - name of the machine
   */
  listSteps (machine: string): Step[] {
    const { state } = this.#context
    const tasks = this.#registry.sessionsOn(machine).filter(({ goneReason }) => goneReason === null).flatMap(({ key }) => [...state.runsOn(key).keys()])
    return tasks.map((task) => findStep(task, state)).filter((step) => step !== undefined)
  }

  /** @param machine - machine to cordon from now on */
  begin (machine: string): void {
    this.#registry.cordons.begin(machine)
  }

  /** @param machine - machine to uncordon */
  end (machine: string): void {
    this.#registry.cordons.end(machine)
  }

  /**
   * Decides whether a worker must get no new tasks because its machine is draining.
   *
   * @param session - the worker
   */
  isCordoned (session: WorkerSession): boolean {
    return this.#registry.cordons.has(session.record.machine)
  }

  /**
   * Stops the runs that can continue elsewhere, and the others after a maximum wait. Long-running tasks are stopped only
   * as far as the `maxUnavailable` of their step allows.
   *
   * @param session - worker of a draining machine
   * @returns whether the worker is drained
   */
  advance (session: WorkerSession): boolean {
    const { state, log } = this.#context
    const runs = state.runsOn(session.key)
    const waitedMs = this.#registry.cordons.cordonedForMs(session.record.machine)
    for (const [task, { run }] of runs) {
      const order = session.orders.get(task)
      if (order === undefined || order.isStopRequested) continue
      const position = parseTask(task) as TaskPosition
      const job = state.data.jobs.get(position.job)
      const step = job?.steps[position.step]
      if (job === undefined || step === undefined) continue
      const mayStop = step.isLasting
        ? this.#mayStopLongRunning(job, position, step, session.record.service, waitedMs > MAX_PLACEMENT_WAIT_MS)
        : (step.isCheckpointable && order.percent < NEARLY_DONE_PERCENT) || waitedMs > MAX_DRAIN_WAIT_MS
      if (!mayStop) continue
      log.info('run.stopping', { task, run, worker: session.key, reason: 'its machine is draining' })
      void session.stop(task, run)
    }
    return this.isEmpty(session.record.machine)
  }

  /** Whether a long-running task may be stopped: enough others of its step are ready, and it fits on another worker. */
  #mayStopLongRunning (job: JobRecord, position: TaskPosition, step: Step, service: string, hasWaitedLongEnough: boolean): boolean {
    const unavailable = this.#listUnavailable(job, position)
    if (step.maxUnavailable > 0 && unavailable.length >= step.maxUnavailable) return false
    const unplaced = unavailable.filter(({ hasWorker }) => !hasWorker).map(({ task }) => task)
    return hasWaitedLongEnough || this.#canPlace(step, [...unplaced, formatTask(position)], service)
  }

  /** Lists the other tasks of a step that are not ready. */
  #listUnavailable (job: JobRecord, position: TaskPosition): UnavailableTask[] {
    const tasks = job.occurrences.get(position.occurrence)?.[position.step]?.tasks ?? []
    const unavailable: UnavailableTask[] = []
    tasks.forEach((record, index) => {
      if (index === position.index) return
      const task = formatTask({ ...position, index })
      const active = record.active[0]
      const order = active === undefined ? undefined : this.#registry.sessionOf(active.worker)?.orders.get(task)
      if (order === undefined || order.isStopRequested || order.percent < READY_PERCENT) unavailable.push({ task, hasWorker: active !== undefined && order?.isStopRequested !== true })
    })
    return unavailable
  }

  /** Whether all given tasks of a step fit on the workers that are not draining. */
  #canPlace (step: Step, tasks: readonly string[], service: string): boolean {
    const availableSessions = [...this.#registry.sessionsOf(service)].filter((session) => session.isLive && !session.record.isDraining && !this.isCordoned(session))
    const workers = availableSessions.map((session) => createPoolWorker(session, this.#context.state))
    const groups = tasks.map((task) => {
      const startable: StartableTask = { task, stepKey: task.slice(0, task.lastIndexOf('.')), step, failedOn: [], allowed: null, suspectJob: null }
      return { members: [startable], mayReserve: false }
    })
    return planStarts(workers, groups).length === tasks.length
  }
}

function findStep (task: string, state: BatchState): Step | undefined {
  const position = parseTask(task)
  return position === null ? undefined : state.data.jobs.get(position.job)?.steps[position.step]
}
