/** The leader's loop over jobs: notes ends, stops what must not run, and starts what may. */
import type { Millis } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import { ArrivalMeter } from '../../pools/arrivalMeter/index.js'
import { StarvationDetector } from '../../pools/starvationDetector/index.js'
import type { PoolDemand } from '../../pools/machinesNeeded/index.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import { listStartable } from '../candidates/index.js'
import { coresOf, forecastJob } from '../jobObjective/index.js'
import type { TermContext } from '../leader/context.js'
import { loadOf, measureDemand, type MeasuredJob } from '../measureDemand/index.js'
import { orderJobs } from '../orderJobs/index.js'
import { createPoolWorker } from '../poolWorker/index.js'
import { planStarts, type PlannedStart, type PoolWorker, type StartGroup } from '../planStarts/index.js'
import type { RunStats } from '../runStats/index.js'
import { queueKey } from '../state/handlers.js'
import type { EndNote, JobRecord, Placement, TaskRecord } from '../state/records.js'
import { parseTask, type Queue, type QueueConfig, type Resources, type TaskPlace } from '../types.js'

/** Pause between two rounds, so that ends that come close together share a commit; in milliseconds. */
const ROUND_PAUSE_MS: Millis = 8

/** A round is made at least this often: occurrences fall due, leases run out. */
const ROUND_MS: Millis = 100

/** Workers that must be left alone, and tickets of the advisor. */
export interface SchedulerPolicies {
  /** Whether a worker is to be emptied for upkeep or a move. */
  readonly isCordoned: (session: WorkerSession) => boolean
  /** Workers that the advisor allows for a step; null when nobody is to be asked, undefined while it is asked. */
  readonly allowedOf: (stepKey: string, queue: Queue | undefined, service: string) => ReadonlySet<string> | null | undefined
  /** Ticket of the advisor for a start. */
  readonly ticketOf: (stepKey: string, worker: string) => string | null
}

/** Schedules the jobs of all pools in one term. */
export class BatchScheduler {
  readonly #context: TermContext
  readonly #registry: WorkerRegistry
  readonly #stats: RunStats
  readonly #policies: SchedulerPolicies
  readonly #work: Notifier
  readonly #arrivals = new Map<string, ArrivalMeter>()
  readonly #stuck = new StarvationDetector()
  /** Workers that have starts on their way to the log. */
  #placing: ReadonlySet<string> = new Set()
  #queues = new Map<string, Queue>()
  #config: QueueConfig | null = null

  /**
   * @param context - the term's parts
   * @param registry - the workers
   * @param stats - what is learned from runs
   * @param policies - who must be left alone, and who may run what
   * @param work - fires when there may be something to do
   */
  constructor (context: TermContext, registry: WorkerRegistry, stats: RunStats, policies: SchedulerPolicies, work: Notifier) {
    this.#context = context
    this.#registry = registry
    this.#stats = stats
    this.#policies = policies
    this.#work = work
  }

  /** Makes rounds until the term ends. */
  async run (): Promise<void> {
    const { clock, signal, log } = this.#context
    while (!signal.aborted) {
      const seen = this.#work.count
      try {
        await this.#round()
      } catch (err) {
        if (!signal.aborted) log.warn('scheduler.roundFailed', { reason: (err as Error).message })
      }
      await clock.sleep(ROUND_PAUSE_MS, signal)
      await this.#work.waitBeyond(seen, ROUND_MS, signal)
    }
  }

  /**
   * Returns the service whose workers run a job's tasks.
   *
   * @param job - the job
   */
  serviceOf (job: JobRecord): string {
    this.#refreshQueues()
    return this.#queues.get(job.queue)?.service ?? job.service
  }

  /** @param worker - key of a worker's life; whether starts on it are on their way to the log */
  isPlacingOn (worker: string): boolean {
    return this.#placing.has(worker)
  }

  /** Services whose workers run the tasks of a queue or of an active job. */
  services (): ReadonlySet<string> {
    this.#refreshQueues()
    const services = new Set([...this.#queues.values()].map(({ service }) => service))
    for (const job of this.#context.state.activeJobs.values()) services.add(this.serviceOf(job))
    return services
  }

  /**
   * Takes in a job that was accepted.
   *
   * @param id - id of the job
   */
  observeJob (id: string): void {
    const job = this.#context.state.data.jobs.get(id)
    if (job === undefined || job.steps.some(({ isLasting }) => isLasting)) return
    const correction = this.#stats.correctionOf(job.queue)
    this.#stats.observeJob(job.queue, job.steps.reduce((sum, step) => sum + step.count * step.estimateMs * correction * coresOf(step), 0))
    const service = this.serviceOf(job)
    const room = this.#roomIn(service)
    if (room === undefined || job.repeatCount > 0) return
    const meter = this.#arrivals.get(service) ?? new ArrivalMeter()
    this.#arrivals.set(service, meter)
    meter.add(loadOf(job, room, correction), this.#context.clock.now())
  }

  /**
   * Works out what a service is asked for.
   *
   * @param service - name of the service
   */
  demandOf (service: string): PoolDemand {
    const { clock, state } = this.#context
    const room = this.#roomIn(service)
    const jobs = [...state.activeJobs.values()].filter((job) => this.serviceOf(job) === service)
    const isStarved = this.#stuck.isStarved(service, clock.now())
    if (room === undefined) return { work: [], arrivalRate: 0, longRunningLoad: 0, longRunningSpread: 0, isStarved }
    const arrivalRate = this.#arrivals.get(service)?.rate(clock.now()) ?? 0
    return { ...measureDemand(this.#describeJobs(jobs), room, arrivalRate, clock.wall()), isStarved }
  }

  /** Room of a machine of a service, or of any when it has none at the moment. */
  #roomIn (service: string): Resources | undefined {
    let other: Resources | undefined
    for (const { record } of this.#registry.sessions) {
      if (record.service === service) return record.room
      other = record.room
    }
    return other
  }

  async #round (): Promise<void> {
    await this.#noteEnds()
    if (this.#context.signal.aborted) return
    this.#stopEnded()
    await this.#startWaiting()
    await this.#dismissGone()
  }

  async #noteEnds (): Promise<void> {
    const taken = [...this.#registry.sessions].map((session) => ({ session, ...session.takeRunEnds() }))
    const ends = taken.flatMap(({ ends: notes }) => notes)
    for (const session of this.#registry.sessions) if (session.isLeaseExpired) ends.push(...this.#lostRuns(session))
    ends.push(...this.#orphanedRuns())
    if (ends.length > 0) {
      for (const end of ends) this.#observe(end)
      await this.#context.propose('end', { ends })
    }
    for (const { session, listedSeq } of taken) session.acknowledge(listedSeq)
  }

  #lostRuns (session: WorkerSession): EndNote[] {
    const outcome = session.goneReason === null ? 'lapsed' : 'lost'
    return this.#registry.listEndedRuns(session).map(([task, run]) => ({ task, run, worker: session.key, outcome, checkpoint: session.orders.get(task)?.checkpoint ?? '' }))
  }

  /** Runs on workers that the state does not know any more. */
  #orphanedRuns (): EndNote[] {
    const { state } = this.#context
    const keys = [...state.workersWithRuns].filter((key) => this.#registry.sessionOf(key) === undefined)
    return keys.flatMap((key) => [...state.runsOn(key)].map(([task, { run }]): EndNote => ({ task, run, worker: key, outcome: 'lost', checkpoint: '' })))
  }

  #observe (end: EndNote): void {
    const { clock, log, state } = this.#context
    const place = parseTask(end.task)
    const job = place === null ? undefined : state.data.jobs.get(place.job)
    const active = state.runsOn(end.worker).get(end.task)
    if (end.outcome !== 'done') log.info('run.ended', { task: end.task, run: end.run, worker: end.worker, outcome: end.outcome })
    if (place === null || job === undefined || active?.run !== end.run) return
    if (end.outcome === 'done') {
      const step = job.steps[place.step]
      if (step !== undefined && end.checkpoint === '') this.#stats.observeDone(job.queue, end.worker, step.estimateMs, clock.wall() - active.placedAt)
    } else if (end.outcome === 'failed') this.#stats.observeFailure(end.worker, clock.now())
  }

  #stopEnded (): void {
    const { state } = this.#context
    for (const session of this.#registry.sessions) {
      for (const [task, { run }] of state.runsOn(session.key)) {
        const place = parseTask(task)
        const job = place === null ? undefined : state.data.jobs.get(place.job)
        if (place === null || job === undefined) continue
        const order = session.orders.get(task)
        if (order?.isStopRequested === true && order.run === run) continue
        const isDone = recordOf(job, place)?.isDone === true
        if (job.state === 'active' && !isDone) continue
        this.#context.log.info('run.stopping', { task, run, worker: session.key, reason: isDone ? 'done elsewhere' : `the job is ${job.state}` })
        void session.stop(task, run)
      }
    }
  }

  async #startWaiting (): Promise<void> {
    if (!this.#context.mayOrder()) return
    const placements = this.#plan()
    if (placements.length === 0) return
    this.#placing = new Set(placements.map(({ worker }) => worker))
    const accepted = await this.#context.propose('place', { placements }).finally(() => { this.#placing = new Set() }) as boolean[]
    if (!this.#context.mayOrder()) this.#context.log.info('start.delayed', { count: placements.length, reason: 'the leader lease is not confirmed' })
    placements.forEach((placement, i) => { if (accepted[i] === true) this.#order(placement) })
  }

  #order ({ task, run, worker }: Placement): void {
    const { state, metrics } = this.#context
    const place = parseTask(task) as TaskPlace
    const job = state.data.jobs.get(place.job) as JobRecord
    metrics.count('oleanderward_starts')
    const session = this.#registry.sessionOf(worker)
    const stepKey = `${place.job}.${place.occurrence}.${place.step}`
    void session?.start({ task, run, payload: job.payload, checkpoint: recordOf(job, place)?.checkpoint ?? '', ticket: this.#policies.ticketOf(stepKey, worker) })
  }

  #plan (): Placement[] {
    const { state, clock } = this.#context
    this.#refreshQueues()
    const byService = new Map<string, JobRecord[]>()
    for (const job of state.activeJobs.values()) {
      const service = this.serviceOf(job)
      const jobs = byService.get(service)
      if (jobs === undefined) byService.set(service, [job])
      else jobs.push(job)
    }
    const planned: PlannedStart[] = []
    for (const [service, jobs] of byService) {
      const workers = this.#poolOf(service)
      if (workers.length === 0) continue
      let groups = 0
      const starts = planStarts(workers, countEach(this.#groupsOf(service, jobs, clock.wall()), () => { groups += 1 }))
      this.#stuck.observe(service, { isWaiting: groups > 0, starts: starts.length }, clock.now())
      planned.push(...starts)
    }
    return this.#numberRuns(planned)
  }

  /** Members of a gang share their run number; any other run is one above the task's last. */
  #numberRuns (planned: readonly PlannedStart[]): Placement[] {
    const { state } = this.#context
    return planned.map(({ task, worker }) => {
      const place = parseTask(task) as TaskPlace
      const job = state.data.jobs.get(place.job) as JobRecord
      const tasks = job.occurrences.get(place.occurrence)?.[place.step]?.tasks ?? []
      const own = tasks[place.index]?.lastRun ?? 0
      const last = job.steps[place.step]?.isGang === true ? Math.max(...tasks.map(({ lastRun }) => lastRun)) : own
      return { task, worker, run: last + 1 }
    })
  }

  * #groupsOf (service: string, jobs: readonly JobRecord[], wall: Millis): Generator<StartGroup> {
    for (const { job } of orderJobs(this.#describeJobs(jobs), wall)) {
      yield * listStartable(job, wall, (stepKey) => this.#policies.allowedOf(stepKey, this.#queues.get(job.queue), service))
    }
  }

  #describeJobs (jobs: readonly JobRecord[]): MeasuredJob[] {
    return jobs.map((job) => {
      const queue = this.#queues.get(job.queue)
      const correction = this.#stats.correctionOf(job.queue)
      return {
        job,
        id: job.id,
        correction,
        priority: queue?.priority ?? 0,
        isLasting: job.steps.some(({ isLasting }) => isLasting),
        acceptedAt: job.acceptedAt,
        outlook: forecastJob(job, job.occurrences.get(0) ?? null, queue, correction),
        meanWork: this.#stats.meanWorkOf(job.queue)
      }
    })
  }

  #poolOf (service: string): PoolWorker[] {
    const { clock, state } = this.#context
    const pool: PoolWorker[] = []
    for (const session of this.#registry.sessions) {
      const { record, key } = session
      if (record.service !== service || record.isDraining || !session.isLive || this.#policies.isCordoned(session)) continue
      const runs = state.runsOn(key)
      const startsLeft = this.#stats.startsAllowed(key, clock.now(), runs.size)
      if (startsLeft === 0) continue
      pool.push(createPoolWorker(session, state, { startsLeft, slowness: this.#stats.slownessOf(key) }))
    }
    return pool
  }

  async #dismissGone (): Promise<void> {
    const keys = this.#registry.findDismissable()
    if (keys.length === 0) return
    await this.#context.propose('dismiss', { workers: keys })
    this.#registry.forget(keys)
    for (const key of keys) this.#stats.forget(key)
  }

  #refreshQueues (): void {
    const { config } = this.#context.state.data
    if (config === this.#config) return
    this.#config = config
    this.#queues = new Map(config?.queues.map((queue) => [queueKey(queue), queue]) ?? [])
  }
}

function * countEach<T> (items: Iterable<T>, onItem: () => void): Generator<T> {
  for (const item of items) {
    onItem()
    yield item
  }
}

function recordOf (job: JobRecord, place: TaskPlace): TaskRecord | undefined {
  return job.occurrences.get(place.occurrence)?.[place.step]?.tasks[place.index]
}
