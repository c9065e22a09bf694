/** What a control process does for jobs while it leads: one term from its first applied entry to its end. */
import { setMaxListeners } from 'node:events'
import type { Clock } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import { ConfirmedLease } from '../../consensus/confirmedLease/index.js'
import type { Replica } from '../../consensus/replica/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import type { Metrics } from '../../metrics/index.js'
import type { MachineCalls } from '../../maintenance/types.js'
import { PoolMover } from '../../pools/mover/index.js'
import { MachineDrainer } from '../../maintenance/machineDrainer/index.js'
import { MaintenanceRunner } from '../../maintenance/runner/index.js'
import { WorkerRegistry, type ConnectWorker } from '../../workers/registry/index.js'
import { Advisor, type AdvisorCalls } from '../advisor/index.js'
import { Desk } from '../desk/index.js'
import { FillerPacer } from '../fillerPacer/index.js'
import { ProgressWatch } from '../progressWatch/index.js'
import type { ControlAnswer, ControlRequest } from '../requests.js'
import { RunStats } from '../runStats/index.js'
import { BatchScheduler } from '../scheduler/index.js'
import type { BatchState } from '../state/index.js'
import type { Queue } from '../types.js'
import type { ProposeBatch, TermContext } from './context.js'

/** Ended jobs are kept this long beyond the time for which they must be shown, in milliseconds. */
const RETENTION_MARGIN_MS = 30_000

const PURGE_PAUSE_MS = 10_000

/** Parts of the process that a term uses. */
export interface LeaderDeps {
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: Metrics
  readonly replica: Replica
  readonly state: BatchState
  readonly lease: ConfirmedLease
  readonly id: string
  readonly connect: ConnectWorker
  readonly machines: MachineCalls
  readonly advisor: AdvisorCalls | null
  /** How long ended jobs are shown, in milliseconds. */
  readonly retentionMs: number
}

/** One term as leader. */
export class BatchLeader {
  readonly term: number
  readonly #deps: LeaderDeps
  readonly #stop = new AbortController()
  readonly #work: Notifier
  readonly #registry: WorkerRegistry
  readonly #desk: Desk
  readonly #advisor: Advisor | null
  readonly #scheduler: BatchScheduler

  /** @param deps - the process's parts */
  constructor (deps: LeaderDeps) {
    const { clock, log, replica, state, metrics } = deps
    setMaxListeners(0, this.#stop.signal)
    this.#deps = deps
    this.term = replica.term
    this.#work = new Notifier(clock)
    const onWork = (): void => { this.#work.notify() }
    const propose: ProposeBatch = (type, input) => replica.propose({ type, at: clock.wall(), ...input })
    const context: TermContext = { clock, log, metrics, state, term: this.term, holder: deps.id, propose, mayOrder: () => this.mayOrder(), signal: this.#stop.signal }
    this.#registry = new WorkerRegistry(context, deps.connect, onWork)
    this.#advisor = deps.advisor === null ? null : new Advisor(deps.advisor, clock, log, onWork)
    const emptier = new MachineDrainer(context, this.#registry, (worker) => this.#scheduler.isPlacingOn(worker))
    const upkeep = new MaintenanceRunner(context, this.#registry, deps.machines, emptier)
    const stats = new RunStats()
    this.#scheduler = new BatchScheduler(context, this.#registry, stats, {
      isCordoned: (session) => emptier.isCordoned(session),
      allowedOf: (stepKey, queue, service) => this.#allowedOf(stepKey, queue, service),
      ticketOf: (stepKey, worker) => this.#advisor?.ticketOf(stepKey, idOf(worker)) ?? null
    }, this.#work)
    this.#desk = new Desk(context, this.#registry, {
      onWork,
      onJob: (id) => { this.#scheduler.observeJob(id) },
      members: () => replica.status().members.map(({ address }) => address)
    })
    const pacer = new FillerPacer(context, this.#registry)
    const mover = new PoolMover(context, this.#registry, deps.machines, emptier, {
      services: () => this.#scheduler.services(),
      standby: () => state.data.config?.services.find(({ isStandby }) => isStandby)?.name ?? null,
      demandOf: (service) => this.#scheduler.demandOf(service),
      isInMaintenance: (machine) => upkeep.isInMaintenance(machine)
    })
    void this.#scheduler.run()
    void mover.run()
    void new ProgressWatch(context, this.#registry, stats).run()
    void upkeep.run()
    void pacer.run()
    void this.#purge(propose)
    log.info('term.began', { term: this.term, workers: state.data.workers.size, activeJobs: state.activeJobs.size, config: state.data.config?.version ?? null })
  }

  /** Whether orders may be given at this moment. */
  mayOrder (): boolean {
    return !this.#stop.signal.aborted && this.#deps.replica.term === this.term && this.#deps.lease.holds()
  }

  /** @param req - a request to the leader */
  answer (req: ControlRequest): Promise<ControlAnswer> {
    return this.#desk.answer(req)
  }

  /** Ends all work of the term. */
  end (): void {
    if (this.#stop.signal.aborted) return
    this.#stop.abort()
    this.#registry.end()
    this.#work.notify()
    this.#deps.log.info('term.ended', { term: this.term })
  }

  #allowedOf (stepKey: string, queue: Queue | undefined, service: string): ReadonlySet<string> | null | undefined {
    const advice = queue?.advice ?? null
    if (advice === null || this.#advisor === null) return null
    const live = [...this.#registry.sessions].filter((session) => session.record.service === service && session.isLive && !session.record.isDraining)
    const tickets = this.#advisor.ticketsFor({ stepKey, workerIds: live.map(({ record }) => record.id), decisionMs: advice.decisionMs, perWorkerMs: advice.perWorkerMs })
    if (tickets === undefined) return undefined
    return new Set(live.filter(({ record }) => tickets.has(record.id)).map(({ key }) => key))
  }

  async #purge (propose: ProposeBatch): Promise<void> {
    const { clock, log, retentionMs, state } = this.#deps
    while (!this.#stop.signal.aborted) {
      await clock.sleep(PURGE_PAUSE_MS, this.#stop.signal)
      const endedBefore = clock.wall() - retentionMs - RETENTION_MARGIN_MS
      const isDue = [...state.data.jobs.values()].some((job) => job.state !== 'active' && job.endedAt < endedBefore)
      if (!isDue || this.#stop.signal.aborted) continue
      await propose('purge', { endedBefore }).catch((err: unknown) => { log.warn('purge.failed', { reason: (err as Error).message }) })
    }
  }
}

function idOf (worker: string): string {
  return worker.slice(0, worker.lastIndexOf('@'))
}
