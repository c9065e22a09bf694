/** Manages one incarnation of a worker for the leader: long polls, lease renewals, starts and stops. */
import { Notifier } from '../../clock/notifier/index.js'
import type { Millis } from '../../clock/index.js'
import type { RunEnd, WorkerRecord } from '../../batch/state/records.js'
import type { RunningTask } from '../../batch/types.js'
import type { AnswerSource } from '../attributeAnswer/index.js'
import { compareRuns } from '../compareRuns/index.js'
import { WorkerContact } from '../contact/index.js'
import { computeLongestDuration, LeaseClock } from '../leaseClock/index.js'
import type { WorkerSessionContext, StartOrder } from './types.js'
import type { OrderAnswer, WorkerCalls } from '../types.js'
import { WorkerPoller, type ListedRuns } from '../poller/index.js'
import { RunEndQueue, type CollectedRunEnds } from '../runEndQueue/index.js'
import { RunOrders, type RunOrder } from '../runOrder/index.js'
import { RunControl } from '../runControl/index.js'
import type { LeaveGate } from '../pollGate/index.js'
import { StartSender } from '../startSender/index.js'
import { MAX_COMMIT_WAIT_MS, LEASE_MS, LEADER_LEASE_CHECK_MS, MAX_START_DELAY_MS, POLL_TIMEOUT_MS, POLL_WAIT_MS, SURVIVAL_MS } from '../constants.js'

const WRONG_WORKER = 'another worker answers at its address'

/** Stays in contact with one incarnation of a worker until it is gone or the term ends. */
export class WorkerSession {
  /** The leader's record of the last run of each task on the worker, by task. */
  readonly orders: RunOrders
  /** Whether a later incarnation under the same id has answered or reported, which may have ended since. */
  isReincarnated = false
  /** Why the worker is known to be gone, or null. */
  goneReason: string | null = null
  /** Whether the incarnation ended as planned: it left, was draining, or an order to the platform has ended it. */
  hasEndedAsPlanned = false
  /** Whether the worker answers its long polls. */
  readonly contact: WorkerContact
  readonly poller: WorkerPoller
  /** Tasks with runs that the worker lists and the state doesn't have there, such as those of late starts; they are being stopped. */
  strayTasks: readonly string[] = []
  /** Starts that wait or are in flight. */
  readonly starts: StartSender
  readonly #calls: WorkerCalls
  readonly #context: WorkerSessionContext
  readonly #lease: LeaseClock
  /** Notified when run ends are committed and when the session ends. */
  readonly #wakeNotifier: Notifier
  readonly #control: RunControl
  readonly #openedAt: Millis
  #isEnded = false
  #goneAt: Millis = Number.POSITIVE_INFINITY
  readonly #runEnds = new RunEndQueue()
  #record: WorkerRecord

  /**
   * @param key - key of the worker's incarnation
   * @param record - the worker's own description
   * @param calls - client of the worker
   * @param context - dependencies of the session
   */
  constructor (readonly key: string, record: WorkerRecord, calls: WorkerCalls, context: WorkerSessionContext) {
    this.#record = record
    this.#calls = calls
    this.#context = context
    this.#openedAt = context.clock.now()
    this.orders = new RunOrders(context.onRunBegun)
    this.contact = new WorkerContact(context.clock)
    this.poller = new WorkerPoller(calls, context, record.born)
    this.#lease = new LeaseClock(context.inheritedLeaseMs, context.clock.now())
    this.#wakeNotifier = new Notifier(context.clock)
    this.#control = new RunControl(key, this.orders, calls, context, {
      onAnswer: (answer, source) => { this.#observeSource(answer, source) },
      readClock: () => this.#lease.reading,
      onStartRefused: (task, run) => { this.#recordEnd(task, run, 'refused', '') },
      onWrongWorker: () => { this.markGone(WRONG_WORKER) }
    })
    this.starts = new StartSender({
      key,
      orders: this.orders,
      control: this.#control,
      lease: this.#lease,
      context,
      onNotSent: (task, run) => { this.#recordEnd(task, run, 'refused', '') },
      probe: () => this.#poll(null, 0),
      onUnanswered: () => { this.contact.recordFailure() },
      isEnded: () => this.#isEnded
    })
  }

  /** The worker's own description. */
  get record (): WorkerRecord {
    return this.#record
  }

  /** @param record - a newer description of the same incarnation */
  updateRecord (record: WorkerRecord): void {
    this.#record = record
    this.starts.takeBack()
  }

  /** Whether the worker has answered recently, so that it may be given work. */
  get isLive (): boolean {
    return this.goneReason === null && this.contact.isResponsive
  }

  /** Whether runs may be started there: it is live, and its last poll has not failed. */
  get mayStartRuns (): boolean {
    return this.goneReason === null && !this.contact.isInDoubt
  }

  /** Time after which no run there can be running if the worker answers no more, in milliseconds. */
  get leaseLeftMs (): Millis {
    return this.#lease.expiresAt - this.#context.clock.now()
  }

  /** Whether no run that was ever started in this incarnation can still be running. */
  get isLeaseExpired (): boolean {
    return this.goneReason !== null || (!this.isLive && this.#context.clock.now() > this.#lease.expiresAt)
  }

  /**
   * Returns whether an unconfirmed run can no longer be running on a next incarnation that nobody has heard of. Such an incarnation cuts a lease
   * in the time of the earlier one down to the longest that workers allow, counted from the call. The starts of earlier leaders are counted from the
   * start of the session, since the wall clocks of leaders differ.
   *
   * @param order - the leader's record of the run, if it has sent the start
   * @param maxWaitMs - longest wait after the start was sent or the worker has answered last; without a limit by default
   */
  isUnknownNextExpired (order: RunOrder | undefined, maxWaitMs = Number.POSITIVE_INFINITY): boolean {
    const { clock, maxLeaseMs } = this.#context
    const isOwn = order !== undefined && order.sentAt !== Number.NEGATIVE_INFINITY
    const lastArrivalAt = isOwn ? this.#lease.lastArrivalAt : this.#openedAt + MAX_START_DELAY_MS
    const lastSeenAt = Math.max(isOwn ? order.sentAt : this.#openedAt, this.contact.answeredAt)
    return clock.now() > Math.min(lastArrivalAt + computeLongestDuration(maxLeaseMs), lastSeenAt + maxWaitMs)
  }

  /** Starts that the worker refused in a row because it is overloaded or failing. */
  get consecutiveRefusals (): number {
    return this.#control.consecutiveRefusals
  }

  /** Time since the worker became known to be gone, in milliseconds. */
  get goneForMs (): Millis {
    return this.#context.clock.now() - this.#goneAt
  }

  /** Fencing token of the calls to the worker. */
  get token (): number {
    return this.#context.token
  }

  /** Clock reading by which the worker had crashed if it is gone; infinity while too little is known. */
  get crashedBy (): Millis {
    return Math.min(this.poller.crashedBy, this.#goneAt)
  }

  /** Removes and returns the run ends to commit, and the sequence number to acknowledge once they are committed. */
  takeRunEnds (): CollectedRunEnds {
    return this.#runEnds.take()
  }

  /** @param collected - run ends that were taken and could not be committed; they are to be taken again */
  returnRunEnds (collected: CollectedRunEnds): void {
    this.#runEnds.putBack(collected)
    this.#context.onRunEnd()
  }

  /** @param seq - sequence number up to which run ends are committed */
  acknowledge (seq: number): void {
    this.#runEnds.acknowledge(seq)
    this.#wakeNotifier.notify()
  }

  /**
   * @param reason - why the incarnation is known to be gone
   * @param isPlanned - whether its end was planned
   */
  markGone (reason: string, isPlanned = false): void {
    if (this.goneReason !== null) return
    this.goneReason = reason
    this.hasEndedAsPlanned = isPlanned || this.record.isDraining
    this.#goneAt = this.#context.clock.now()
    this.#context.log.info('worker.gone', { worker: this.key, service: this.record.service, reason })
    this.#context.onGone()
    this.#context.onChange()
    this.end()
  }

  /** Stops polling and closes the connections to the worker. */
  end (): void {
    this.#isEnded = true
    this.#calls.close()
    this.#wakeNotifier.notify()
  }

  /** Polls the worker and renews its lease until it is gone or the term ends. */
  async run (): Promise<void> {
    while (!this.#isEnded) {
      if (!this.#context.mayOrder()) {
        await this.#pause(LEADER_LEASE_CHECK_MS)
        continue
      }
      const leaveGate = await this.#enterGate()
      try {
        // The lease of the leader may have run out while the poll waited for its turn.
        if (this.#isEnded || !this.#context.mayOrder()) continue
        await this.#pollOnce()
      } catch (err) {
        this.contact.recordFailure()
        if (this.contact.consecutiveFailures === 1 && !this.#isEnded) this.#context.log.info('worker.silent', { worker: this.key, service: this.record.service, reason: (err as Error).message })
      } finally {
        leaveGate?.()
      }
      if (this.contact.consecutiveFailures > 0) await this.#pause(this.contact.retryDelayMs)
      // The worker answers at once while it has unacknowledged run ends, so wait until these are committed.
      else if (this.#runEnds.hasUncommitted) await this.#pause(MAX_COMMIT_WAIT_MS)
    }
  }

  /** Waits, but not beyond the end of the session. */
  #pause (ms: Millis): Promise<void> {
    return this.#isEnded ? Promise.resolve() : this.#wakeNotifier.waitBeyond(this.#wakeNotifier.count, ms)
  }

  /** Waits for the turn of a poll that the worker answers at once. */
  async #enterGate (): Promise<LeaveGate | null> {
    const hasFailed = this.contact.consecutiveFailures > 0
    if (this.#lease.isKnown && !hasFailed) return null
    if (hasFailed) return await this.#context.pollGate.enter('retry')
    return await this.#context.pollGate.enter(this.#context.runsOn(this.key).size > 0 ? 'withRuns' : 'idle')
  }

  /** Whether nothing runs on the worker, is being started there, or has ended without being committed. */
  get #isIdle (): boolean {
    return this.orders.size === 0 && !this.#runEnds.hasUncommitted && this.#context.runsOn(this.key).size === 0
  }

  /**
   * Sends a start, unless the run is no longer needed when its turn comes.
   *
   * @param startOrder - a committed placement
   */
  start (startOrder: StartOrder): Promise<void> {
    return this.starts.start(startOrder)
  }

  /**
   * Sends a stop; the end of the run arrives with a later poll.
   *
   * @param task - name of the task
   * @param run - number of the run
   */
  stop (task: string, run: number): Promise<void> {
    const stopped = this.#control.stop(task, run)
    this.starts.takeBack()
    return stopped
  }

  /**
   * Sets the share of the spare processor time that a filler task may use.
   *
   * @param task - name of the task
   * @param percent - 0 to 100
   */
  pace (task: string, percent: number): Promise<void> {
    return this.#control.pace(task, percent)
  }

  async #pollOnce (): Promise<void> {
    // Don't renew the lease of a worker that may be gone: each attempt may arrive and would postpone its expiry.
    const mayRenew = this.#lease.isKnown && !this.contact.isInDoubt
    const waitMs = !mayRenew ? 0 : this.#isIdle ? this.#context.idlePollWaitMs() : this.orders.hasOpenTrial ? SURVIVAL_MS : POLL_WAIT_MS
    const leaseEndMs = mayRenew ? this.#lease.grant(this.#context.clock.now(), LEASE_MS, waitMs + POLL_TIMEOUT_MS) : null
    await this.#poll(leaseEndMs, waitMs)
  }

  async #poll (leaseEndMs: Millis | null, waitMs: Millis): Promise<void> {
    const ticket = this.contact.recordPoll(waitMs)
    // The next incarnation may answer a worker's calls after a silence, and its ends have the same numbers.
    const acknowledgedSeq = this.contact.isInDoubt ? 0 : this.#runEnds.seqToSend
    const result = await this.poller.poll({ token: this.#context.token, acknowledgedSeq, leaseEndMs, waitMs })
    if (result.kind === 'wrongWorker') {
      this.markGone(WRONG_WORKER)
      return
    }
    if (result.kind === 'reincarnated') {
      this.#markReincarnated()
      return
    }
    const wasLive = this.isLive
    this.contact.recordAnswer(ticket)
    this.#runEnds.recordReceived(acknowledgedSeq)
    if (result.kind === 'listed') {
      this.#lease.observe(result.runs.clockMs, this.contact.answeredAt)
      this.#reconcileRuns(result.runs)
    }
    if (!wasLive) this.#context.onChange()
  }

  #reconcileRuns (answer: ListedRuns): void {
    const expected = this.#context.runsOn(this.key)
    for (const end of this.#runEnds.takeNew(answer.ended)) {
      this.#recordEnd(end.task, end.run, end.outcome, end.checkpoint, expected.get(end.task)?.run === end.run ? this.key : this.#context.earlierIncarnationWith(end.task, end.run) ?? this.key)
    }
    const { confirmed, unknown, missing } = compareRuns(expected, answer)
    for (const run of confirmed) this.#observeRun(run, answer.clockMs)
    this.strayTasks = unknown.map(({ task }) => task)
    for (const run of unknown) this.#stopUnknownRun(run)
    for (const { task, run } of missing) this.#onMissingRun(task, run, answer.sentAt)
    if (answer.ended.length > 0) this.#context.onChange()
  }

  #observeRun (reportedRun: RunningTask, workerClockMs: Millis): void {
    const order = this.orders.observe(reportedRun, this.#context.clock.now(), workerClockMs)
    if (order.isStopRequested && order.phase !== 'barred') void this.stop(reportedRun.task, reportedRun.run)
  }

  #stopUnknownRun (reportedRun: RunningTask): void {
    const { task, run, percent } = reportedRun
    this.#context.metrics.count('oleanderward_unknown_runs')
    this.#context.log.info('run.unknown', { task, run, worker: this.key, percent, placedOn: this.#context.earlierIncarnationWith(task, run) })
    // The worker lists the run again in its next answer if it is not stopped, and the stop is repeated.
    void this.#control.stopUnknown(task, run)
  }

  /** Revokes a run that the worker doesn't list, because its start may still arrive; records it as lost once revoked. */
  #onMissingRun (task: string, run: number, sentAt: Millis): void {
    const order = this.orders.ensure(task, run, this.#context.clock.now())
    if (order.phase === 'starting' || order.settledAt >= sentAt) return
    if (order.phase === 'barred') this.#recordEnd(task, run, 'lost', '')
    else void this.stop(task, run)
  }

  #recordEnd (task: string, run: number, outcome: RunEnd['outcome'], checkpoint: string, worker = this.key): void {
    const order = this.orders.get(task)
    if (order?.run === run) this.orders.delete(task)
    this.#runEnds.add({ task, run, worker, outcome, checkpoint })
    this.#context.onRunEnd()
    this.#context.onChange()
  }

  #markReincarnated (): void {
    this.isReincarnated = true
    this.markGone('the worker has started again')
  }

  #observeSource ({ clockMs }: OrderAnswer, source: AnswerSource): void {
    if (source === 'other') this.#markReincarnated()
    else if (source === 'same' && clockMs !== null) this.#lease.observe(clockMs, this.#context.clock.now())
  }
}
