/** Keeps the workers that the leader knows, with a session for each incarnation. */
import type { Clock, Millis } from '../../clock/index.js'
import type { TermContext } from '../../batch/leader/context.js'
import type { Placement, WorkerRecord } from '../../batch/state/records.js'
import { countRestarts } from '../../batch/state/incarnations.js'
import { workerKey, type WorkerReport } from '../../batch/types.js'
import { IMMEDIATE_POLLS_PER_CALLER } from '../constants.js'
import { Cordons } from '../cordons/index.js'
import { computeIdlePollWait } from '../idlePollWait/index.js'
import { computeInheritedLease } from '../inheritedLease/index.js'
import { LostRunFinder, type LostRun } from '../lostRunFinder/index.js'
import { PollGate } from '../pollGate/index.js'
import { StartAdmission } from '../startAdmission/index.js'
import { hasLessCapacity, isSameRecord, toRecord } from '../workerRecord/index.js'
import { WorkerSession } from '../session/index.js'
import type { WorkerSessionContext } from '../session/types.js'
import type { WorkerCalls } from '../types.js'

/** A worker that has not answered for this long, and whose lease has expired, is forgotten until it reports again. */
const FORGET_AFTER_MS: Millis = 15_000

/** Time for which a worker that has left may still answer before it is marked as gone or has to answer again. */
const LEAVE_GRACE_MS: Millis = 300

/** Result of a report. `late`: a newer report or a later incarnation makes it obsolete, or the worker is known to be gone. */
export type ReportVerdict = 'recorded' | 'late'

/** Calls to workers, as the registry needs them. */
export interface WorkerConnector {
  /** Creates the client of a worker. */
  readonly connect: (worker: WorkerRecord) => WorkerCalls
  /** Returns the number of processes that make the calls, at least 1. */
  readonly countCallers: () => number
  /** Longest lease that workers allow. */
  readonly maxLeaseMs: Millis
}

/** Handles the workers' reports, and opens and ends sessions. */
export class WorkerRegistry {
  /** Machines whose workers get no new tasks. */
  readonly cordons: Cordons
  readonly #context: TermContext
  readonly #connector: WorkerConnector
  readonly #onChange: () => void
  readonly #clock: Clock
  readonly #sessions = new Map<string, WorkerSession>()
  readonly #sequences = new Map<string, number>()
  readonly #drainingUntil = new Map<string, Millis>()
  /** Number of reports of each worker that are being committed. */
  readonly #pendingReports = new Map<string, number>()
  readonly #lostRunFinder: LostRunFinder
  readonly #pollGate: PollGate
  readonly #admission: StartAdmission
  /** Sessions with run ends to commit. */
  #sessionsWithEnds = new Set<WorkerSession>()
  #hasNewlyGone = false
  #begunRuns: Placement[] = []

  /**
   * @param context - shared dependencies of the term
   * @param connector - makes calls to workers
   * @param onChange - called when there may be something to plan
   */
  constructor (context: TermContext, connector: WorkerConnector, onChange: () => void) {
    this.#context = context
    this.#clock = context.clock
    this.#connector = connector
    this.#onChange = onChange
    this.cordons = new Cordons(context.clock, (machine) => { for (const session of this.sessionsOn(machine)) session.starts.takeBack() })
    this.#admission = new StartAdmission(context.state, this.cordons)
    this.#lostRunFinder = new LostRunFinder(context, connector.maxLeaseMs, (id) => this.#sessionsAmong(context.state.workerIndex.withId(id)))
    this.#pollGate = new PollGate(() => IMMEDIATE_POLLS_PER_CALLER * connector.countCallers())
    const records = [...context.state.data.workers]
    const isBusy = ([key]: readonly [string, WorkerRecord]): boolean => context.state.runsOn(key).size > 0
    // The first polls are sent in this order.
    for (const [, record] of [...records.filter(isBusy), ...records.filter((entry) => !isBusy(entry))]) this.#openSession(record)
    for (const [, record] of records) this.#endEarlierIncarnations(record)
  }

  /** All sessions, including those of workers that are gone but not dismissed yet. */
  get sessions (): Iterable<WorkerSession> {
    return this.#sessions.values()
  }

  /** Whether first polls of workers wait until others are answered. */
  get hasWaitingFirstPolls (): boolean {
    return this.#pollGate.hasWaitingFirstPolls
  }

  /** Returns whether a worker has neither answered a poll nor failed to. */
  hasUntriedWorker (): boolean {
    for (const session of this.#sessions.values()) if (session.contact.isUntried) return true
    return false
  }

  /**
   * Lists the sessions with the workers of a service.
   *
   * @param service - name of the service
   */
  * sessionsOf (service: string): Generator<WorkerSession> {
    yield * this.#sessionsAmong(this.#context.state.workerIndex.ofService(service))
  }

  /**
   * Returns the session with the responsive worker on a machine.
   *
   * @param machine - name of the machine
   */
  liveSessionOn (machine: string): WorkerSession | undefined {
    return this.sessionsOn(machine).find(({ isLive }) => isLive)
  }

  /** @param machine - name of the machine whose incarnations to list the sessions of */
  sessionsOn (machine: string): readonly WorkerSession[] {
    return [...this.#sessionsAmong(this.#context.state.workerIndex.onMachine(machine))]
  }

  /** Removes and returns the sessions that have recorded run ends since the last call. */
  takeSessionsWithEnds (): Iterable<WorkerSession> {
    const sessions = this.#sessionsWithEnds
    this.#sessionsWithEnds = new Set()
    return sessions
  }

  /** Removes and returns the runs that workers have confirmed since the last call. */
  takeBegunRuns (): readonly Placement[] {
    const begunRuns = this.#begunRuns
    this.#begunRuns = []
    return begunRuns
  }

  /** Returns whether a worker has become known to be gone since the last call. */
  takeNewlyGone (): boolean {
    const hasNewlyGone = this.#hasNewlyGone
    this.#hasNewlyGone = false
    return hasNewlyGone
  }

  /** @param key - key of the worker's incarnation */
  sessionOf (key: string): WorkerSession | undefined {
    return this.#sessions.get(key)
  }

  /**
   * Returns the earliest time at which a draining worker shuts down, on the leader's clock, if it has reported one.
   *
   * @param key - key of the worker's incarnation
   */
  drainingUntil (key: string): Millis | undefined {
    return this.#drainingUntil.get(key)
  }

  /**
   * Handles a worker's report. Resolves once every change in it is committed.
   *
   * @param report - decoded report
   */
  async report (report: WorkerReport): Promise<ReportVerdict> {
    const { data } = this.#context.state
    const key = workerKey(report)
    if ((this.#sequences.get(key) ?? -1) >= report.sequence || this.#isSuperseded(report)) return 'late'
    this.#sequences.set(key, report.sequence)
    if (this.#sessions.get(key)?.goneReason != null) return 'late'
    const known = data.workers.get(key)
    if (report.drainLeftMs !== null) this.#drainingUntil.set(key, this.#clock.now() + report.drainLeftMs)
    const record = toRecord(report, known)
    // A report that is being committed may make the state differ from this one.
    if (known !== undefined && isSameRecord(known, record) && !this.#pendingReports.has(key)) {
      if (!this.#sessions.has(key)) this.#openSession(known)
      return 'recorded'
    }
    if (known !== undefined && hasLessCapacity(record, known)) this.#admission.recordShrunk(key)
    await this.#commit(key, record)
    this.#context.log.info(known === undefined ? 'worker.enrolled' : 'worker.changed', { worker: key, service: record.service, address: record.address, machine: record.machine, isDraining: record.isDraining })
    this.#endEarlierIncarnations(record)
    const session = this.#sessions.get(key)
    if (session === undefined) this.#openSession(record)
    else if (session.record.address === record.address) session.updateRecord(record)
    else this.#reopenSession(session, record)
    this.#onChange()
    return 'recorded'
  }

  async #commit (key: string, record: WorkerRecord): Promise<void> {
    this.#pendingReports.set(key, (this.#pendingReports.get(key) ?? 0) + 1)
    try {
      await this.#context.propose('enrol', { workers: [record] })
    } finally {
      const pending = (this.#pendingReports.get(key) as number) - 1
      if (pending > 0) this.#pendingReports.set(key, pending)
      else this.#pendingReports.delete(key)
    }
  }

  /**
   * Marks the draining incarnations of a worker that has left as gone, after a short grace time, if they no longer answer. Others
   * must answer again: the deregistration may be that of an earlier incarnation, or of one that goes on because it has not been answered.
   *
   * @param id - id of the worker
   */
  leave (id: string): void {
    for (const session of this.#sessionsAmong(this.#context.state.workerIndex.withId(id))) {
      if (session.goneReason !== null) continue
      const cancel = this.#clock.after(LEAVE_GRACE_MS, () => { this.#markGoneOrDoubt(session, session.record.isDraining && session.contact.silentSince !== null, 'the worker has left') })
      this.#context.signal.addEventListener('abort', cancel, { once: true })
    }
  }

  /**
   * Marks the workers on a machine as gone that an order to the platform has ended. Others may have begun after it was carried out.
   *
   * @param machine - name of the machine
   * @param ended - sessions with the incarnations that are known to have ended
   * @param reason - why, for the log and for explanations
   */
  markMachineGone (machine: string, ended: readonly WorkerSession[], reason: string): void {
    const keys = new Set(ended.map(({ key }) => key))
    for (const session of this.sessionsOn(machine)) this.#markGoneOrDoubt(session, keys.has(session.key), reason)
  }

  /** A worker that may be gone must answer again; until then it gets no work, and its runs are kept until its lease expires. */
  #markGoneOrDoubt (session: WorkerSession, isGone: boolean, reason: string): void {
    if (isGone) session.markGone(reason, true)
    else if (session.goneReason === null) {
      this.#context.log.info('worker.doubted', { worker: session.key, reason })
      session.contact.requireNewAnswer()
    }
  }

  /**
   * Waits until the starts of a job that are in flight have been answered or have timed out.
   *
   * @param job - id of the job
   */
  async settleStarts (job: string): Promise<void> {
    await Promise.all([...this.#sessions.values()].map((session) => session.starts.settle(job)))
  }

  /**
   * Lists the runs on a worker that can no longer be running.
   *
   * @param session - a worker whose lease has expired
   */
  listLostRuns (session: WorkerSession): LostRun[] {
    return this.#lostRunFinder.list(session)
  }

  #findEarlierIncarnation ({ id, born }: WorkerRecord, task: string, run: number): string | null {
    for (const { key, record } of this.#sessionsAmong(this.#context.state.workerIndex.withId(id))) {
      if (record.born < born && this.#context.state.runsOn(key).get(task)?.run === run) return key
    }
    return null
  }

  /** Returns the keys of workers to dismiss: gone or long unresponsive, and without runs in the state. */
  findDismissable (): string[] {
    const keys: string[] = []
    for (const [key, session] of this.#sessions) {
      if (this.#context.state.runsOn(key).size > 0) continue
      if (session.goneReason !== null || (session.isLeaseExpired && session.contact.unresponsiveMs > FORGET_AFTER_MS)) keys.push(key)
    }
    return keys
  }

  /** @param keys - keys of workers that were dismissed from the state */
  forget (keys: readonly string[]): void {
    for (const key of keys) {
      this.#sessions.get(key)?.end()
      this.#sessions.delete(key)
      this.#drainingUntil.delete(key)
      this.#admission.forget(key)
    }
  }

  /** Ends all sessions. */
  end (): void {
    for (const session of this.#sessions.values()) session.end()
  }

  /** Whether a later incarnation of the same worker, machine or address makes a report obsolete. */
  #isSuperseded (report: WorkerReport): boolean {
    for (const [, other] of this.#context.state.workerIndex.related(report)) if (other.born > report.born) return true
    return false
  }

  #endEarlierIncarnations (record: WorkerRecord): void {
    for (const session of this.#sessionsAmong(this.#context.state.workerIndex.related(record))) {
      if (session.record.born >= record.born) continue
      session.isReincarnated ||= session.record.id === record.id
      session.markGone('a later incarnation of its id, machine or address has reported')
    }
  }

  #openSession (record: WorkerRecord): void {
    const { clock, log, metrics, term, mayOrder, state } = this.#context
    const key = workerKey(record)
    const restarts = countRestarts(state.data, record)
    const inheritedLeaseMs = computeInheritedLease(state.data, record, clock.wall(), this.#connector.maxLeaseMs)
    log.info('session.opened', { worker: key, token: term + restarts, restarts, inheritedLeaseMs })
    const sessionContext: WorkerSessionContext = {
      clock,
      log,
      metrics,
      token: term + restarts,
      inheritedLeaseMs,
      maxLeaseMs: this.#connector.maxLeaseMs,
      mayOrder,
      runsOn: (worker) => state.runsOn(worker),
      findObstacle: (task, run) => this.#admission.findObstacle(session, task, run),
      earlierIncarnationWith: (task, run) => this.#findEarlierIncarnation(record, task, run),
      onChange: this.#onChange,
      onRunEnd: () => { this.#sessionsWithEnds.add(session) },
      onRunBegun: (task, run) => { this.#begunRuns.push({ task, run, worker: key }) },
      onGone: () => { this.#hasNewlyGone = true },
      pollGate: this.#pollGate,
      idlePollWaitMs: () => computeIdlePollWait(this.#sessions.size, this.#connector.countCallers())
    }
    const session = new WorkerSession(key, record, this.#connector.connect(record), sessionContext)
    this.#sessions.set(key, session)
    void session.run()
  }

  * #sessionsAmong (workers: Iterable<readonly [key: string, record: WorkerRecord]>): Generator<WorkerSession> {
    for (const [key] of workers) {
      const session = this.#sessions.get(key)
      if (session !== undefined) yield session
    }
  }

  #reopenSession (session: WorkerSession, record: WorkerRecord): void {
    session.end()
    this.#openSession(record)
  }
}
