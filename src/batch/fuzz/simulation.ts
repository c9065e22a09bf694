/** Simulates a fleet under successive leaders, for tests. */
import { ManualClock } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { Metrics } from '../../metrics/index.js'
import { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerAddress } from '../../workers/relay/types.js'
import { RelayedWorkerCalls } from '../../workers/relayedCalls/index.js'
import { RelayRouter } from '../../workers/relayRouter/index.js'
import type { TermContext } from '../leader/context.js'
import { createConfig, createJob, createQueue, createWorkspace } from '../fixtures/index.js'
import { PlaceWait } from '../placeWait/index.js'
import { ProgressWatch } from '../progressWatch/index.js'
import { RunStats } from '../runStats/index.js'
import { RunTimes } from '../runTimes/index.js'
import { BatchScheduler } from '../scheduler/index.js'
import { BatchState } from '../state/index.js'
import type { BatchCommand } from '../state/records.js'
import { parseTask, workerKey, type Step, type TaskPosition } from '../types.js'
import { CapOracle } from './capOracle.js'
import { EndOracle, type Violation } from './endOracle.js'
import { LastingOracle } from './lastingOracle.js'
import { Random } from './random.js'
import { drawSteps } from './simJobs.js'
import { createStepLookup } from './simSteps.js'
import type { SimWorld } from './simWorld.js'
import { SimGangs } from './simGang.js'
import { SimRelays } from './simRelays.js'
import { NO_FAULTS, PLAIN_VARIANT, type MillisRange, type SimVariant } from './simVariant.js'
import { SimWorkers } from './simWorkers.js'

const RELAYS = 3
const STEP_MS = 100

const COMMIT_MS = 6

/** Bounds of the time from the crash of several workers to the change of the leader. */
const LEADER_CHANGE_MS: MillisRange = [0, 2500]

/** Tells the waits how much longer far runs take; the runs of the simulation don't. */
const REMOTE_PENALTY = 3

/** Simulates successive leaders over one replicated state, with workers and calls that fail. */
export class Simulation {
  readonly clock = new ManualClock()
  readonly state = new BatchState()
  readonly world: SimWorld
  /** Metrics of all terms. */
  readonly metrics = new Metrics()
  readonly #random: Random
  readonly #crashingShare: number
  readonly #variant: SimVariant
  readonly #steps = new Map<string, Step[]>()
  readonly #workers: SimWorkers
  readonly #relays: SimRelays
  readonly #lastingOracle: LastingOracle
  #term = 0
  #version = 0
  #index = 0
  #termEnd: AbortController | null = null
  #registry: WorkerRegistry | null = null
  #workNotifier: Notifier | null = null

  /**
   * @param seed - seed of all random choices
   * @param crashingShare - share of the jobs with a task that crashes each worker that starts it
   * @param variant - faults and jobs
   */
  constructor (seed: number, crashingShare = 0, variant = PLAIN_VARIANT) {
    this.#random = new Random(seed)
    this.#crashingShare = crashingShare
    this.#variant = variant
    const getStep = createStepLookup(this.#steps)
    const violations: Violation[] = []
    const printEvent = (event: string): void => { printLog(`${this.clock.now()} ${event}`) }
    this.world = {
      crashingTasks: new Set(),
      hopelessJobs: new Set(),
      crashesUnder: new Map(),
      startsAfterThirdCrash: new Map(),
      onCrash: (worker) => { this.#workers.restartCrashed(worker) },
      clock: this.clock,
      random: this.#random,
      variant,
      violations,
      oracle: new EndOracle(violations, (task) => getStep(task).isGang),
      gangs: new SimGangs(this.clock, this.#random, getStep),
      getStep,
      runningOn: new Map(),
      finishedTasks: new Set(),
      trace: printEvent,
      faults: NO_FAULTS
    }
    this.#workers = new SimWorkers(this.world, variant)
    this.#lastingOracle = new LastingOracle(this.clock, this.world, violations, (task) => this.#describeTask(task))
    this.#relays = new SimRelays(this.clock, this.#random, (worker) => this.#workers.connect(worker), RELAYS, printEvent)
    if (variant.caps.length > 0) this.world.capOracle = new CapOracle(this.clock, this.world, violations)
    this.#configure(variant.caps)
    this.#workers.startAll()
  }

  /** Ends the current term as a leader failure does, and starts the next one. */
  async changeLeader (): Promise<void> {
    this.#termEnd?.abort()
    this.#registry?.end()
    this.#term += 1
    const end = new AbortController()
    const log = new EventLog('fuzz', this.clock, { writableLength: 0, write: printLog })
    const context: TermContext = {
      clock: this.clock,
      log,
      metrics: this.metrics,
      state: this.state,
      term: this.#term,
      holder: `leader-${this.#term}`,
      mayOrder: () => !end.signal.aborted,
      signal: end.signal,
      propose: async (type, input) => {
        await this.clock.sleep(COMMIT_MS)
        if (end.signal.aborted) throw new Error('leadership has ended')
        return this.#apply({ type, at: this.clock.wall(), ...input } as unknown as BatchCommand)
      }
    }
    const workNotifier = new Notifier(this.clock)
    const { term } = context
    this.#relays.announceTerm(term)
    const router = new RelayRouter(this.clock, log, () => this.#relays.listMembers(term))
    const deps = { clock: this.clock, links: this.#relays.links, router, connect: (worker: WorkerAddress) => this.#workers.connect(worker), mayOrder: context.mayOrder, metrics: context.metrics, term }
    const registry = new WorkerRegistry(context, { connect: (record) => new RelayedWorkerCalls(workerKey(record), record, deps), countCallers: () => router.countCallers(), maxLeaseMs: this.#variant.maxLeaseMs }, () => { workNotifier.notify() })
    const stats = new RunStats()
    const runTimes = new RunTimes(REMOTE_PENALTY)
    const placeWait = this.#variant.nearShare > 0 ? new PlaceWait({ clock: this.clock, state: this.state, stats, runTimes, log, metrics: context.metrics }) : undefined
    const scheduler = new BatchScheduler(context, registry, stats, { isCordoned: () => false, getAllowedWorkers: () => null, getTicket: () => null, placeWait }, workNotifier, runTimes)
    this.#termEnd = end
    this.#registry = registry
    this.#workNotifier = workNotifier
    void scheduler.run()
    if (this.#variant.lastingShare > 0) void new ProgressWatch(context, registry, stats, runTimes).run()
    await this.#reportAll()
  }

  async simulate (): Promise<void> {
    await this.changeLeader()
    const { rounds, recoveryPhaseMs } = this.#variant
    for (let round = 0; round < Math.max(1, rounds); round++) {
      await this.#playFaults()
      this.#endFaults()
      if (rounds > 0) await this.#playCalm()
    }
    this.#cancelLasting()
    for (let at = 0; at < recoveryPhaseMs && this.state.activeJobs.size > 0; at += STEP_MS) {
      await this.#reportAll()
      await this.clock.advance(STEP_MS)
    }
    this.#termEnd?.abort()
    this.#registry?.end()
  }

  async #playFaults (): Promise<void> {
    this.world.faults = this.#variant.faults
    for (let at = 0; at < this.#variant.faultPhaseMs; at += STEP_MS) {
      this.#injectFaults()
      this.#lastingOracle.recordFault()
      if (this.#random.next() < 0.015) await this.changeLeader()
      await this.clock.advance(STEP_MS)
    }
  }

  #endFaults (): void {
    this.world.faults = NO_FAULTS
    // Under a lowered cap the largest gangs may not run at all.
    if (this.#variant.capChangeChance > 0) this.#configure(this.#variant.caps)
    this.#relays.recover()
    this.#workers.recover()
  }

  /** Passes time without faults, but for late calls that are on their way and workers that come back. */
  async #playCalm (): Promise<void> {
    for (let at = 0; at < this.#variant.calmPhaseMs; at += STEP_MS) {
      await this.#reportAll()
      await this.clock.advance(STEP_MS)
      this.#lastingOracle.sample(this.#workers.incarnations)
    }
  }

  #describeTask (name: string): string {
    const position = parseTask(name) as TaskPosition
    const task = this.state.data.jobs.get(position.job)?.occurrences.get(position.occurrence)?.[position.step]?.tasks[position.index]
    if (task === undefined || task.active.length === 0) return `it waits, ${task?.crashes ?? 0} crashes`
    return task.active.map(({ run, worker }) => {
      const session = this.#registry?.sessionOf(worker)
      return `run ${run} on ${worker} is ${session?.orders.get(name)?.phase ?? 'without an order'}, worker ${session?.goneReason ?? (session?.isLive === true ? 'live' : `silent, lease ${session?.isLeaseExpired === true ? 'over' : 'open'}`)}`
    }).join(', ')
  }

  #cancelLasting (): void {
    const ids = [...this.state.activeJobs.values()].filter(({ steps }) => steps.some(({ isLasting }) => isLasting)).map(({ id }) => id)
    if (ids.length > 0) this.#cancelJobs(ids)
  }

  #injectFaults (): void {
    const random = this.#random
    if (random.next() < this.#variant.submitChance) this.#submit()
    if (random.next() < 0.02) this.#cancel()
    if (random.next() < this.#variant.restartChance) this.#workers.restartOne()
    if (random.isBelow(this.#variant.jointRestartChance)) this.#restartSeveral()
    if (random.next() < 0.03) this.#workers.togglePartition()
    if (random.next() < 0.08) this.#relays.injectFault()
    if (random.isBelow(this.#variant.capChangeChance)) this.#configure(this.#variant.caps.map((cpu) => cpu === 0 ? 0 : cpu - random.nextInt(2) * cpu / 4))
    if (random.isBelow(this.#variant.silenceChance)) this.#workers.silenceOne()
    if (random.isBelow(this.#variant.illnessChance)) this.#workers.infectOne()
    void this.#reportAll()
  }

  /** Restarts several workers together, and changes the leader meanwhile in some cases. */
  #restartSeveral (): void {
    this.#workers.restartSeveral()
    if (!this.#random.isBelow(this.#variant.leaderChangeShare)) return
    this.clock.after(this.#random.nextBetween(LEADER_CHANGE_MS), () => { void this.changeLeader() })
  }

  #configure (caps: readonly number[]): void {
    const config = createConfig(++this.#version, [createQueue({ maxAttempts: this.#variant.maxAttempts })])
    const workspaces = caps.length === 0 ? null : caps.map((cpu, i) => createWorkspace(`w${i}`, { weight: i + 1, cap: { cpu, memory: 0, accelerators: 0 } }))
    this.#apply({ type: 'configure', at: this.clock.wall(), config: { ...config, workspaces } })
    caps.forEach((cpu, i) => { if (cpu > 0) this.world.capOracle?.setCap(`w${i}`, cpu) })
  }

  #submit (): void {
    const id = (this.#steps.size + 1).toString(16).padStart(16, '0')
    const steps = drawSteps(this.#random, this.#variant)
    const [first] = steps as [Step, ...Step[]]
    const { isLasting, count } = first
    if (!isLasting && this.#random.isBelow(this.#variant.hopelessShare)) this.world.hopelessJobs?.add(id)
    if (isLasting) this.#lastingOracle.watch(Array.from({ length: count }, (_, i) => `${id}.0.0.${i}`))
    this.#steps.set(id, steps)
    if (this.#random.isBelow(this.#crashingShare)) this.world.crashingTasks.add(`${id}.0.0.${this.#random.nextInt(count)}`)
    const { caps } = this.#variant
    const workspace = caps.length === 0 ? '' : `w${this.#random.nextInt(caps.length)}`
    this.world.capOracle?.recordJob(id, workspace)
    this.#apply({ type: 'accept', at: this.clock.wall(), jobs: [createJob(id, { steps, workspace })] })
    this.#workNotifier?.notify()
  }

  #cancel (): void {
    const [job] = [...this.state.activeJobs.keys()].slice(-1)
    if (job !== undefined) this.#cancelJobs([job])
  }

  #cancelJobs (ids: readonly string[]): void {
    for (const id of ids) this.#lastingOracle.forget(id)
    this.#apply({ type: 'cancel', at: this.clock.wall(), ids })
  }

  async #reportAll (): Promise<void> {
    if (this.#registry !== null) await this.#workers.report(this.#registry)
  }

  #apply (command: BatchCommand): unknown {
    return this.state.apply(++this.#index, command)
  }
}

/** Prints the log of the leader, and what the workers do, when it is asked for. */
function printLog (line: string): void {
  if (process.env.SHOW_LOGS !== undefined) console.log(line)
}
