import { expect } from 'chai'
import { createConfig, createJob, createStep, createWorker } from '../../batch/fixtures/index.js'
import { Random } from '../../batch/fuzz/random.js'
import { SimWorker } from '../../batch/fuzz/simFleet.js'
import { createStepLookup } from '../../batch/fuzz/simSteps.js'
import type { SimWorld } from '../../batch/fuzz/simWorld.js'
import type { TermContext } from '../../batch/leader/context.js'
import { RunStats } from '../../batch/runStats/index.js'
import { BatchScheduler } from '../../batch/scheduler/index.js'
import { BatchState } from '../../batch/state/index.js'
import type { BatchCommand } from '../../batch/state/records.js'
import type { Step } from '../../batch/types.js'
import { ManualClock } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { Metrics } from '../../metrics/index.js'
import { MAX_WORKER_LEASE_MS } from '../../workers/constants.js'
import { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import { MachineDrainer } from '../machineDrainer/index.js'
import type { MachineCalls, MachineStatus, MachineVerdict } from '../types.js'
import { MaintenanceRunner } from './index.js'

const JOB = '00000000000000aa'
const MAINTENANCE_MS = 2000
const REPORT_MS = 300

/** A leader's term with simulated workers, and a platform that takes their machines into maintenance. */
class Harness implements MachineCalls {
  readonly clock = new ManualClock()
  readonly state = new BatchState()
  readonly orders: string[] = []
  /** Machines for which the platform has carried out the order; it accepts further ones without effect. */
  readonly carriedOut = new Set<string>()
  /** How the platform answers the next orders: it loses the answer of one it carries out, or refuses one for the moment. */
  readonly nextAnswers: Array<'lost' | 'throttled'> = []
  listDelayMs = 0
  mostDown = 0
  /** Number of proposals by type. */
  readonly proposals = new Map<string, number>()
  readonly #steps = new Map<string, readonly Step[]>()
  readonly #incarnations = new Map<string, SimWorker>()
  readonly #world: SimWorld
  readonly #registry: WorkerRegistry
  readonly #end = new AbortController()
  readonly #listed: readonly MachineStatus[]
  readonly #machines: readonly string[]
  #index = 0
  #born = 0
  #down = 0

  constructor (workers: number, listed: readonly MachineStatus[] = [], ordered: readonly string[] = []) {
    this.#listed = listed
    this.#world = { crashingTasks: new Set(), crashesUnder: new Map(), startsAfterThirdCrash: new Map(), onCrash: () => {}, clock: this.clock, random: new Random(1), violations: [], getStep: createStepLookup(this.#steps), runningOn: new Map(), finishedTasks: new Set(), faults: { requestLost: 0, answerLost: 0, late: 0 } }
    const context: TermContext = {
      clock: this.clock,
      log: new EventLog('test', this.clock, { writableLength: 0, write: () => {} }),
      metrics: new Metrics(),
      state: this.state,
      term: 1,
      holder: 'leader',
      mayOrder: () => !this.#end.signal.aborted,
      signal: this.#end.signal,
      propose: async (type, input) => {
        this.proposals.set(type, (this.proposals.get(type) ?? 0) + 1)
        await this.clock.sleep(5)
        return this.apply({ type, at: this.clock.wall(), ...input } as unknown as BatchCommand)
      }
    }
    const work = new Notifier(this.clock)
    this.#registry = new WorkerRegistry(context, { connect: (record) => this.#incarnations.get(record.machine) as SimWorker, countCallers: () => 1, maxLeaseMs: MAX_WORKER_LEASE_MS }, () => { work.notify() })
    const drainer = new MachineDrainer(context, this.#registry, () => false)
    const scheduler = new BatchScheduler(context, this.#registry, new RunStats(), { isCordoned: (session) => drainer.isCordoned(session), getAllowedWorkers: () => null, getTicket: () => null }, work)
    // An earlier leader has ordered these.
    if (ordered.length > 0) this.startOrderedWave(ordered)
    void scheduler.run()
    void new MaintenanceRunner(context, this.#registry, this, drainer).run()
    this.apply({ type: 'configure', at: 1, config: createConfig(1) })
    this.#machines = Array.from({ length: workers }, (_, i) => `m-w${i}`)
    for (const machine of this.#machines) this.#startIncarnation(machine)
  }

  apply (command: BatchCommand): unknown {
    return this.state.apply(++this.#index, command)
  }

  submit (steps: readonly Step[]): void {
    this.#steps.set(JOB, steps)
    this.apply({ type: 'accept', at: this.clock.wall(), jobs: [createJob(JOB, { steps })] })
  }

  startWave (machines: readonly string[], cap: number): void {
    this.apply({ type: 'startWave', at: this.clock.wall(), wave: { id: 1, machines, deadlineMs: 30_000, cap } })
  }

  startOrderedWave (machines: readonly string[]): void {
    this.startWave(machines, machines.length)
    this.apply({ type: 'markUpkeep', at: this.clock.wall(), wave: 1, marks: machines.map((machine) => ({ machine, state: 'ordered' })) })
  }

  get isCompleted (): boolean {
    return this.state.data.waves.get(1)?.isCompleted === true
  }

  get violations (): readonly string[] {
    return this.#world.violations
  }

  /** Session with the latest incarnation on a machine. */
  sessionOn (machine: string): WorkerSession | undefined {
    return this.#registry.sessionOf(`${machine.slice(2)}@${this.#incarnations.get(machine)?.born}`)
  }

  /** Machine on which a task is running. */
  machineOf (task: string): string {
    const workers = this.#world.runningOn.get(task)
    return [...this.#incarnations].find(([, incarnation]) => workers?.has(incarnation))?.[0] as string
  }

  get runningTasks (): number {
    return [...this.#world.runningOn.values()].filter((workers) => workers.size > 0).length
  }

  async advance (ms: number, onAdvance: () => void = () => {}): Promise<void> {
    for (let at = 0; at < ms; at += REPORT_MS) {
      for (const [machine, { born }] of this.#incarnations) {
        const { isDraining: _, ...record } = createWorker(machine.slice(2), { born })
        void this.#registry.report({ ...record, state: 'ready', drainLeftMs: null, sequence: this.clock.now() })
      }
      await this.clock.advance(REPORT_MS)
      onAdvance()
    }
  }

  end (): void {
    this.#end.abort()
    this.#registry.end()
    for (const incarnation of this.#incarnations.values()) incarnation.crash()
  }

  async list (): Promise<readonly MachineStatus[]> {
    const owned = this.#machines.map((machine): MachineStatus => ({ machine, service: 'booth', state: this.#incarnations.has(machine) ? 'up' : 'upkeep', worker: machine.slice(2) }))
    await this.clock.sleep(this.listDelayMs)
    return [...owned, ...this.#listed]
  }

  /** Starts a worker on a machine that was powered off. */
  powerOn (machine: string): void {
    this.#startIncarnation(machine)
  }

  async startMaintenance (machine: string, _wave: number, _fence: unknown, timeoutMs: number): Promise<MachineVerdict> {
    await this.clock.sleep(3)
    this.orders.push(machine)
    const answer = this.nextAnswers.shift()
    if (answer === 'throttled') return answer
    if (!this.carriedOut.has(machine)) this.#carryOut(machine)
    if (answer === undefined) return 'accepted'
    await this.clock.sleep(timeoutMs)
    throw new Error('no answer')
  }

  #carryOut (machine: string): void {
    this.carriedOut.add(machine)
    this.#incarnations.get(machine)?.crash()
    this.#incarnations.delete(machine)
    this.#down += 1
    this.mostDown = Math.max(this.mostDown, this.#down)
    void this.clock.sleep(MAINTENANCE_MS).then(() => {
      this.#down -= 1
      if (!this.#end.signal.aborted && this.#machines.includes(machine)) this.#startIncarnation(machine)
    })
  }

  move (): Promise<MachineVerdict> {
    return Promise.resolve('busy')
  }

  #startIncarnation (machine: string): void {
    this.#incarnations.set(machine, new SimWorker(this.#world, ++this.#born, 16_000))
  }
}

describe('MaintenanceRunner', () => {
  let harness: Harness

  afterEach(() => { harness.end() })

  it('takes every machine of a wave into maintenance, and no more at once than the wave allows', async () => {
    harness = new Harness(6)
    await harness.advance(600)
    harness.startWave(['m-w0', 'm-w1', 'm-w2', 'm-w3', 'm-w4'], 2)
    await harness.advance(15_000)
    expect(harness.isCompleted).to.equal(true)
    expect([...harness.orders].sort()).to.deep.equal(['m-w0', 'm-w1', 'm-w2', 'm-w3', 'm-w4'])
    expect(harness.mostDown).to.equal(2)
  })

  it('stops a long-running task only when another worker can take it', async () => {
    harness = new Harness(3)
    harness.submit([createStep({ count: 2, isLasting: true, maxUnavailable: 1, maxPerWorker: 1 })])
    await harness.advance(3000)
    expect(harness.runningTasks).to.equal(2)
    harness.startWave(['m-w0', 'm-w1', 'm-w2'], 3)
    let unavailableMs = 0
    let maxUnavailableMs = 0
    await harness.advance(30_000, () => {
      unavailableMs = harness.runningTasks < 2 ? unavailableMs + REPORT_MS : 0
      maxUnavailableMs = Math.max(maxUnavailableMs, unavailableMs)
    })
    expect(harness.isCompleted).to.equal(true)
    expect(maxUnavailableMs).to.be.below(MAINTENANCE_MS)
  })

  it('moves long-running tasks one by one', async () => {
    harness = new Harness(3)
    harness.submit([createStep({ count: 5, isLasting: true, maxUnavailable: 1 })])
    await harness.advance(3000)
    expect(harness.runningTasks).to.equal(5)
    harness.startWave(['m-w0', 'm-w1', 'm-w2'], 3)
    let fewest = 5
    await harness.advance(30_000, () => { fewest = Math.min(fewest, harness.runningTasks) })
    expect(harness.isCompleted).to.equal(true)
    expect(fewest).to.be.at.least(4)
  })

  it('completes when long-running tasks need nearly all machines of their pool', async () => {
    harness = new Harness(3)
    harness.submit([createStep({ count: 4, isLasting: true, maxUnavailable: 1, maxPerWorker: 2 })])
    await harness.advance(3000)
    expect(harness.runningTasks).to.equal(4)
    harness.startWave(['m-w0', 'm-w1', 'm-w2'], 3)
    await harness.advance(30_000)
    expect(harness.isCompleted).to.equal(true)
  })

  it('waits for runs that cannot save their progress', async () => {
    harness = new Harness(2)
    harness.submit([createStep({ estimateMs: 1000 })])
    await harness.advance(600)
    harness.startWave(['m-w0', 'm-w1'], 1)
    await harness.advance(10_000)
    expect(harness.isCompleted).to.equal(true)
    expect(harness.state.data.jobs.get(JOB)?.occurrences.get(0)?.[0]?.tasks[0]).to.include({ isDone: true, lastRun: 1 })
  })

  it('commits the orders and the returns of one cycle together', async () => {
    const machines = Array.from({ length: 12 }, (_, i) => `m-w${i}`)
    harness = new Harness(machines.length + 1)
    await harness.advance(600)
    harness.startWave(machines, machines.length)
    await harness.advance(10_000)
    expect(harness.isCompleted).to.equal(true)
    // One commit for each machine whose maintenance has begun, and a few for all others.
    expect(harness.proposals.get('markUpkeep')).to.be.within(machines.length, machines.length + 6)
  })

  it('includes powered-off machines, and skips a machine that the platform no longer has', async () => {
    harness = new Harness(1, [{ machine: 'm-off', service: 'off', state: 'up', worker: '' }])
    await harness.advance(600)
    harness.startWave(['m-off', 'm-gone'], 1)
    await harness.advance(6000)
    expect(harness.orders).to.deep.equal(['m-off'])
    expect(harness.isCompleted).to.equal(true)
  })

  it('leaves the runs of an incarnation alone that an order of an earlier leader has not ended (task ran twice)', async () => {
    harness = new Harness(2)
    harness.submit([createStep({ estimateMs: 20_000 })])
    await harness.advance(900)
    const machine = harness.machineOf(`${JOB}.0.0.0`)
    harness.carriedOut.add(machine)
    harness.startOrderedWave([machine])
    await harness.advance(3000)
    expect(harness.violations).to.deep.equal([])
    expect(harness.machineOf(`${JOB}.0.0.0`)).to.equal(machine)
    expect(harness.sessionOn(machine)?.isLive).to.equal(true)
    expect(harness.isCompleted).to.equal(true)
  })

  it('drains a machine that a slow list shows as powered off and that has got long-running tasks meanwhile (AVAIL)', async () => {
    harness = new Harness(0, [{ machine: 'm-w9', service: 'spare', state: 'up', worker: '' }])
    harness.listDelayMs = 1200
    harness.submit([createStep({ count: 3, isLasting: true, maxUnavailable: 1 })])
    harness.startWave(['m-w9'], 1)
    await harness.advance(300)
    harness.powerOn('m-w9')
    await harness.advance(600)
    expect(harness.runningTasks).to.equal(3)
    let fewest = 3
    await harness.advance(9000, () => { fewest = Math.min(fewest, harness.runningTasks) })
    expect(fewest).to.be.at.least(2)
  })

  it('keeps the next incarnation enrolled when an order is repeated after its answer was lost', async () => {
    harness = new Harness(2)
    await harness.advance(600)
    harness.nextAnswers.push('lost', 'throttled', 'throttled')
    harness.startWave(['m-w0'], 1)
    await harness.advance(6000)
    expect(harness.orders).to.have.length(4)
    // One for each worker, and one for the next incarnation.
    expect(harness.proposals.get('enrol')).to.equal(3)
    expect(harness.isCompleted).to.equal(true)
  })

  it('counts a machine as back only when an incarnation after its order answers', async () => {
    harness = new Harness(4)
    await harness.advance(600)
    harness.nextAnswers.push('throttled')
    harness.startWave(['m-w0', 'm-w1', 'm-w2', 'm-w3'], 1)
    await harness.advance(20_000)
    expect(harness.isCompleted).to.equal(true)
    expect(harness.mostDown).to.equal(1)
  })

  it('places no tasks on a machine that an earlier leader has ordered until the verdict is known', async () => {
    harness = new Harness(2, [], ['m-w0'])
    harness.carriedOut.add('m-w0')
    harness.nextAnswers.push('throttled', 'throttled')
    harness.submit([createStep({ count: 2, estimateMs: 20_000, maxPerWorker: 1 })])
    await harness.advance(900)
    expect(harness.runningTasks).to.equal(1)
    await harness.advance(3000)
    expect(harness.runningTasks).to.equal(2)
    expect(harness.violations).to.deep.equal([])
  })
})
