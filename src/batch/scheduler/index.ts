/** Control loop of the leader for jobs: records run ends, stops unneeded runs and starts the tasks that may start. */
import type { Millis } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import { assignRunNumbers } from '../assignRunNumbers/index.js'
import { hasStartable, listStartable } from '../candidates/index.js'
import { DemandMeter } from '../demandMeter/index.js'
import type { TermContext } from '../leader/context.js'
import { LostRuns } from '../lostRuns/index.js'
import type { PlaceWait } from '../placeWait/index.js'
import { createPoolWorker } from '../poolWorker/index.js'
import { planStarts, type PlannedStart, type PoolWorker, type WorkspaceGroup } from '../planStarts/index.js'
import { RunEndRecorder } from '../runEndRecorder/index.js'
import { RunStartRecorder } from '../runStartRecorder/index.js'
import type { RunStats } from '../runStats/index.js'
import type { RunTimes } from '../runTimes/index.js'
import { StartOrder } from '../startOrder/index.js'
import { listStrayTasks, sumRooms } from '../startOrder/pool.js'
import { findQueue } from '../state/queues/index.js'
import type { JobRecord, Placement, TaskRecord } from '../state/records.js'
import { hasCopyableStep, TaskCopier } from '../taskCopier/index.js'
import { describeTrials, isOnTrial, isSuspectTask } from '../trials/index.js'
import { parseTask, type Queue, type TaskPosition } from '../types.js'
import { CapWatch } from '../../workspaces/capWatch/index.js'
import { UseMeter } from '../../workspaces/useMeter/index.js'

/** Batches run ends that arrive close together into one commit. */
const CYCLE_PAUSE_MS: Millis = 8

/** Due occurrences and expired leases trigger no notification, so the loop also runs on a timer. */
const MAX_CYCLE_INTERVAL_MS: Millis = 100

/** Interval between looks at all workers for expired leases, which no notification announces. */
const WORKER_CHECK_INTERVAL_MS: Millis = 50

/** Restrictions on placement: cordoned workers and the decisions of the advisor. */
export interface SchedulerPolicies {
  /** Returns whether a worker is cordoned because its machine is drained for maintenance or a move. */
  readonly isCordoned: (session: WorkerSession) => boolean
  /** Returns the workers that the advisor allows for a step; null without an advisor, undefined while its answer is pending. */
  readonly getAllowedWorkers: (stepKey: string, queue: Queue | undefined, service: string) => ReadonlySet<string> | null | undefined
  /** Returns the advisor's ticket for a start, or null when there is none. */
  readonly getTicket: (stepKey: string, worker: string) => string | null
  /** Decides which tasks wait for a place near their data or their group; left out when none does. */
  readonly placeWait?: PlaceWait
}

/** Schedules the jobs of all pools during one term. */
export class BatchScheduler {
  /** Forecasts of the jobs, and the demand of the services. */
  readonly demand: DemandMeter
  readonly #context: TermContext
  readonly #registry: WorkerRegistry
  readonly #stats: RunStats
  readonly #policies: SchedulerPolicies
  readonly #copier: TaskCopier
  readonly #workNotifier: Notifier
  readonly #runEndRecorder: RunEndRecorder
  readonly #runStartRecorder: RunStartRecorder
  readonly #useMeter = new UseMeter()
  readonly #capWatch: CapWatch
  /** Workers with placements that are proposed but not yet committed. */
  #workersWithPendingPlacements: ReadonlySet<string> = new Set()
  #workersCheckedAt: Millis = Number.NEGATIVE_INFINITY
  /** Whether this cycle looks for expired leases and workers to dismiss. */
  #isWorkerCheckDue = true

  /**
   * @param context - shared dependencies of the term
   * @param registry - sessions with the workers
   * @param stats - statistics of past runs
   * @param policies - restrictions on placement
   * @param workNotifier - notified when there may be something to schedule
   * @param runTimes - learns run times; left out when nobody reads them
   */
  constructor (context: TermContext, registry: WorkerRegistry, stats: RunStats, policies: SchedulerPolicies, workNotifier: Notifier, runTimes?: RunTimes) {
    this.#context = context
    this.#capWatch = new CapWatch(context.log)
    this.#registry = registry
    this.#copier = new TaskCopier(context, registry)
    this.#runEndRecorder = new RunEndRecorder(context, registry, new LostRuns(context.clock, context.state, registry), stats, this.#copier, runTimes)
    this.#runStartRecorder = new RunStartRecorder(context.clock, context.state, () => registry.takeBegunRuns())
    this.#stats = stats
    this.demand = new DemandMeter(context, stats)
    this.#policies = policies
    this.#workNotifier = workNotifier
  }

  /** Runs scheduling cycles until the term ends. */
  async run (): Promise<void> {
    const { clock, signal, log } = this.#context
    while (!signal.aborted) {
      const seen = this.#workNotifier.count
      try {
        await this.#runCycle()
      } catch (err) {
        if (!signal.aborted) log.warn('scheduler.roundFailed', { reason: (err as Error).message })
      }
      await clock.sleep(CYCLE_PAUSE_MS, signal)
      await this.#workNotifier.waitBeyond(seen, MAX_CYCLE_INTERVAL_MS, signal)
    }
  }

  /**
   * Returns whether a placement on a worker is proposed but not yet committed.
   *
   * @param worker - key of the worker's incarnation
   */
  hasPendingPlacementOn (worker: string): boolean {
    return this.#workersWithPendingPlacements.has(worker)
  }

  async #runCycle (): Promise<void> {
    this.#isWorkerCheckDue = this.#isTimeToCheckWorkers()
    await this.#runEndRecorder.record(this.#isWorkerCheckDue)
    if (this.#context.signal.aborted) return
    this.#stopUnneededRuns()
    await this.#startWaitingTasks()
    if (this.#isWorkerCheckDue) await this.#dismissGoneWorkers()
  }

  #isTimeToCheckWorkers (): boolean {
    const now = this.#context.clock.now()
    if (!this.#registry.takeNewlyGone() && now - this.#workersCheckedAt < WORKER_CHECK_INTERVAL_MS) return false
    this.#workersCheckedAt = now
    return true
  }

  #stopUnneededRuns (): void {
    const { state, log } = this.#context
    for (const [{ run, worker }, task] of state.unneededRuns) {
      const session = this.#registry.sessionOf(worker)
      const order = session?.orders.get(task)
      if (session === undefined || (order?.isStopRequested === true && order.run === run)) continue
      const job = state.data.jobs.get((parseTask(task) as TaskPosition).job)
      log.info('run.stopping', { task, run, worker, reason: job?.state === 'active' ? 'the task is already done' : `the job is ${job?.state}` })
      void session.stop(task, run)
    }
  }

  async #startWaitingTasks (): Promise<void> {
    if (!this.#context.mayOrder()) return
    const placements = this.#planPlacements()
    const started = this.#runStartRecorder.list(placements.length > 0)
    if (placements.length === 0 && started.length === 0) return
    this.#workersWithPendingPlacements = new Set(placements.map(({ worker }) => worker))
    const accepted = await this.#context.propose('place', { placements, recordsStarts: true, started }).finally(() => { this.#workersWithPendingPlacements = new Set() }) as boolean[]
    this.#observeUse()
    if (placements.length > 0 && !this.#context.mayOrder()) this.#context.log.info('start.delayed', { count: placements.length, reason: 'the leader lease is not confirmed' })
    placements.forEach((placement, i) => { if (accepted[i] === true) this.#sendStart(placement) })
  }

  #observeUse (): void {
    const { state, clock } = this.#context
    if (state.data.config?.workspaces != null) this.#useMeter.observe(state.workspaceUse, clock.now())
  }

  #sendStart ({ task, run, worker }: Placement): void {
    const { clock, state, metrics } = this.#context
    const position = parseTask(task) as TaskPosition
    const job = state.data.jobs.get(position.job) as JobRecord
    metrics.count('oleanderward_starts')
    this.#stats.observePlacement(worker, clock.now())
    this.#copier.recordPlacement(task, run)
    const session = this.#registry.sessionOf(worker)
    const stepKey = `${position.job}.${position.occurrence}.${position.step}`
    void session?.start({ task, run, payload: job.payload, checkpoint: findTaskRecord(job, position)?.checkpoint ?? '', ticket: this.#policies.getTicket(stepKey, worker), isTrial: isSuspectTask(task, state), isLasting: job.steps[position.step]?.isLasting === true })
  }

  #planPlacements (): Placement[] {
    const { state, clock } = this.#context
    const wall = clock.wall()
    const byService = new Map<string, JobRecord[]>()
    const copyableByService = new Map<string, JobRecord[]>()
    const servicesWithSuspects = new Set<string>()
    for (const job of state.activeJobs.values()) {
      const service = this.demand.getService(job)
      if (job.isSuspect) servicesWithSuspects.add(service)
      let waiting = byService.get(service)
      if (waiting === undefined) byService.set(service, waiting = [])
      if (hasStartable(job, wall)) waiting.push(job)
      if (this.#isWorkerCheckDue && hasCopyableStep(job)) {
        const copyable = copyableByService.get(service)
        if (copyable === undefined) copyableByService.set(service, [job])
        else copyable.push(job)
      }
    }
    const planned: PlannedStart[] = []
    this.#observeUse()
    const startOrder = new StartOrder(state, wall, this.#useMeter, listStrayTasks(this.#registry.sessions, state))
    for (const [service, waiting] of byService) {
      const copies = this.#listCopies(service, copyableByService.get(service) ?? [])
      if (waiting.length === 0) this.demand.observeStarts(service, { isWaiting: false, starts: 0 })
      if (waiting.length === 0 && copies.length === 0) continue
      const workers = this.#listPoolWorkers(service, servicesWithSuspects.has(service))
      if (workers.length === 0) continue
      let tasks = 0
      const placeWait = this.#policies.placeWait?.beginCycle(service)
      const ordered = startOrder.list({
        jobs: this.demand.describeJobs(waiting),
        capacity: sumRooms(workers),
        includesQueue: (queue) => (findQueue(state.data, queue)?.service ?? service) === service,
        listGroups: ({ job }) => listStartable(job, wall, (stepKey) => this.#policies.getAllowedWorkers(stepKey, this.demand.findQueue(job), service), !isOnTrial(job, this.#registry))
      })
      const starts = planStarts(workers, countEach(ordered, ({ members }) => { tasks += members.length }), (group) => { startOrder.recordStart(group) }, placeWait)
      // Tasks that could start elsewhere and wait for a near place need nothing now.
      tasks -= placeWait?.waitingCount ?? 0
      if (waiting.length > 0) this.demand.observeStarts(service, { isWaiting: tasks > 0, starts: starts.length })
      planned.push(...starts)
      // Copies use only what no waiting task needs.
      if (starts.length === tasks) planned.push(...planStarts(workers, startOrder.listAllowed(copies), (group) => { startOrder.recordStart(group) }))
    }
    this.#capWatch.observe(startOrder.refusedWorkspaces, clock.now())
    return assignRunNumbers(planned, state)
  }

  #listCopies (service: string, jobs: readonly JobRecord[]): WorkspaceGroup[] {
    return [...this.#copier.listCopies(jobs, (stepKey, job) => this.#policies.getAllowedWorkers(stepKey, this.demand.findQueue(job), service))]
  }

  #listPoolWorkers (service: string, hasSuspects: boolean): PoolWorker[] {
    const { clock, state } = this.#context
    const pool: PoolWorker[] = []
    for (const session of this.#registry.sessionsOf(service)) {
      const { record, key } = session
      if (record.isDraining || !session.mayStartRuns || this.#policies.isCordoned(session)) continue
      const startsLeft = this.#stats.countAllowedStarts(key, clock.now())
      if (startsLeft === 0) continue
      const trials = hasSuspects ? describeTrials(session, state) : undefined
      if (trials?.isTrial === true) continue
      pool.push(createPoolWorker(session, state, { startsLeft, slowdown: this.#stats.getSlowdown(key) }, trials))
    }
    return pool
  }

  async #dismissGoneWorkers (): Promise<void> {
    this.#copier.forgetEnded()
    const keys = this.#registry.findDismissable()
    if (keys.length === 0) return
    await this.#context.propose('dismiss', { workers: keys })
    this.#registry.forget(keys)
    for (const key of keys) this.#stats.forget(key)
  }
}

function * countEach<T> (items: Iterable<T>, onItem: (item: T) => void): Generator<T> {
  for (const item of items) {
    onItem(item)
    yield item
  }
}

function findTaskRecord (job: JobRecord, position: TaskPosition): TaskRecord | undefined {
  return job.occurrences.get(position.occurrence)?.[position.step]?.tasks[position.index]
}
