/** The simulated workers of one simulation: they crash, restart under their ids, report, and are cut off. */
import type { Millis } from '../../clock/index.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerAddress } from '../../workers/relay/types.js'
import { createWorker } from '../fixtures/index.js'
import { AddressCalls } from './simCalls.js'
import { SimWorker } from './simFleet.js'
import type { MillisRange, SimVariant } from './simVariant.js'
import type { SimWorld } from './simWorld.js'

const CPU_CAPACITY = 4000

/** Number of racks that the workers are spread over. */
export const RACKS = 2

/** Bounds of the time after which a worker that a task has crashed is back. */
const RESTART_MS: MillisRange = [500, 5000]

/** Incarnations of a fixed number of workers. */
export class SimWorkers {
  readonly #world: SimWorld
  readonly #variant: SimVariant
  readonly #incarnations: SimWorker[] = []
  readonly #firstReportAt = new WeakMap<SimWorker, Millis>()

  /**
   * @param world - state shared by all workers
   * @param variant - faults of the workers
   */
  constructor (world: SimWorld, variant: SimVariant) {
    this.#world = world
    this.#variant = variant
  }

  /** All incarnations so far. */
  get incarnations (): readonly SimWorker[] {
    return this.#incarnations
  }

  /** Starts the first incarnation of each worker. */
  startAll (): void {
    for (let i = 0; i < this.#variant.workers; i++) this.#startIncarnation(i)
  }

  /** Connects to the address of a worker, where another incarnation may answer later. */
  connect ({ address }: WorkerAddress): AddressCalls {
    return new AddressCalls(this.#world, () => this.#incarnations.findLast((incarnation) => incarnation.address === address) as SimWorker)
  }

  /** Crashes some worker and restarts it, at once or after a time. */
  restartOne (): void {
    const { random } = this.#world
    const { restartMs } = this.#variant
    const i = random.nextInt(this.#variant.workers)
    const worker = this.#findLatest(i)
    if (restartMs[1] === 0 || worker === undefined) {
      this.#startIncarnation(i)
    } else if (!worker.isDead) {
      worker.crash()
      const { goneShare, calmPhaseMs } = this.#variant
      this.#restartLater(worker, random.isBelow(goneShare) ? [calmPhaseMs, calmPhaseMs + restartMs[1]] : restartMs)
    }
  }

  /** Crashes several workers at the same moment, each of which is back some time later. */
  restartSeveral (): void {
    const { random } = this.#world
    const { workers: total, jointRestarts: [fewest, most], restartMs } = this.#variant
    const first = random.nextInt(total)
    const count = fewest + random.nextInt(most - fewest + 1)
    const workers = Array.from({ length: count }, (_, i) => this.#findLatest((first + i) % total)).filter((worker) => worker?.isDead === false) as SimWorker[]
    for (const worker of workers) worker.crash()
    for (const worker of workers) this.#restartLater(worker, restartMs)
  }

  /** @param worker - an incarnation that a task has crashed */
  restartCrashed (worker: SimWorker): void {
    this.#restartLater(worker, RESTART_MS)
  }

  /** Cuts the latest incarnation off, or ends that. */
  togglePartition (): void {
    for (const { condition } of this.#incarnations.slice(-1)) condition.isPartitioned = !condition.isPartitioned
  }

  /** Makes some worker silent. */
  silenceOne (): void {
    const { random } = this.#world
    const worker = this.#findLatest(random.nextInt(this.#variant.workers))
    worker?.condition.fallSilent(random.next() < 0.5 ? 'answers' : 'both', random.nextBetween(this.#variant.silenceMs))
  }

  /** Makes some worker ill. */
  infectOne (): void {
    const { random } = this.#world
    this.#findLatest(random.nextInt(this.#variant.workers))?.condition.fallIll(random.next() < 0.5 ? 'refusing' : 'failing', random.nextBetween(this.#variant.illnessMs))
  }

  /** Ends all partitions, silences and illnesses. */
  recover (): void {
    for (const { condition } of this.#incarnations) {
      condition.isPartitioned = false
      condition.fallSilent('both', 0)
      condition.fallIll('failing', 0)
    }
  }

  /**
   * Sends the reports of all workers that are not cut off.
   *
   * @param registry - receives them
   */
  async report (registry: WorkerRegistry): Promise<void> {
    const { clock } = this.#world
    for (let i = 0; i < this.#variant.workers; i++) {
      const incarnation = this.#findLatest(i)
      if (incarnation === undefined || incarnation.isCutOff) continue
      if (clock.now() < (this.#firstReportAt.get(incarnation) ?? 0)) continue
      if (incarnation.isDead && !this.#variant.hasLateReports) continue
      const { isDraining: _, ...record } = createWorker(`w${i}`, { born: incarnation.born, address: incarnation.address, labels: ['a', `r${i % RACKS}`], room: { cpu: CPU_CAPACITY, memory: 100_000, accelerators: 0 } })
      void registry.report({ ...record, state: 'ready', drainLeftMs: null, sequence: clock.now() }).catch(() => {})
    }
    await Promise.resolve()
  }

  /** Crashes a worker and restarts it under the same id, with a later start time than all incarnations so far. */
  #startIncarnation (i: number): void {
    const previous = this.#findLatest(i)
    previous?.crash()
    const born = (this.#incarnations.length + 1) * this.#variant.workers + i
    const address = previous !== undefined && this.#world.random.isBelow(this.#variant.keptAddressShare) ? previous.address : formatAddress(born)
    const worker = new SimWorker(this.#world, born, CPU_CAPACITY, address, this.#createWorkerClock())
    this.#incarnations.push(worker)
    if (previous !== undefined) this.#impairReturn(worker)
  }

  /** Delays the first report of a worker that has restarted, and cuts it off soon after. */
  #impairReturn (worker: SimWorker): void {
    const { clock, random } = this.#world
    const { firstReportMs, cutOffShare, cutOffDelayMs, cutOffMs } = this.#variant
    if (firstReportMs[1] > 0) this.#firstReportAt.set(worker, clock.now() + random.nextBetween(firstReportMs))
    if (!random.isBelow(cutOffShare)) return
    clock.after(random.nextBetween(cutOffDelayMs), () => {
      if (!worker.isDead) worker.condition.fallSilent(random.next() < 0.5 ? 'answers' : 'both', random.nextBetween(cutOffMs))
    })
  }

  #createWorkerClock (): () => Millis {
    const { clock, random } = this.#world
    const { slowestClockRate } = this.#variant
    if (slowestClockRate === null) return () => clock.now()
    const startedAt = clock.now()
    const rate = slowestClockRate + random.next() * (1 - slowestClockRate)
    return () => Math.floor((clock.now() - startedAt) * rate)
  }

  /** Restarts a worker some time after its crash, unless it was restarted before. */
  #restartLater (worker: SimWorker, range: MillisRange): void {
    const { clock, random } = this.#world
    const i = worker.born % this.#variant.workers
    void clock.sleep(random.nextBetween(range)).then(() => {
      if (this.#findLatest(i) === worker) this.#startIncarnation(i)
    })
  }

  #findLatest (i: number): SimWorker | undefined {
    return this.#incarnations.findLast(({ born }) => born % this.#variant.workers === i)
  }
}

function formatAddress (born: number): string {
  return `incarnation-${born}:80`
}
