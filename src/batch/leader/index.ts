/** Runs the components that manage jobs while a control process leads, for one term. */
import { setMaxListeners } from 'node:events'
import type { Clock } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import { LeaderLease } from '../../consensus/leaderLease/index.js'
import type { Replica } from '../../consensus/replica/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import type { Metrics } from '../../metrics/index.js'
import type { MachineCalls } from '../../maintenance/types.js'
import { PoolMover } from '../../pools/mover/index.js'
import { MachineDrainer } from '../../maintenance/machineDrainer/index.js'
import { MaintenanceRunner } from '../../maintenance/runner/index.js'
import type { MsgpackLinks } from '../../links/msgpackLink/index.js'
import { WorkerRegistry } from '../../workers/registry/index.js'
import type { ConnectWorkerAddress } from '../../workers/relay/index.js'
import { RelayedWorkerCalls } from '../../workers/relayedCalls/index.js'
import { RelayRouter, type RelayMember } from '../../workers/relayRouter/index.js'
import { JobAdmission } from '../admission/index.js'
import { Advisor, type AdvisorCalls } from '../advisor/index.js'
import { LeaderRequestHandler } from '../requestHandler/index.js'
import { FillerPacer } from '../fillerPacer/index.js'
import { ProgressWatch } from '../progressWatch/index.js'
import type { ControlAnswer, ControlRequest } from '../requests.js'
import { PlaceWait } from '../placeWait/index.js'
import { RunStats } from '../runStats/index.js'
import { RunTimes } from '../runTimes/index.js'
import { BatchScheduler } from '../scheduler/index.js'
import { registerWorkspaceMetrics } from '../workspaceMetrics/index.js'
import type { BatchState } from '../state/index.js'
import { workerKey, type Queue } from '../types.js'
import type { ProposeBatch, TermContext } from './context.js'

/** Ended jobs are kept this much longer than the retention that submitters rely on. */
const RETENTION_MARGIN_MS = 30_000

const PURGE_INTERVAL_MS = 10_000

/** Components of the process that a term uses. */
export interface LeaderDeps {
  readonly clock: Clock
  readonly log: EventLog
  readonly metrics: Metrics
  readonly replica: Replica
  readonly state: BatchState
  readonly lease: LeaderLease
  readonly id: string
  /** Links to the other control processes, which make the calls to workers. */
  readonly links: MsgpackLinks
  /** Creates a client that calls a worker from this process. */
  readonly connect: ConnectWorkerAddress
  readonly machines: MachineCalls
  /** Orders for machines that the platform accepts each second. */
  readonly machineOrdersPerSecond: number
  /** Whether jobs are refused while more work arrives than the machines can do; see `JobAdmission`. */
  readonly refusesUnderOverload: boolean
  readonly advisor: AdvisorCalls | null
  /** Run time of a task away from its data, or of a gang spread over racks, divided by the run time near it. */
  readonly remotePenalty: number
  /** Whether tasks may wait for a place near their data or their group. */
  readonly waitsForNearPlaces: boolean
  /** Longest lease that workers allow, in milliseconds. */
  readonly maxWorkerLeaseMs: number
  /** How long ended jobs stay visible to submitters, in milliseconds. */
  readonly retentionMs: number
}

/** One term as the leader. */
export class BatchLeader {
  readonly term: number
  readonly #deps: LeaderDeps
  readonly #abortController = new AbortController()
  readonly #workNotifier: Notifier
  readonly #registry: WorkerRegistry
  readonly #requestHandler: LeaderRequestHandler
  readonly #advisor: Advisor | null
  readonly #scheduler: BatchScheduler

  /** @param deps - components of the process */
  constructor (deps: LeaderDeps) {
    const { clock, log, replica, state, metrics } = deps
    setMaxListeners(0, this.#abortController.signal)
    this.#deps = deps
    this.term = replica.term
    this.#workNotifier = new Notifier(clock)
    const onWork = (): void => { this.#workNotifier.notify() }
    const propose: ProposeBatch = (type, input) => {
      metrics.count('oleanderward_commands', { type })
      return replica.propose({ type, at: clock.wall(), ...input })
    }
    const context: TermContext = { clock, log, metrics, state, term: this.term, holder: deps.id, propose, mayOrder: () => this.mayOrder(), signal: this.#abortController.signal }
    const router = new RelayRouter(clock, log, () => listOtherMembers(replica))
    const relayedCallsDeps = { clock, links: deps.links, router, connect: deps.connect, mayOrder: () => this.mayOrder(), metrics, term: this.term }
    this.#registry = new WorkerRegistry(context, {
      connect: (worker) => new RelayedWorkerCalls(workerKey(worker), worker, relayedCallsDeps),
      countCallers: () => router.countCallers(),
      maxLeaseMs: deps.maxWorkerLeaseMs
    }, onWork)
    this.#advisor = deps.advisor === null ? null : new Advisor(deps.advisor, clock, log, onWork)
    const drainer = new MachineDrainer(context, this.#registry, (worker) => this.#scheduler.hasPendingPlacementOn(worker))
    const maintenance = new MaintenanceRunner(context, this.#registry, deps.machines, drainer)
    const stats = new RunStats()
    const runTimes = new RunTimes(deps.remotePenalty)
    const placeWait = deps.waitsForNearPlaces ? new PlaceWait({ clock, state, stats, runTimes, log, metrics }) : undefined
    this.#scheduler = new BatchScheduler(context, this.#registry, stats, {
      isCordoned: (session) => drainer.isCordoned(session),
      getAllowedWorkers: (stepKey, queue, service) => this.#getAllowedWorkers(stepKey, queue, service),
      getTicket: (stepKey, worker) => this.#advisor?.getTicket(stepKey, worker) ?? null,
      placeWait
    }, this.#workNotifier, runTimes)
    // Until a new leader has looked at the pools, there are at least the machines of the workers in the state.
    const countMachines = (): number => Number.isFinite(mover.machineCount) || state.data.workers.size === 0 ? mover.machineCount : state.data.workers.size
    const admission: Pick<JobAdmission, 'decide'> = !deps.refusesUnderOverload
      ? { decide: () => null }
      : new JobAdmission(clock, log, metrics, {
        describeJobsOf: (service) => this.#scheduler.demand.describeJobsOf(service),
        findMachineCapacity: (service) => this.#scheduler.demand.findWorkerCapacity(service),
        getEstimateCorrection: (queue) => stats.getEstimateCorrection(queue),
        countAttainable: (service) => Math.min(mover.countAttainable(service), countMachines()),
        countMachines
      })
    this.#requestHandler = new LeaderRequestHandler(context, this.#registry, admission, {
      onWork,
      onJob: (id) => { this.#scheduler.demand.observeJob(id) },
      relayOf: (worker) => router.routeOf(worker),
      waitOf: (task) => placeWait?.waitOf(task) ?? null,
      members: () => {
        const { membersVersion, memberAddresses } = replica.status()
        return { version: membersVersion, addresses: memberAddresses }
      }
    })
    const pacer = new FillerPacer(context, this.#registry)
    const mover = new PoolMover(context, this.#registry, deps.machines, drainer, {
      services: () => this.#scheduler.demand.services(),
      standby: () => state.data.config?.services.find(({ isStandby }) => isStandby)?.name ?? null,
      demandOf: (service) => this.#scheduler.demand.measureServiceDemand(service),
      isInMaintenance: (machine) => maintenance.isInMaintenance(machine),
      ordersPerSecond: deps.machineOrdersPerSecond
    })
    registerWorkspaceMetrics(metrics, state, () => this.mayOrder())
    void this.#scheduler.run()
    void mover.run()
    void new ProgressWatch(context, this.#registry, stats, runTimes).run()
    void maintenance.run()
    void pacer.run()
    void this.#purgeEndedJobs(propose)
    log.info('term.began', { term: this.term, workers: state.data.workers.size, activeJobs: state.activeJobs.size, config: state.data.config?.version ?? null })
  }

  /** Returns whether orders may be sent now: the term has not ended and the leader lease is confirmed. */
  mayOrder (): boolean {
    return !this.#abortController.signal.aborted && this.#deps.replica.term === this.term && this.#deps.lease.isHeld()
  }

  /**
   * Answers a request to the leader.
   *
   * @param req - the request
   */
  answer (req: ControlRequest): Promise<ControlAnswer> {
    return this.#requestHandler.answer(req)
  }

  /** Ends the term and stops all of its components. */
  end (): void {
    if (this.#abortController.signal.aborted) return
    this.#abortController.abort()
    this.#registry.end()
    this.#workNotifier.notify()
    this.#deps.log.info('term.ended', { term: this.term })
  }

  #getAllowedWorkers (stepKey: string, queue: Queue | undefined, service: string): ReadonlySet<string> | null | undefined {
    const advice = queue?.advice ?? null
    if (advice === null || this.#advisor === null) return null
    const live = [...this.#registry.sessionsOf(service)].filter((session) => session.isLive && !session.record.isDraining)
    const tickets = this.#advisor.getTickets({ stepKey, workers: live.map(({ key, record }) => ({ key, id: record.id })), decisionMs: advice.decisionMs, perWorkerMs: advice.perWorkerMs })
    return tickets === undefined ? undefined : new Set(tickets.keys())
  }

  async #purgeEndedJobs (propose: ProposeBatch): Promise<void> {
    const { clock, log, retentionMs, state } = this.#deps
    while (!this.#abortController.signal.aborted) {
      await clock.sleep(PURGE_INTERVAL_MS, this.#abortController.signal)
      const endedBefore = clock.wall() - retentionMs - RETENTION_MARGIN_MS
      const isDue = [...state.data.jobs.values()].some((job) => job.state !== 'active' && job.endedAt < endedBefore)
      if (!isDue || this.#abortController.signal.aborted) continue
      await propose('purge', { endedBefore }).catch((err: unknown) => { log.warn('purge.failed', { reason: (err as Error).message }) })
    }
  }
}

function listOtherMembers (replica: Replica): RelayMember[] {
  const { instance: ownInstance, members } = replica.status()
  return members.filter(({ instance }) => instance !== ownInstance).map(({ address, instance, confirmedAt }) => ({ address, confirmedAt: confirmedAt ?? Number.NEGATIVE_INFINITY, clock: replica.clockOf(instance) }))
}
