/** What a control process does only while it leads: registries and planners of one term. */
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

/** Longest hold of a poll while a drain waits for the entry's requests, in milliseconds. */
const DRAINING_HOLD_MS = 30

/** Shortest pause between two rounds of a planner, in milliseconds. */
const MIN_PLANNING_PAUSE_MS = 20

/** Commands that entries need not know of, but planners act on. */
const PLANNED_COMMANDS: ReadonlySet<CommandType> = new Set(['submitJob', 'startWave', 'setWave', 'endRevocation'])

/** Dependencies of {@link LeaderSession}. */
export interface SessionDeps {
  readonly clock: Clock
  readonly replica: Replica
  readonly state: FleetState
  readonly platform: PlatformClient
  readonly log: Logger
}

/** One term as leader, from the first applied entry of the term to the loss of leadership. */
export class LeaderSession {
  readonly entries: EntryRegistry
  readonly endpoints: EndpointRegistry
  readonly drains: DrainRunner
  readonly #deps: SessionDeps
  readonly #stop = new AbortController()
  /** Fires when entries must be told something. */
  readonly #news: Notifier
  /** Fires when planners may have something to do. */
  readonly #work: Notifier
  readonly #moves: MovePlanner
  readonly #sizes = new SizeEstimator()
  readonly #filter: ReportFilter

  /** @param deps - the process's parts */
  constructor (deps: SessionDeps) {
    const { clock, replica, log } = deps
    setMaxListeners(0, this.#stop.signal)
    this.#deps = deps
    this.#news = new Notifier(clock)
    this.#work = new Notifier(clock)
    this.#filter = new ReportFilter(clock)
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
    this.drains = new DrainRunner(context)
    this.#moves = new MovePlanner(context)
    const planners: Planner[] = [
      new HealthWatch(context),
      new WaveRunner(context),
      this.drains,
      new JobScheduler(context, this.#sizes),
      new TaskReaper(context),
      this.#moves,
      new Purger(context)
    ]
    for (const planner of planners) void this.#run(planner)
  }

  get signal (): AbortSignal {
    return this.#stop.signal
  }

  /** Commits a command, stamped with the wall clock. */
  readonly propose: Propose = async (type, input) => {
    const viewRev = this.#deps.state.data.viewRev
    const result = await this.#deps.replica.propose({ type, at: this.#deps.clock.wall(), ...input })
    if (this.#deps.state.data.viewRev !== viewRev) this.#notifyChange()
    else if (PLANNED_COMMANDS.has(type)) this.#work.notify()
    return result as never
  }

  #notifyChange (): void {
    this.#news.notify()
    this.#work.notify()
  }

  /** Ends all loops of the term. */
  end (): void {
    this.#stop.abort()
    this.#notifyChange()
  }

  /**
   * Answers an entry's poll as soon as there is news, and renews its lease.
   *
   * @param req - the poll
   */
  async poll (req: PollRequest): Promise<PollResponse> {
    const { clock, replica, state } = this.#deps
    const arrivedAt = clock.now()
    // The entry is recorded before its first lease, so that a later leader knows of it.
    if (!state.data.entries.has(req.entry)) await this.propose('enterEntry', { entry: req.entry })
    this.entries.recordPoll(req)
    if (Object.keys(req.inFlight).length > 0 || this.#hasStopping()) this.#work.notify()
    if (req.report !== null) await this.report(req.report)
    // An entry with requests in flight to a draining VM is let go soon, so that it can tell when they have ended.
    const holdMs = Object.keys(req.inFlight).length > 0 ? DRAINING_HOLD_MS : LONG_POLL_WAIT_MS
    while (!this.#hasNews(req) && !this.#stop.signal.aborted) {
      const left = holdMs - (clock.now() - arrivedAt)
      if (left <= 0) break
      await this.#news.waitBeyond(this.#news.count, left, this.#stop.signal)
    }
    await replica.confirmLeadershipSince(arrivedAt, false)
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
   * Forgets an entry that stops; it has given its lease up.
   *
   * @param entry - name of the entry
   */
  async leave (entry: string): Promise<boolean> {
    await this.propose('dropEntries', { entries: [entry] })
    return this.entries.leave(entry)
  }

  /**
   * Takes in what an entry has heard.
   *
   * @param req - the report
   */
  async report (req: ReportRequest): Promise<ReportResponse> {
    this.endpoints.report(req)
    this.#moves.observe(req)
    await Promise.all(req.tasks.map(async ({ vm, reports }) => {
      this.#observeSizes(reports)
      const changing = this.#filter.select(this.#deps.state.data, reports)
      if (changing.length > 0) await this.propose('reportTasks', { vm, reports: changing })
    }))
    return { epoch: this.endpoints.epoch }
  }

  #observeSizes (reports: ReportRequest['tasks'][number]['reports']): void {
    for (const { job: id, usage, state } of reports) {
      const job = this.#deps.state.data.jobs.get(id)
      if (job !== undefined && usage !== undefined) this.#sizes.observe(job, usage, state === 'done')
    }
  }

  /** Whether a VM is on its way out, so that an entry's acknowledgement may be what it waits for. */
  #hasStopping (): boolean {
    for (const vm of this.#deps.state.data.vms.values()) if (vm.phase === 'draining') return true
    return false
  }

  #hasNews (req: PollRequest): boolean {
    const isCurrent = req.endpointEpoch === this.endpoints.epoch && req.endpointRev === this.endpoints.rev
    return req.rev < this.#deps.state.data.viewRev || !isCurrent
  }

  async #run (planner: Planner): Promise<void> {
    const { clock, log } = this.#deps
    while (!this.#stop.signal.aborted) {
      const seen = this.#work.count
      try {
        await planner.plan()
      } catch (err) {
        if (!this.#stop.signal.aborted) log.withTag('planner').warn(`A round of ${planner.name} failed: ${(err as Error).message}`)
      }
      await clock.sleep(MIN_PLANNING_PAUSE_MS, this.#stop.signal)
      await this.#work.waitBeyond(seen, planner.intervalMs, this.#stop.signal)
    }
  }
}
