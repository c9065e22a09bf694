/** Leader session of a control process: the registries and planners of one term. */
import { setMaxListeners } from 'node:events'
import type { Clock } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import { LONG_POLL_WAIT_MS, VIEW_LEASE_MS } from '../../contracts/constants.js'
import type { PollRequest, PollResponse, ReportRequest, ReportResponse } from '../../contracts/views/index.js'
import type { Replica } from '../../consensus/replica/index.js'
import { EndpointRegistry } from '../../endpoints/registry/index.js'
import { TaskReaper } from '../../jobs/reaper/index.js'
import { ReportFilter } from '../../jobs/reportFilter/index.js'
import { JobScheduler } from '../../jobs/scheduler/index.js'
import { SizeEstimator } from '../../jobs/sizes/index.js'
import { EntryRegistry } from '../../links/entryRegistry/index.js'
import { RefusedError } from '../../links/replies.js'
import type { Logger } from '../../logs/index.js'
import { DrainRunner } from '../../machines/drainRunner/index.js'
import { HealthWatch } from '../../machines/healthWatch/index.js'
import { MovePlanner } from '../../machines/movePlanner/index.js'
import { createViewDelta } from '../../machines/viewDelta/index.js'
import type { PlatformClient } from '../../platform/client/index.js'
import type { CommandType } from '../../state/commands.js'
import type { FleetState } from '../../state/index.js'
import { WaveRunner } from '../../waves/runner/index.js'
import type { Planner, Propose, SessionContext } from './context.js'
import { Purger } from './purger.js'

/** Maximum time for which a poll is held while the entry has requests in flight to a draining VM. */
const MAX_DRAINING_HOLD_MS = 30

const MIN_CYCLE_PAUSE_MS = 20

/** Commands that leave the view of the entries unchanged, but give planners work. */
const PLANNER_COMMANDS: ReadonlySet<CommandType> = new Set(['submitJob', 'startWave', 'setWave', 'endRevocation'])

/** Dependencies of {@link LeaderSession}. */
export interface SessionDeps {
  readonly clock: Clock
  readonly replica: Replica
  readonly state: FleetState
  readonly platform: PlatformClient
  readonly log: Logger
}

/** Session of one term as leader, from the first applied entry of the term to the loss of leadership. */
export class LeaderSession {
  readonly entries: EntryRegistry
  readonly endpoints: EndpointRegistry
  readonly drainRunner: DrainRunner
  readonly #deps: SessionDeps
  readonly #stop = new AbortController()
  /** Notifies when there is an update for entries. */
  readonly #entryUpdates: Notifier
  /** Notifies when planners may have work. */
  readonly #plannerWakeup: Notifier
  readonly #movePlanner: MovePlanner
  readonly #sizeEstimator = new SizeEstimator()
  readonly #reportFilter: ReportFilter

  /** @param deps - dependencies of the session */
  constructor (deps: SessionDeps) {
    const { clock, replica, log } = deps
    setMaxListeners(0, this.#stop.signal)
    this.#deps = deps
    this.#entryUpdates = new Notifier(clock)
    this.#plannerWakeup = new Notifier(clock)
    this.#reportFilter = new ReportFilter(clock)
    this.entries = new EntryRegistry(clock, replica.leaderSince, deps.state.data.entries)
    this.endpoints = new EndpointRegistry(clock, () => { this.#notifyChange() })
    const context: SessionContext = {
      clock,
      since: replica.leaderSince,
      data: () => deps.state.data,
      propose: this.propose,
      entries: this.entries,
      endpoints: this.endpoints,
      platform: deps.platform,
      log: log.withTag('planner')
    }
    this.drainRunner = new DrainRunner(context)
    this.#movePlanner = new MovePlanner(context)
    const planners: Planner[] = [
      new HealthWatch(context),
      new WaveRunner(context),
      this.drainRunner,
      new JobScheduler(context, this.#sizeEstimator),
      new TaskReaper(context),
      this.#movePlanner,
      new Purger(context)
    ]
    for (const planner of planners) void this.#runPlanner(planner)
  }

  get signal (): AbortSignal {
    return this.#stop.signal
  }

  /** Commits a command with the wall-clock time, and wakes the entries and planners that it affects. */
  readonly propose: Propose = async (type, input) => {
    const viewRev = this.#deps.state.data.viewRev
    const result = await this.#deps.replica.propose({ type, at: this.#deps.clock.wall(), ...input })
    if (this.#deps.state.data.viewRev !== viewRev) this.#notifyChange()
    else if (PLANNER_COMMANDS.has(type)) this.#plannerWakeup.notify()
    return result as never
  }

  #notifyChange (): void {
    this.#entryUpdates.notify()
    this.#plannerWakeup.notify()
  }

  /** Stops all loops of the term. */
  end (): void {
    this.#stop.abort()
    this.#notifyChange()
  }

  /**
   * Answers an entry's long poll once there is an update or the hold time has passed, and renews the entry's lease.
   *
   * @param req - the poll
   * @returns the updates and the length of the lease
   * @throws RefusedError or NotLeaderError when leadership has ended
   */
  async poll (req: PollRequest): Promise<PollResponse> {
    const { clock, replica, state } = this.#deps
    const receivedAt = clock.now()
    // Records the entry before its first lease is granted, so that a later leader knows about it.
    if (!state.data.entries.has(req.entry)) await this.propose('enterEntry', { entry: req.entry })
    this.entries.recordPoll(req)
    if (Object.keys(req.inFlight).length > 0 || this.#hasDrainingVm()) this.#plannerWakeup.notify()
    if (req.report !== null) await this.report(req.report)
    // An entry with requests in flight to a draining VM gets its answer early, so that it can soon report their end.
    const holdMs = Object.keys(req.inFlight).length > 0 ? MAX_DRAINING_HOLD_MS : LONG_POLL_WAIT_MS
    while (!this.#hasUpdateFor(req) && !this.#stop.signal.aborted) {
      const remainingMs = holdMs - (clock.now() - receivedAt)
      if (remainingMs <= 0) break
      await this.#entryUpdates.waitBeyond(this.#entryUpdates.count, remainingMs, this.#stop.signal)
    }
    await replica.confirmLeadershipSince(receivedAt, false)
    if (this.#stop.signal.aborted) throw new RefusedError('the leader has changed')
    this.entries.renewLease(req.entry)
    return {
      leaseMs: VIEW_LEASE_MS,
      entries: this.entries.liveCount,
      view: createViewDelta(state.data, req.rev),
      endpoints: this.endpoints.changesSince(req.endpointEpoch, req.endpointRev)
    }
  }

  /**
   * Removes an entry that stops and no longer uses its lease.
   *
   * @param entry - name of the entry
   * @returns whether the entry was known
   */
  async leave (entry: string): Promise<boolean> {
    await this.propose('dropEntries', { entries: [entry] })
    return this.entries.leave(entry)
  }

  /**
   * Records an entry's report about endpoints and tasks.
   *
   * @param req - the report
   * @returns the epoch of the endpoint registry
   */
  async report (req: ReportRequest): Promise<ReportResponse> {
    this.endpoints.report(req)
    this.#movePlanner.observe(req)
    await Promise.all(req.tasks.map(async ({ vm, reports }) => {
      this.#observeSizes(reports)
      const relevantReports = this.#reportFilter.select(this.#deps.state.data, reports)
      if (relevantReports.length > 0) await this.propose('reportTasks', { vm, reports: relevantReports })
    }))
    return { epoch: this.endpoints.epoch }
  }

  #observeSizes (reports: ReportRequest['tasks'][number]['reports']): void {
    for (const { job: id, usage, state } of reports) {
      const job = this.#deps.state.data.jobs.get(id)
      if (job !== undefined && usage !== undefined) this.#sizeEstimator.observe(job, usage, state === 'done')
    }
  }

  /** Whether a VM is draining, and so may wait for the acknowledgement of an entry. */
  #hasDrainingVm (): boolean {
    for (const vm of this.#deps.state.data.vms.values()) if (vm.phase === 'draining') return true
    return false
  }

  #hasUpdateFor (req: PollRequest): boolean {
    const isCurrent = req.endpointEpoch === this.endpoints.epoch && req.endpointRev === this.endpoints.rev
    return req.rev < this.#deps.state.data.viewRev || !isCurrent
  }

  async #runPlanner (planner: Planner): Promise<void> {
    const { clock, log } = this.#deps
    while (!this.#stop.signal.aborted) {
      const seen = this.#plannerWakeup.count
      try {
        await planner.plan()
      } catch (err) {
        if (!this.#stop.signal.aborted) log.withTag('planner').warn(`A cycle of planner ${planner.name} failed: ${(err as Error).message}`)
      }
      await clock.sleep(MIN_CYCLE_PAUSE_MS, this.#stop.signal)
      await this.#plannerWakeup.waitBeyond(seen, planner.intervalMs, this.#stop.signal)
    }
  }
}
