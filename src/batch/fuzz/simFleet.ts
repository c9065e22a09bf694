/** Simulated workers on a manual clock, with an oracle that checks which tasks they are ordered to run. */
import type { Millis } from '../../clock/index.js'
import type { WorkerPollAnswer, WorkerPollRequest, OrderAnswer, StartRequest, StopRequest } from '../../workers/types.js'
import type { RunOutcome } from '../types.js'
import { parseTask } from '../types.js'
import { SimCalls } from './simCalls.js'
import { SimCondition } from './simCondition.js'
import { SimEnds } from './simEnds.js'
import type { GangHost } from './simGang.js'
import { PLAIN_VARIANT, type SimVariant } from './simVariant.js'
import type { SimWorld } from './simWorld.js'

interface SimRun {
  readonly run: number
  readonly startedAt: Millis
  /** Infinite for a member of a gang, which ends with the others. */
  readonly endsAt: Millis
  readonly outcome: RunOutcome
}

const TICK_MS: Millis = 20

/** Start-up time of a long-running task. */
const LONG_RUNNING_START_MS: Millis = 200

/** Time from the start of a task that crashes its worker to the crash. */
const CRASH_DELAY_MS: Millis = 10

/** Starts that the platform allows after the third crash under a task. */
const MAX_STARTS_AFTER_THIRD_CRASH = 2

/** Time from the start to the end of a run on a worker that fails all that it starts, or of a job that fails wherever it runs. */
const FAILURE_DELAY_MS: Millis = 100

/** Longest time from the start of a long-running task to its failure. */
const MAX_LASTING_MS: Millis = 8000

/** One incarnation of a simulated worker. */
export class SimWorker extends SimCalls implements GangHost {
  /** What impairs the worker now. */
  readonly condition: SimCondition
  readonly #world: SimWorld
  readonly #variant: SimVariant
  readonly #cpuCapacity: number
  readonly #readClock: () => Millis
  readonly #runs = new Map<string, SimRun>()
  readonly #revokedRuns = new Map<string, number>()
  readonly #ends = new SimEnds()
  readonly #listedRuns = new Set<string>()
  #token = 0
  /** On the worker's clock. */
  #leaseEnd: Millis = 0
  #isDead = false

  /**
   * @param world - state shared by all workers
   * @param born - start time of this incarnation
   * @param cpuCapacity - thousandths of a core
   * @param address - where the simulation calls it
   * @param readClock - reads the worker's clock; that of the simulation by default
   */
  constructor (world: SimWorld, readonly born: number, cpuCapacity: number, readonly address = '', readClock: () => Millis = () => world.clock.now()) {
    super(world)
    this.#world = world
    this.#variant = world.variant ?? PLAIN_VARIANT
    this.#cpuCapacity = cpuCapacity
    this.#readClock = readClock
    this.condition = new SimCondition(world.clock, (event) => { this.#trace(event) })
    void this.#runUntilCrash()
  }

  get isDead (): boolean {
    return this.#isDead
  }

  /** Reading of the worker's clock. */
  get clockMs (): Millis {
    return this.#readClock()
  }

  /** Thousandths of a core that no run uses. */
  get freeCpu (): number {
    return this.#cpuCapacity - [...this.#runs.keys()].reduce((sum, task) => sum + this.#world.getStep(task).cpu, 0)
  }

  /** Whether calls reach the worker. */
  get isReachable (): boolean {
    return !this.#isDead && this.condition.isReachable
  }

  /** Whether answers of the worker arrive. */
  get canAnswer (): boolean {
    return !this.#isDead && !this.isCutOff
  }

  /** Whether nothing that the worker sends arrives. */
  get isCutOff (): boolean {
    return this.condition.isCutOff
  }

  /** Ends this incarnation without notice. */
  crash (): void {
    if (this.#isDead) return
    this.#isDead = true
    this.#trace('crashes')
    for (const task of [...this.#runs.keys()]) {
      this.#world.crashesUnder.set(task, this.countCrashes(task) + 1)
      this.#removeRun(task)
    }
  }

  countCrashes (task: string): number {
    return this.#world.crashesUnder.get(task) ?? 0
  }

  override findReceiver (): SimWorker {
    return this
  }

  /** Answers a long poll. */
  async answerPoll (req: WorkerPollRequest): Promise<WorkerPollAnswer> {
    const { clock, gangs, getStep } = this.#world
    this.#expireLeaseAtCall()
    if (req.token < this.#token) return { refusal: 'fenced' as const }
    this.#learnToken(req.token)
    if (req.leaseEndMs !== null) this.#renewLease(req.leaseEndMs)
    this.#acknowledge(req.acknowledgedSeq)
    const until = clock.now() + req.waitMs
    while (this.#ends.openCount === 0 && clock.now() < until && !this.#isDead) await clock.sleep(TICK_MS)
    const now = clock.now()
    const running = [...this.#runs].map(([task, { run, startedAt, endsAt }]) => ({ task, run, checkpoint: '', percent: gangs?.getPercent(task, run) ?? computePercent(now - startedAt, getStep(task).isLasting ? LONG_RUNNING_START_MS : endsAt - startedAt), load: null }))
    for (const { task, run } of running) this.#traceListed(task, run)
    const ended = this.#ends.list(this.#variant.endsPerAnswer)
    return { refusal: null, clockMs: this.clockMs, born: this.born, running, ended, hasMoreEnds: ended.length < this.#ends.openCount }
  }

  /** Carries out a start. */
  carryOutStart (req: StartRequest): OrderAnswer {
    const { clockMs } = this
    this.#expireLeaseAtCall()
    if (req.token < this.#token) return this.#fence(`run ${req.run} of ${req.task}`, req.token)
    this.#learnToken(req.token)
    if (req.leaseEndMs < clockMs) return { refusal: 'late', clockMs }
    this.#renewLease(req.leaseEndMs)
    if (this.#runs.get(req.task)?.run === req.run) return { refusal: null, clockMs }
    if (req.run <= (this.#revokedRuns.get(req.task) ?? 0)) return { refusal: 'stale', clockMs }
    if (this.condition.isIll('refusing')) return { refusal: 'unhealthy', clockMs }
    this.#beginRun(req)
    return { refusal: null, clockMs }
  }

  /** Carries out a stop. The run may go on for a short time, and end as done within it. */
  carryOutStop ({ token, task, run }: StopRequest): OrderAnswer {
    const { clock, random } = this.#world
    const { shortestStopMs, stopGraceMs } = this.#variant
    const { clockMs } = this
    this.#expireLeaseAtCall()
    if (token < this.#token) return this.#fence(`a stop of run ${run} of ${task}`, token)
    this.#learnToken(token)
    const running = this.#runs.get(task)
    this.#trace(`is told to stop run ${run} of ${task} with token ${token}`)
    if (running !== undefined && running.run <= run) {
      if (stopGraceMs === 0) this.endRun(task, 'stopped')
      else clock.after(random.nextBetween([shortestStopMs, stopGraceMs]), () => { if (this.#runs.get(task) === running) this.endRun(task, 'stopped') })
    }
    this.#revokedRuns.set(task, Math.max(this.#revokedRuns.get(task) ?? 0, run))
    return { refusal: null, clockMs }
  }

  endRun (task: string, outcome: RunOutcome): void {
    const run = this.#runs.get(task)?.run ?? 0
    this.#removeRun(task)
    if (this.#isDead) return
    this.#revokedRuns.set(task, Math.max(this.#revokedRuns.get(task) ?? 0, run))
    const done = outcome === 'done' ? this.#world.oracle?.recordDone(task, run) ?? { task, run, startsBefore: 0 } : null
    this.#trace(`ends run ${run} of ${task}: ${outcome}, number ${this.#ends.lastSeq + 1}`)
    this.#ends.add(task, run, outcome, done)
  }

  expireLease (): void {
    if (this.#isDead || this.clockMs <= this.#leaseEnd) return
    if (this.#ends.lapse()) this.#trace('has lost its lease')
    for (const task of [...this.#runs.keys()]) if (this.#runs.has(task)) this.endRun(task, 'lapsed')
  }

  #expireLeaseAtCall (): void {
    if (this.#variant.isLeaseExact) this.expireLease()
  }

  #renewLease (leaseEndMs: Millis): void {
    const longestEnd = this.clockMs + this.#variant.maxLeaseMs
    if (leaseEndMs > longestEnd) this.#trace(`shortens a lease of ${leaseEndMs - this.clockMs} ms`)
    this.#leaseEnd = Math.max(this.#leaseEnd, Math.min(leaseEndMs, longestEnd))
  }

  #fence (order: string, token: number): OrderAnswer {
    this.#trace(`refuses ${order}: token ${token} is below ${this.#token}`)
    return { refusal: 'fenced', clockMs: this.clockMs }
  }

  #learnToken (token: number): void {
    if (token > this.#token) this.#trace(`learns token ${token}`)
    this.#token = token
  }

  #traceListed (task: string, run: number): void {
    const name = `run ${run} of ${task}`
    if (this.#listedRuns.has(name)) return
    this.#listedRuns.add(name)
    this.#trace(`lists ${name}`)
  }

  /** Forgets the ends up to a number, listed or not. */
  #acknowledge (acknowledgedSeq: number): void {
    for (const { ended: { task, run }, done, isListed, isLapsed } of this.#ends.acknowledge(acknowledgedSeq)) {
      this.#trace(`forgets the end of run ${run} of ${task}: acknowledged up to ${acknowledgedSeq}`)
      if (done === null || isLapsed) continue
      this.#world.finishedTasks.add(done.task)
      this.#world.oracle?.recordAcknowledged(done, this.#name, isListed)
    }
  }

  get #name (): string {
    return `incarnation ${this.born} at ${this.address}`
  }

  #describeRun (task: string): string {
    return `run ${this.#runs.get(task)?.run} on ${this.#name}`
  }

  #trace (event: string): void {
    this.#world.trace?.(`${this.#name} ${event}`)
  }

  #beginRun ({ task, run, token }: StartRequest): void {
    this.#trace(`starts run ${run} of ${task} with token ${token}, and holds a lease for ${Math.round(this.#leaseEnd - this.clockMs)} ms`)
    const { clock, violations, runningOn, finishedTasks, oracle, gangs, getStep } = this.#world
    const others = runningOn.get(task) ?? new Set()
    if (others.size > 0) violations.push(`${task} is started while it is already running: run ${run} on ${this.#name}, beside ${[...others].map((other) => other.#describeRun(task)).join(', ')}`)
    if (oracle !== undefined) oracle.recordStart(task, run, this.#name)
    else if (finishedTasks.has(task)) violations.push(`${task} is started after its end was acknowledged`)
    runningOn.set(task, others.add(this))
    this.#world.capOracle?.recordStart(task)
    if (this.#world.crashingTasks.has(task)) this.#crashSoon(task)
    const { estimateMs, isLasting, isGang } = getStep(task)
    const replaced = this.#runs.get(task)
    if (gangs !== undefined && isGang) {
      this.#runs.set(task, { run, startedAt: clock.now(), endsAt: Number.POSITIVE_INFINITY, outcome: 'done' })
      if (replaced !== undefined) gangs.leave(task, replaced.run, this)
      gangs.join(task, run, this)
    } else {
      this.#runs.set(task, { run, startedAt: clock.now(), ...this.#planEnd(task, isLasting, estimateMs) })
    }
    if (this.freeCpu < 0) violations.push(`${task} exceeds the capacity of its worker`)
  }

  #planEnd (task: string, isLasting: boolean, estimateMs: Millis): Pick<SimRun, 'endsAt' | 'outcome'> {
    const { clock, random, hopelessJobs } = this.#world
    const now = clock.now()
    if (this.condition.isIll('failing') || hopelessJobs?.has(parseTask(task)?.job ?? '') === true) return { endsAt: now + FAILURE_DELAY_MS, outcome: 'failed' }
    if (isLasting) return { endsAt: random.isBelow(this.#variant.lastingFailureShare) ? now + MAX_LASTING_MS * random.next() : Number.POSITIVE_INFINITY, outcome: 'failed' }
    const endsAt = now + estimateMs * (0.5 + random.next())
    return { endsAt, outcome: random.next() < 0.05 ? 'failed' : 'done' }
  }

  #crashSoon (task: string): void {
    const { clock, violations, startsAfterThirdCrash, onCrash } = this.#world
    if (this.countCrashes(task) >= 3) {
      const starts = (startsAfterThirdCrash.get(task) ?? 0) + 1
      startsAfterThirdCrash.set(task, starts)
      if (starts > MAX_STARTS_AFTER_THIRD_CRASH) violations.push(`${task} is started ${starts} times after three workers have crashed under it`)
    }
    void clock.sleep(CRASH_DELAY_MS).then(() => {
      if (this.#isDead) return
      this.crash()
      onCrash(this)
    })
  }

  #removeRun (task: string): void {
    const { runningOn, gangs } = this.#world
    const removed = this.#runs.get(task)
    this.#runs.delete(task)
    runningOn.get(task)?.delete(this)
    if (removed !== undefined) gangs?.leave(task, removed.run, this)
  }

  async #runUntilCrash (): Promise<void> {
    const { clock } = this.#world
    while (!this.#isDead) {
      this.expireLease()
      for (const [task, { endsAt, outcome }] of [...this.#runs]) if (clock.now() >= endsAt) this.endRun(task, outcome)
      await clock.sleep(TICK_MS)
    }
  }
}

/** Returns the progress of a run, or of the start-up of a long-running task, in percent. */
function computePercent (ranMs: Millis, tookMs: Millis): number {
  return Math.min(100, Math.floor(ranMs / tookMs * 100))
}
