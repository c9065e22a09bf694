/** Simulated workers on a manual clock, with an oracle that checks which tasks they are ordered to run. */
import type { Random } from './random.js'
import type { ManualClock, Millis } from '../../clock/index.js'
import type { WorkerPollAnswer, WorkerPollRequest, OrderAnswer, StartRequest, WorkerCalls } from '../../workers/types.js'
import type { EndedRun, RunOutcome, Step } from '../types.js'
import { parseTask } from '../types.js'

interface SimRun {
  readonly run: number
  readonly startedAt: Millis
  readonly endsAt: Millis
  readonly outcome: RunOutcome
}

/** Probabilities of call failures, each between 0 and 1. */
export interface CallFaults {
  /** The call is not executed and not answered. */
  readonly requestLost: number
  /** The call is executed but not answered. */
  readonly answerLost: number
  /** The call is not answered and executed seconds later. */
  readonly late: number
}

/** Description of a violated invariant. */
export type Violation = string

const CALL_LATENCY_MS: Millis = 2
const LATE_CALL_DELAY_MS: Millis = 2500
const TICK_MS: Millis = 20

/** Start-up time of a long-running task. */
const LONG_RUNNING_START_MS: Millis = 200

/** Time from the start of a task that crashes its worker to the crash. */
const CRASH_DELAY_MS: Millis = 10

/** Starts that the platform allows after the third crash under a task. */
const MAX_STARTS_AFTER_THIRD_CRASH = 2

/** State shared by all simulated workers. */
export interface SimWorld {
  /** Tasks that crash each worker that starts them. */
  readonly crashingTasks: Set<string>
  /** Number of workers that have crashed while a task ran there, by task. */
  readonly crashesUnder: Map<string, number>
  /** Number of starts after the third of those crashes, by task. */
  readonly startsAfterThirdCrash: Map<string, number>
  /** Called when a worker has crashed because of a task. */
  onCrash: (worker: SimWorker) => void
  readonly clock: ManualClock
  readonly random: Random
  readonly violations: Violation[]
  readonly getStep: (task: string) => Step
  /** Workers on which each task is running, by task. */
  readonly runningOn: Map<string, Set<SimWorker>>
  /** Tasks whose outcome `done` was acknowledged. */
  readonly finishedTasks: Set<string>
  faults: CallFaults
}

/** One incarnation of a simulated worker. */
export class SimWorker implements WorkerCalls {
  isPartitioned = false
  readonly #world: SimWorld
  readonly #cpuCapacity: number
  readonly #runs = new Map<string, SimRun>()
  readonly #revokedRuns = new Map<string, number>()
  #unacknowledgedEnds: EndedRun[] = []
  #lastEndSeq = 0
  #token = 0
  #leaseEnd: Millis = 0
  /** Run ends up to this one were not acknowledged before the lease expired, so the leader may ignore them. */
  #lapsedSeq = 0
  #isDead = false

  /**
   * @param world - state shared by all workers
   * @param born - start time of this incarnation
   * @param cpuCapacity - thousandths of a core
   */
  constructor (world: SimWorld, readonly born: number, cpuCapacity: number) {
    this.#world = world
    this.#cpuCapacity = cpuCapacity
    void this.#runUntilCrash()
  }

  /** Ends this incarnation without notice. */
  crash (): void {
    if (this.#isDead) return
    this.#isDead = true
    for (const task of [...this.#runs.keys()]) {
      this.#world.crashesUnder.set(task, this.countCrashes(task) + 1)
      this.#removeRun(task)
    }
  }

  countCrashes (task: string): number {
    return this.#world.crashesUnder.get(task) ?? 0
  }

  poll (req: WorkerPollRequest, timeoutMs: Millis): Promise<WorkerPollAnswer> {
    return this.#simulateCall(timeoutMs, async () => {
      if (req.token < this.#token) return { refusal: 'fenced' as const }
      this.#token = req.token
      if (req.leaseEndMs !== null) this.#leaseEnd = Math.max(this.#leaseEnd, req.leaseEndMs)
      for (const { seq, task, outcome } of this.#unacknowledgedEnds) if (seq <= req.acknowledgedSeq && seq > this.#lapsedSeq && outcome === 'done') this.#world.finishedTasks.add(task)
      this.#unacknowledgedEnds = this.#unacknowledgedEnds.filter(({ seq }) => seq > req.acknowledgedSeq)
      const until = this.#world.clock.now() + req.waitMs
      while (this.#unacknowledgedEnds.length === 0 && this.#world.clock.now() < until && !this.#isDead) await this.#world.clock.sleep(TICK_MS)
      const now = this.#world.clock.now()
      const running = [...this.#runs].map(([task, { run, startedAt, endsAt }]) => ({ task, run, checkpoint: '', percent: computePercent(now - startedAt, endsAt - startedAt), load: null }))
      return { refusal: null, clockMs: now, born: this.born, running, ended: [...this.#unacknowledgedEnds], hasMoreEnds: false }
    })
  }

  start (req: StartRequest, timeoutMs: Millis): Promise<OrderAnswer> {
    return this.#simulateCall(timeoutMs, () => {
      const { clock } = this.#world
      const clockMs = clock.now()
      if (req.token < this.#token) return { refusal: 'fenced', clockMs }
      this.#token = req.token
      if (req.leaseEndMs < clockMs) return { refusal: 'late', clockMs }
      this.#leaseEnd = Math.max(this.#leaseEnd, req.leaseEndMs)
      if (this.#runs.get(req.task)?.run === req.run) return { refusal: null, clockMs }
      if (req.run <= (this.#revokedRuns.get(req.task) ?? 0)) return { refusal: 'stale', clockMs }
      this.#beginRun(req)
      return { refusal: null, clockMs }
    })
  }

  stop ({ token, task, run }: { readonly token: number, readonly task: string, readonly run: number }, timeoutMs: Millis): Promise<OrderAnswer> {
    return this.#simulateCall(timeoutMs, () => {
      const clockMs = this.#world.clock.now()
      if (token < this.#token) return { refusal: 'fenced', clockMs }
      const running = this.#runs.get(task)
      if (running !== undefined && running.run <= run) this.#endRun(task, 'stopped')
      this.#revokedRuns.set(task, Math.max(this.#revokedRuns.get(task) ?? 0, run))
      return { refusal: null, clockMs }
    })
  }

  pace (): Promise<OrderAnswer> {
    return Promise.resolve({ refusal: null, clockMs: this.#world.clock.now() })
  }

  close (): void {}

  #beginRun ({ task, run }: StartRequest): void {
    const { clock, random, violations, runningOn, finishedTasks, getStep } = this.#world
    const others = runningOn.get(task) ?? new Set()
    if (others.size > 0) violations.push(`${task} is started while it is already running`)
    if (finishedTasks.has(task)) violations.push(`${task} is started after its end was acknowledged`)
    if (this.#world.crashingTasks.has(task)) this.#crashSoon(task)
    const { estimateMs, isLasting } = getStep(task)
    const tookMs = isLasting ? Number.POSITIVE_INFINITY : estimateMs * (0.5 + random.next())
    this.#runs.set(task, { run, startedAt: clock.now(), endsAt: clock.now() + tookMs, outcome: random.next() < 0.05 ? 'failed' : 'done' })
    runningOn.set(task, others.add(this))
    const used = [...this.#runs.keys()].reduce((sum, other) => sum + getStep(other).cpu, 0)
    if (used > this.#cpuCapacity) violations.push(`${task} exceeds the capacity of its worker`)
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

  #endRun (task: string, outcome: RunOutcome): void {
    const run = this.#runs.get(task)?.run ?? 0
    this.#removeRun(task)
    this.#revokedRuns.set(task, run)
    this.#unacknowledgedEnds.push({ seq: ++this.#lastEndSeq, task, run, outcome, checkpoint: '' })
  }

  #removeRun (task: string): void {
    this.#runs.delete(task)
    this.#world.runningOn.get(task)?.delete(this)
  }

  async #runUntilCrash (): Promise<void> {
    const { clock } = this.#world
    while (!this.#isDead) {
      const now = clock.now()
      if (now > this.#leaseEnd) this.#lapsedSeq = this.#lastEndSeq
      for (const [task, { endsAt, outcome }] of [...this.#runs]) {
        if (now > this.#leaseEnd) this.#endRun(task, 'lapsed')
        else if (now >= endsAt) this.#endRun(task, outcome)
      }
      await clock.sleep(TICK_MS)
    }
  }

  async #simulateCall<T> (timeoutMs: Millis, run: () => Promise<T> | T): Promise<T> {
    const { clock, random, faults } = this.#world
    const isReached = !this.#isDead && !this.isPartitioned
    const chance = random.next()
    await clock.sleep(CALL_LATENCY_MS)
    const isReceived = isReached && !this.#isDead
    if (isReceived && chance >= faults.requestLost + faults.answerLost + faults.late) {
      const answer = await run()
      if (!this.isPartitioned && !this.#isDead) return answer
    } else if (isReceived && chance >= faults.requestLost) {
      const isLate = chance < faults.requestLost + faults.late
      void clock.sleep(isLate ? LATE_CALL_DELAY_MS * (1 + random.next()) : 0).then(() => this.#isDead ? undefined : run())
    }
    await clock.sleep(timeoutMs)
    throw new Error('no answer')
  }
}

/** Returns the progress of a run, or of the start-up for a long-running task, in percent. */
function computePercent (ranMs: Millis, tookMs: Millis): number {
  return Math.min(100, Math.floor(ranMs / (tookMs === Number.POSITIVE_INFINITY ? LONG_RUNNING_START_MS : tookMs) * 100))
}

/**
 * Creates a function that returns the step of a task.
 *
 * @param steps - steps by job id
 */
export function createStepLookup (steps: ReadonlyMap<string, readonly Step[]>): (task: string) => Step {
  return (task) => {
    const position = parseTask(task)
    const step = position === null ? undefined : steps.get(position.job)?.[position.step]
    if (step === undefined) throw new Error(`${task} was never submitted`)
    return step
  }
}
