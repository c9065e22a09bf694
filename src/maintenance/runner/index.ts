/** Runs maintenance waves: drains machines, orders their maintenance, and waits until they are back. */
import type { Millis } from '../../clock/index.js'
import type { TermContext } from '../../batch/leader/context.js'
import type { MaintenanceState, MaintenanceWave } from '../../batch/state/records.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import type { MachineDrainer } from '../machineDrainer/index.js'
import { findNextMachine, type WaitingMachine } from '../nextMachine/index.js'
import type { MachineCalls, MachineStatus, MachineVerdict } from '../types.js'

const CYCLE_INTERVAL_MS: Millis = 60

const ORDER_TIMEOUT_MS: Millis = 1500
const LIST_TIMEOUT_MS: Millis = 2000

/** Pause before an order for the same machine is repeated. */
const ORDER_RETRY_MS: Millis = 500

/** The platform's list of machines is read only while a machine of a wave has no live worker. */
const LIST_INTERVAL_MS: Millis = 2000

/** Progress of one machine to commit. */
interface MaintenanceMark {
  readonly machine: string
  readonly state: MaintenanceState
}

/** Runs the maintenance waves of one term. */
export class MaintenanceRunner {
  readonly #context: TermContext
  readonly #registry: WorkerRegistry
  readonly #machines: MachineCalls
  readonly #drainer: MachineDrainer
  /** Draining machines, each with the id of its wave. */
  readonly #draining = new Map<string, number>()
  /** When the last order for a machine was answered or failed; infinity while one is in flight, so that no second one is sent. */
  readonly #lastAttemptAt = new Map<string, Millis>()
  /** Orders, by wave and machine, that neither this leader nor an earlier one has sent yet. */
  readonly #unsentOrders = new Set<string>()
  /** Machines for which the platform has seen a later leader. */
  readonly #fenced = new Set<string>()
  #list: ReadonlyMap<string, MachineStatus> | null = null
  #listedAt: Millis = Number.NEGATIVE_INFINITY
  #isListing = false

  /**
   * @param context - shared dependencies of the term
   * @param registry - sessions with the workers
   * @param machines - client of the platform's machines
   * @param drainer - drains machines
   */
  constructor (context: TermContext, registry: WorkerRegistry, machines: MachineCalls, drainer: MachineDrainer) {
    this.#context = context
    this.#registry = registry
    this.#machines = machines
    this.#drainer = drainer
  }

  /**
   * Decides whether a wave is draining a machine or has ordered its maintenance.
   *
   * @param machine - name of the machine
   */
  isInMaintenance (machine: string): boolean {
    if (this.#draining.has(machine)) return true
    for (const wave of this.#context.state.data.waves.values()) {
      const state = wave.machines.get(machine)
      if (!wave.isCompleted && (state === 'ordered' || state === 'begun')) return true
    }
    return false
  }

  /** Runs cycles until the term ends. */
  async run (): Promise<void> {
    const { clock, signal, state, log, mayOrder } = this.#context
    this.#cordonOrdered()
    while (!signal.aborted) {
      await clock.sleep(CYCLE_INTERVAL_MS, signal)
      if (signal.aborted || !mayOrder()) continue
      for (const wave of state.data.waves.values()) {
        if (wave.isCompleted) continue
        try {
          await this.#advance(wave)
        } catch (err) {
          if (!signal.aborted) log.warn('wave.roundFailed', { wave: wave.id, reason: (err as Error).message })
        }
      }
    }
  }

  /** Cordons the machines that an earlier leader has ordered: their workers may be ended at any moment. */
  #cordonOrdered (): void {
    for (const wave of this.#context.state.data.waves.values()) {
      for (const [machine, state] of wave.machines) if (state === 'ordered') this.#cordon(wave, machine)
    }
  }

  #cordon (wave: MaintenanceWave, machine: string): void {
    this.#draining.set(machine, wave.id)
    this.#drainer.begin(machine)
  }

  async #advance (wave: MaintenanceWave): Promise<void> {
    await this.#recordReturned(wave)
    this.#drainAhead(wave)
    for (const [machine, state] of wave.machines) {
      if (state === 'ordered' && this.#mayEndRuns(machine)) void this.#orderMaintenance(wave, machine)
    }
    const drained: string[] = []
    for (const [machine, id] of this.#draining) {
      if (id !== wave.id || wave.machines.get(machine) !== 'waiting') continue
      const session = this.#registry.liveSessionOn(machine)
      if (session === undefined) this.#release(machine)
      else if (this.#drainer.advance(session)) drained.push(machine)
    }
    await this.#commitAndOrder(wave, drained)
    await this.#handleMissing(wave)
  }

  /** Whether an order may end what runs on a machine. Limited steps are drained first, also when an earlier leader has marked the machine. */
  #mayEndRuns (machine: string): boolean {
    if (!this.#drainer.listSteps(machine).some(({ maxUnavailable }) => maxUnavailable > 0)) return true
    const session = this.#registry.liveSessionOn(machine)
    return session !== undefined && this.#drainer.advance(session)
  }

  async #recordReturned (wave: MaintenanceWave): Promise<void> {
    const returned = [...wave.machines].filter(([machine, state]) => state === 'begun' && this.#registry.liveSessionOn(machine) !== undefined)
    await this.#mark(wave, returned.map(([machine]) => ({ machine, state: 'done' })))
  }

  /** Drains as many machines ahead as may be down at once, so that the next one is ready when one comes back. */
  #drainAhead (wave: MaintenanceWave): void {
    const unavailable = new Map<string, number>()
    let drainingCount = 0
    for (const [machine, id] of this.#draining) {
      if (wave.machines.get(machine) === 'waiting' && id === wave.id) drainingCount += 1
      const service = this.#registry.liveSessionOn(machine)?.record.service
      if (service !== undefined) unavailable.set(service, (unavailable.get(service) ?? 0) + 1)
    }
    if (drainingCount >= wave.cap) return
    const waiting = this.#listWaiting(wave)
    while (drainingCount < wave.cap) {
      const next = findNextMachine(waiting, unavailable)
      if (next === undefined) return
      waiting.splice(waiting.indexOf(next), 1)
      if (this.#isLastAvailable(next)) continue
      this.#cordon(wave, next.machine)
      this.#context.log.info('upkeep.emptying', { wave: wave.id, machine: next.machine, service: next.service, runs: next.runs })
      unavailable.set(next.service, (unavailable.get(next.service) ?? 0) + 1)
      drainingCount += 1
    }
  }

  #listWaiting (wave: MaintenanceWave): WaitingMachine[] {
    const waiting: WaitingMachine[] = []
    for (const [machine, state] of wave.machines) {
      if (state !== 'waiting' || this.#draining.has(machine)) continue
      const session = this.#registry.liveSessionOn(machine)
      if (session === undefined || session.record.isDraining) continue
      waiting.push({ machine, service: session.record.service, runs: this.#context.state.runsOn(session.key).size })
    }
    return waiting
  }

  /**
   * Whether no other worker of the service takes new tasks while the service has runs. The machine of such a worker is not
   * drained until another worker takes new tasks.
   */
  #isLastAvailable ({ machine, service }: WaitingMachine): boolean {
    let hasRuns = false
    for (const other of this.#registry.sessionsOf(service)) {
      if (!other.isLive) continue
      if (this.#context.state.runsOn(other.key).size > 0) hasRuns = true
      if (other.record.machine !== machine && !other.record.isDraining && !this.#drainer.isCordoned(other)) return false
    }
    return hasRuns
  }

  async #orderMaintenance (wave: MaintenanceWave, machine: string): Promise<void> {
    const { clock, log, mayOrder, holder, term } = this.#context
    if (clock.now() - (this.#lastAttemptAt.get(machine) ?? Number.NEGATIVE_INFINITY) < ORDER_RETRY_MS || this.#fenced.has(machine)) return
    this.#lastAttemptAt.set(machine, Number.POSITIVE_INFINITY)
    try {
      if (!mayOrder()) return
      // The platform also accepts an order that it has carried out before: only the first one is known to end who is there.
      const ended = this.#unsentOrders.delete(orderKey(wave, machine)) ? this.#registry.sessionsOn(machine) : []
      const verdict = await this.#machines.startMaintenance(machine, wave.id, { holder, token: term }, ORDER_TIMEOUT_MS)
      log.info('upkeep.ordered', { wave: wave.id, machine, verdict })
      await this.#onVerdict(wave, machine, verdict, ended)
    } catch (err) {
      log.info('upkeep.unclear', { wave: wave.id, machine, reason: (err as Error).message })
    } finally {
      this.#lastAttemptAt.set(machine, clock.now())
    }
  }

  async #onVerdict (wave: MaintenanceWave, machine: string, verdict: MachineVerdict, ended: readonly WorkerSession[]): Promise<void> {
    const handlers: Readonly<Record<MachineVerdict, () => Promise<void> | void>> = {
      accepted: async () => {
        this.#registry.markMachineGone(machine, ended, 'maintenance of its machine has begun')
        await this.#markAndRelease(wave, [{ machine, state: 'begun' }])
      },
      fenced: () => { this.#fenced.add(machine) },
      unknownMachine: () => this.#markAndRelease(wave, [{ machine, state: 'gone' }]),
      wrongWave: () => this.#markAndRelease(wave, [{ machine, state: 'gone' }]),
      busy: () => {},
      throttled: () => {},
      unavailable: () => {}
    }
    await handlers[verdict]()
  }

  /**
   * Looks up machines without a live worker in the platform's list. Powered-off machines go into maintenance at once, and
   * a machine that the platform no longer has doesn't block the wave.
   */
  async #handleMissing (wave: MaintenanceWave): Promise<void> {
    if (this.#listMissing(wave).length === 0) return
    const list = await this.#refreshList()
    if (list === null) return
    const marks: MaintenanceMark[] = []
    const poweredOff: string[] = []
    // The list may be older than what has reported, moved or started meanwhile.
    for (const [machine, state] of this.#listMissing(wave)) {
      const status = list.get(machine)
      const isPoweredOff = status?.worker === '' && status.state === 'up'
      if (state === 'begun' && (status === undefined || isPoweredOff)) marks.push({ machine, state: 'done' })
      else if (status === undefined) marks.push({ machine, state: 'gone' })
      else if (state !== 'begun' && isPoweredOff) poweredOff.push(machine)
    }
    await this.#markAndRelease(wave, marks)
    await this.#commitAndOrder(wave, poweredOff)
  }

  #listMissing (wave: MaintenanceWave): Array<readonly [machine: string, state: MaintenanceState]> {
    return [...wave.machines].filter(([machine, state]) => state !== 'done' && state !== 'gone' && this.#registry.liveSessionOn(machine) === undefined && this.#drainer.isEmpty(machine))
  }

  #release (machine: string): void {
    this.#draining.delete(machine)
    this.#drainer.end(machine)
  }

  /** Orders the maintenance of as many of the machines as may go down now, once that is committed. */
  async #commitAndOrder (wave: MaintenanceWave, machines: readonly string[]): Promise<void> {
    const ordered = machines.slice(0, Math.max(0, wave.cap - countMachinesDown(wave)))
    for (const machine of ordered) if (wave.machines.get(machine) === 'waiting') this.#unsentOrders.add(orderKey(wave, machine))
    for (const machine of ordered) this.#cordon(wave, machine)
    await this.#mark(wave, ordered.map((machine) => ({ machine, state: 'ordered' })))
    for (const machine of ordered) if (this.#mayEndRuns(machine)) void this.#orderMaintenance(wave, machine)
  }

  async #refreshList (): Promise<ReadonlyMap<string, MachineStatus> | null> {
    const { clock, log } = this.#context
    if (this.#isListing || clock.now() - this.#listedAt < LIST_INTERVAL_MS) return null
    this.#isListing = true
    this.#listedAt = clock.now()
    try {
      const machines = await this.#machines.list(LIST_TIMEOUT_MS)
      this.#list = new Map(machines.map((machine) => [machine.machine, machine]))
      return this.#list
    } catch (err) {
      log.warn('machines.unlisted', { reason: (err as Error).message })
      return null
    } finally {
      this.#isListing = false
    }
  }

  async #mark (wave: MaintenanceWave, marks: readonly MaintenanceMark[]): Promise<void> {
    if (marks.length > 0) await this.#context.propose('markUpkeep', { wave: wave.id, marks })
  }

  async #markAndRelease (wave: MaintenanceWave, marks: readonly MaintenanceMark[]): Promise<void> {
    await this.#mark(wave, marks)
    for (const { machine } of marks) this.#release(machine)
  }
}

function orderKey (wave: MaintenanceWave, machine: string): string {
  return `${wave.id} ${machine}`
}

function countMachinesDown (wave: MaintenanceWave): number {
  let down = 0
  for (const state of wave.machines.values()) if (state === 'ordered' || state === 'begun') down += 1
  return down
}
