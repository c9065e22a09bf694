/** Workers in one process on a hand-driven clock, with an oracle that watches what they are told to run. */
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

/** How often calls go wrong, each between 0 and 1. */
export interface CallFaults {
  readonly requestLost: number
  readonly answerLost: number
  /** The call gets no answer and is carried out seconds later. */
  readonly late: number
}

/** What must never happen, told by the oracle. */
export type Violation = string

const ANSWER_MS: Millis = 2
const LATE_MS: Millis = 2500
const TICK_MS: Millis = 20

/** A task that lasts is at work this long after its start. */
const LASTING_START_MS: Millis = 200

/** What all workers share. */
export interface SimWorld {
  readonly clock: ManualClock
  readonly random: Random
  readonly violations: Violation[]
  readonly stepOf: (task: string) => Step
  /** Runs at work, by task, over all workers. */
  readonly atWork: Map<string, Set<SimWorker>>
  /** Tasks whose end as done was acknowledged. */
  readonly finished: Set<string>
  faults: CallFaults
}

/** One life of a worker. */
export class SimWorker implements WorkerCalls {
  isCutOff = false
  readonly #world: SimWorld
  readonly #room: number
  readonly #runs = new Map<string, SimRun>()
  readonly #barred = new Map<string, number>()
  #ends: EndedRun[] = []
  #endCount = 0
  #token = 0
  #leaseEnd: Millis = 0
  /** Ends up to this one were not acknowledged before the lease lapsed: they need not count. */
  #lapsedSeq = 0
  #isDead = false

  /**
   * @param world - what all share
   * @param born - when this life began
   * @param room - thousandths of cores
   */
  constructor (world: SimWorld, readonly born: number, room: number) {
    this.#world = world
    this.#room = room
    void this.#live()
  }

  /** Ends this life without a word. */
  crash (): void {
    this.#isDead = true
    for (const task of [...this.#runs.keys()]) this.#remove(task)
  }

  poll (req: WorkerPollRequest, timeoutMs: Millis): Promise<WorkerPollAnswer> {
    return this.#call(timeoutMs, async () => {
      if (req.token < this.#token) return { refusal: 'fenced' as const }
      this.#token = req.token
      if (req.leaseEndMs !== null) this.#leaseEnd = Math.max(this.#leaseEnd, req.leaseEndMs)
      for (const { seq, task, outcome } of this.#ends) if (seq <= req.acknowledgedSeq && seq > this.#lapsedSeq && outcome === 'done') this.#world.finished.add(task)
      this.#ends = this.#ends.filter(({ seq }) => seq > req.acknowledgedSeq)
      const until = this.#world.clock.now() + req.waitMs
      while (this.#ends.length === 0 && this.#world.clock.now() < until && !this.#isDead) await this.#world.clock.sleep(TICK_MS)
      const now = this.#world.clock.now()
      const running = [...this.#runs].map(([task, { run, startedAt, endsAt }]) => ({ task, run, checkpoint: '', percent: percentOf(now - startedAt, endsAt - startedAt), load: null }))
      return { refusal: null, clockMs: now, born: this.born, running, ended: [...this.#ends] }
    })
  }

  start (req: StartRequest, timeoutMs: Millis): Promise<OrderAnswer> {
    return this.#call(timeoutMs, () => {
      const { clock } = this.#world
      const clockMs = clock.now()
      if (req.token < this.#token) return { refusal: 'fenced', clockMs }
      this.#token = req.token
      if (req.leaseEndMs < clockMs) return { refusal: 'late', clockMs }
      this.#leaseEnd = Math.max(this.#leaseEnd, req.leaseEndMs)
      if (this.#runs.get(req.task)?.run === req.run) return { refusal: null, clockMs }
      if (req.run <= (this.#barred.get(req.task) ?? 0)) return { refusal: 'stale', clockMs }
      this.#begin(req)
      return { refusal: null, clockMs }
    })
  }

  stop ({ token, task, run }: { readonly token: number, readonly task: string, readonly run: number }, timeoutMs: Millis): Promise<OrderAnswer> {
    return this.#call(timeoutMs, () => {
      const clockMs = this.#world.clock.now()
      if (token < this.#token) return { refusal: 'fenced', clockMs }
      const running = this.#runs.get(task)
      if (running !== undefined && running.run <= run) this.#end(task, 'stopped')
      this.#barred.set(task, Math.max(this.#barred.get(task) ?? 0, run))
      return { refusal: null, clockMs }
    })
  }

  pace (): Promise<OrderAnswer> {
    return Promise.resolve({ refusal: null, clockMs: this.#world.clock.now() })
  }

  close (): void {}

  #begin ({ task, run }: StartRequest): void {
    const { clock, random, violations, atWork, finished, stepOf } = this.#world
    const others = atWork.get(task) ?? new Set()
    if (others.size > 0) violations.push(`${task} begins twice at the same time`)
    if (finished.has(task)) violations.push(`${task} begins after its end was acknowledged`)
    const { estimateMs, isLasting } = stepOf(task)
    const tookMs = isLasting ? Number.POSITIVE_INFINITY : estimateMs * (0.5 + random.next())
    this.#runs.set(task, { run, startedAt: clock.now(), endsAt: clock.now() + tookMs, outcome: random.next() < 0.05 ? 'failed' : 'done' })
    atWork.set(task, others.add(this))
    const used = [...this.#runs.keys()].reduce((sum, other) => sum + stepOf(other).cpu, 0)
    if (used > this.#room) violations.push(`${task} needs more room than its worker has`)
  }

  #end (task: string, outcome: RunOutcome): void {
    const run = this.#runs.get(task)?.run ?? 0
    this.#remove(task)
    this.#barred.set(task, run)
    this.#ends.push({ seq: ++this.#endCount, task, run, outcome, checkpoint: '' })
  }

  #remove (task: string): void {
    this.#runs.delete(task)
    this.#world.atWork.get(task)?.delete(this)
  }

  async #live (): Promise<void> {
    const { clock } = this.#world
    while (!this.#isDead) {
      const now = clock.now()
      if (now > this.#leaseEnd) this.#lapsedSeq = this.#endCount
      for (const [task, { endsAt, outcome }] of [...this.#runs]) {
        if (now > this.#leaseEnd) this.#end(task, 'lapsed')
        else if (now >= endsAt) this.#end(task, outcome)
      }
      await clock.sleep(TICK_MS)
    }
  }

  async #call<T> (timeoutMs: Millis, run: () => Promise<T> | T): Promise<T> {
    const { clock, random, faults } = this.#world
    const isReached = !this.#isDead && !this.isCutOff
    const chance = random.next()
    await clock.sleep(ANSWER_MS)
    const isServed = isReached && !this.#isDead
    if (isServed && chance >= faults.requestLost + faults.answerLost + faults.late) {
      const answer = await run()
      if (!this.isCutOff && !this.#isDead) return answer
    } else if (isServed && chance >= faults.requestLost) {
      const isLate = chance < faults.requestLost + faults.late
      void clock.sleep(isLate ? LATE_MS * (1 + random.next()) : 0).then(() => this.#isDead ? undefined : run())
    }
    await clock.sleep(timeoutMs)
    throw new Error('no answer')
  }
}

/** How far a run is; a task that lasts is at work soon after its start. */
function percentOf (ranMs: Millis, tookMs: Millis): number {
  return Math.min(100, Math.floor(ranMs / (tookMs === Number.POSITIVE_INFINITY ? LASTING_START_MS : tookMs) * 100))
}

/** @param steps - steps of a job, by the job's id */
export function createStepLookup (steps: ReadonlyMap<string, readonly Step[]>): (task: string) => Step {
  return (task) => {
    const place = parseTask(task)
    const step = place === null ? undefined : steps.get(place.job)?.[place.step]
    if (step === undefined) throw new Error(`nobody handed ${task} in`)
    return step
  }
}
