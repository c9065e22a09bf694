/** Moves machines between pools according to the plan of moves. */
import type { Millis } from '../../clock/index.js'
import type { TermContext } from '../../batch/leader/context.js'
import { parseTask } from '../../batch/types.js'
import type { MachineDrainer } from '../../maintenance/machineDrainer/index.js'
import type { MachineCalls, MachineVerdict } from '../../maintenance/types.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import { countAttainable } from '../countAttainable/index.js'
import { machinesNeeded, type PoolDemand } from '../machinesNeeded/index.js'
import { MachineTracker } from '../machineTracker/index.js'
import { OrderBudget } from '../orderBudget/index.js'
import { planMoves, type MoveDecision, type PoolState } from '../planMoves/index.js'

const CYCLE_INTERVAL_MS: Millis = 120

/**
 * Longest wait of a new leader before its first cycle. The workers in the state must have been polled, or, if the state has none,
 * must have had time to report. Otherwise pools would seem short of machines that are merely not known yet.
 */
const FIRST_POLLS_WAIT_MS: Millis = 400
const FIRST_REPORTS_WAIT_MS: Millis = 1900
const FIRST_POLLS_CHECK_MS: Millis = 20

const ORDER_TIMEOUT_MS: Millis = 1500

/** A surplus must last this long before machines are powered off: about as long as one must stay off to repay its two moves. */
const MIN_SURPLUS_MS: Millis = 2000

const LOG_INTERVAL_MS: Millis = 1000

/** Share of the orders that the platform accepts that moves may use; maintenance needs the rest. */
const MOVE_SHARE_OF_ORDERS = 0.85

/** Moves that were not needed earlier may be made up for as long as this. */
const MAX_UNUSED_MOVES_MS: Millis = 2 * CYCLE_INTERVAL_MS

/** What the mover needs from the scheduler, the configuration and the maintenance runner. */
export interface PoolSource {
  /** Returns the services whose workers run tasks of queues or of active jobs. */
  readonly services: () => ReadonlySet<string>
  /** Returns the pool of powered-off machines, or null when there is none. */
  readonly standby: () => string | null
  readonly demandOf: (service: string) => PoolDemand
  /** Whether a maintenance wave is draining a machine or has ordered its maintenance. */
  readonly isInMaintenance: (machine: string) => boolean
  /** Orders for machines that the platform accepts each second. */
  readonly ordersPerSecond: number
}

/** Moves machines between pools during one term. */
export class PoolMover {
  readonly #context: TermContext
  readonly #registry: WorkerRegistry
  readonly #machines: MachineCalls
  readonly #drainer: MachineDrainer
  readonly #source: PoolSource
  readonly #tracker: MachineTracker
  /** Draining machines, each with its current pool. */
  readonly #draining = new Map<string, string>()
  /** Numbers of machines that each service needed within the last `MIN_SURPLUS_MS`, newest last. */
  readonly #needs = new Map<string, Array<{ readonly at: Millis, readonly need: number }>>()
  /** Sessions with responsive workers by machine, and those that take work by service, as of this cycle. */
  #sessionsByMachine: ReadonlyMap<string, WorkerSession> = new Map()
  #sessionsByService: ReadonlyMap<string, WorkerSession[]> = new Map()
  #pools: readonly PoolState[] = []
  readonly #moveBudget: OrderBudget
  #loggedAt: Millis = Number.NEGATIVE_INFINITY
  /** Whether the platform has seen a later leader, so that this one orders no more moves. */
  #isFenced = false

  /**
   * @param context - shared dependencies of the term
   * @param registry - sessions with the workers
   * @param machines - client of the platform's machines
   * @param drainer - drains machines
   * @param source - demand and configuration of the pools
   */
  constructor (context: TermContext, registry: WorkerRegistry, machines: MachineCalls, drainer: MachineDrainer, source: PoolSource) {
    this.#context = context
    this.#registry = registry
    this.#machines = machines
    this.#drainer = drainer
    this.#source = source
    this.#tracker = new MachineTracker(context.clock, context.log, { list: (timeoutMs) => machines.list(timeoutMs), standby: source.standby })
    this.#moveBudget = new OrderBudget(context.clock, source.ordersPerSecond * MOVE_SHARE_OF_ORDERS, MAX_UNUSED_MOVES_MS)
  }

  /** Runs cycles until the term ends. */
  async run (): Promise<void> {
    const { clock, signal, log, mayOrder } = this.#context
    void this.#tracker.refresh()
    await this.#waitForWorkers()
    while (!signal.aborted) {
      await clock.sleep(CYCLE_INTERVAL_MS, signal)
      if (signal.aborted || !mayOrder() || this.#isFenced || this.#context.state.data.config === null) continue
      try {
        void this.#tracker.refresh()
        this.#indexSessions()
        this.#tracker.recordArrivals((machine) => this.#sessionOf(machine)?.record.service)
        this.#moveDrained()
        const pools = this.#pools = this.#describePools()
        this.#logPools(pools)
        this.#executeDecisions(planMoves(pools, this.#listPoweredOff(), this.#source.standby()))
      } catch (err) {
        log.warn('mover.roundFailed', { reason: (err as Error).message })
      }
    }
  }

  /** Number of machines in all pools, powered-off ones included; infinity before the first cycle. */
  get machineCount (): number {
    return this.#pools.length === 0 ? Number.POSITIVE_INFINITY : this.#pools.reduce((sum, { have, coming, draining }) => sum + have + coming + draining, this.#listPoweredOff().length)
  }

  /**
   * Returns how many machines a service can have without taking any that another needs.
   *
   * @param service - name of the service
   * @returns the number; infinity before the first cycle, or for a service without a pool
   */
  countAttainable (service: string): number {
    return countAttainable(this.#pools, this.#listPoweredOff().length, service)
  }

  /** Waits until the workers of the state have been polled, or have had time to report. */
  async #waitForWorkers (): Promise<void> {
    const { clock, signal, state } = this.#context
    if (state.data.workers.size === 0) {
      await clock.sleep(FIRST_REPORTS_WAIT_MS, signal)
      return
    }
    const beganAt = clock.now()
    while (!signal.aborted && (this.#registry.hasWaitingFirstPolls || (this.#registry.hasUntriedWorker() && clock.now() - beganAt < FIRST_POLLS_WAIT_MS))) {
      await clock.sleep(FIRST_POLLS_CHECK_MS, signal)
    }
  }

  /**
   * Continues the drains. A drained machine moves to the pool that lacks most machines, or is powered off if none is short. A
   * drain is cancelled when its pool needs the machine again.
   */
  #moveDrained (): void {
    for (const [machine, service] of this.#draining) {
      const session = this.#sessionOf(machine)
      const isNeeded = this.#countIn(service) < this.#needOf(service)
      if (session === undefined || isNeeded || this.#source.isInMaintenance(machine)) {
        this.#draining.delete(machine)
        if (!this.#source.isInMaintenance(machine)) this.#drainer.end(machine)
      } else if (this.#drainer.advance(session)) {
        this.#draining.delete(machine)
        const to = this.#findShortPool() ?? this.#source.standby()
        if (to === null) this.#drainer.end(machine)
        else void this.#move(machine, to)
      }
    }
  }

  #findShortPool (): string | null {
    let neediest: string | null = null
    let mostMissing = 0
    for (const service of this.#source.services()) {
      const missing = this.#needOf(service) - this.#countIn(service) - this.#tracker.countComing(service)
      if (missing > mostMissing) {
        neediest = service
        mostMissing = missing
      }
    }
    return neediest
  }

  #countLongRunning (session: WorkerSession): number {
    const { state } = this.#context
    let longRunning = 0
    for (const task of state.runsOn(session.key).keys()) {
      const position = parseTask(task)
      if (position !== null && state.data.jobs.get(position.job)?.steps[position.step]?.isLasting === true) longRunning += 1
    }
    return longRunning
  }

  #describePools (): PoolState[] {
    const { clock, state } = this.#context
    const now = clock.now()
    return [...this.#source.services()].map((service) => {
      const need = machinesNeeded(this.#source.demandOf(service), this.#countIn(service))
      const history = [...(this.#needs.get(service) ?? []).filter(({ at }) => now - at < MIN_SURPLUS_MS), { at: now, need }]
      this.#needs.set(service, history)
      const available = this.#sessionsOf(service).filter((session) => !this.#isUnavailable(session.record.machine))
      const byWork = available
        .map((session) => ({ machine: session.record.machine, runs: state.runsOn(session.key).size, longRunning: this.#countLongRunning(session) }))
        .sort((a, b) => a.longRunning - b.longRunning || a.runs - b.runs)
      return {
        service,
        have: this.#countIn(service),
        coming: this.#tracker.countComing(service),
        need,
        recentNeed: Math.max(...history.map(({ need }) => need)),
        idle: byWork.filter(({ runs }) => runs === 0).map(({ machine }) => machine),
        busy: byWork.filter(({ runs }) => runs > 0).map(({ machine }) => machine),
        draining: [...this.#draining.values()].filter((from) => from === service).length
      }
    })
  }

  #logPools (pools: readonly PoolState[]): void {
    const { clock, log } = this.#context
    if (clock.now() - this.#loggedAt < LOG_INTERVAL_MS) return
    this.#loggedAt = clock.now()
    log.info('pools.sized', { parked: this.#tracker.poweredOffCount, pools: Object.fromEntries(pools.map(({ service, have, coming, need, idle }) => [service, { have, coming, need, idle: idle.length }])) })
  }

  #executeDecisions (decisions: readonly MoveDecision[]): void {
    for (const decision of decisions) {
      if (decision.kind === 'move') {
        if (this.#moveBudget.take()) void this.#move(decision.machine, decision.to)
      } else {
        this.#draining.set(decision.machine, decision.from)
        this.#drainer.begin(decision.machine)
      }
    }
  }

  async #move (machine: string, to: string): Promise<void> {
    const { log, holder, term, mayOrder } = this.#context
    this.#drainer.begin(machine)
    // A machine that the list shows as powered off may have a worker by now, also one that does not answer at the moment.
    if (!this.#drainer.isEmpty(machine)) {
      this.#drainer.end(machine)
      return
    }
    this.#tracker.recordMove(machine, to)
    try {
      if (!mayOrder()) return
      // The platform also accepts a move that it has carried out before: a worker that is in the new pool already may be alive.
      const ended = this.#registry.sessionsOn(machine).filter(({ record }) => record.service !== to)
      const verdict = await this.#machines.move(machine, to, { holder, token: term }, ORDER_TIMEOUT_MS)
      log.info('machine.moved', { machine, to, verdict, need: this.#needOf(to) })
      this.#onVerdict(machine, to, verdict, ended)
    } catch (err) {
      log.info('move.unclear', { machine, to, reason: (err as Error).message })
      this.#tracker.requestList()
    } finally {
      this.#drainer.end(machine)
    }
  }

  #onVerdict (machine: string, to: string, verdict: MachineVerdict, ended: readonly WorkerSession[]): void {
    if (verdict === 'accepted') {
      this.#registry.markMachineGone(machine, ended, `its machine was moved to pool ${to}`)
      return
    }
    this.#tracker.recordRefusal(machine)
    if (verdict === 'fenced') this.#isFenced = true
    else this.#tracker.requestList()
  }

  #needOf (service: string): number {
    return this.#needs.get(service)?.at(-1)?.need ?? 0
  }

  #countIn (service: string): number {
    return this.#sessionsOf(service).filter(({ record }) => !this.#draining.has(record.machine) && !this.#tracker.isMoving(record.machine) && !this.#source.isInMaintenance(record.machine)).length
  }

  #indexSessions (): void {
    const byMachine = new Map<string, WorkerSession>()
    const byService = new Map<string, WorkerSession[]>()
    for (const session of this.#registry.sessions) {
      const { machine, service, isDraining } = session.record
      if (machine === '' || byMachine.has(machine) || !session.isLive) continue
      byMachine.set(machine, session)
      if (isDraining) continue
      const ofService = byService.get(service)
      if (ofService === undefined) byService.set(service, [session])
      else ofService.push(session)
    }
    this.#sessionsByMachine = byMachine
    this.#sessionsByService = byService
  }

  #sessionsOf (service: string): readonly WorkerSession[] {
    return this.#sessionsByService.get(service) ?? []
  }

  #sessionOf (machine: string): WorkerSession | undefined {
    return this.#sessionsByMachine.get(machine)
  }

  #listPoweredOff (): string[] {
    return [...this.#tracker.poweredOff].filter((machine) => !this.#isUnavailable(machine))
  }

  #isUnavailable (machine: string): boolean {
    return this.#tracker.isUnavailable(machine) || this.#draining.has(machine) || this.#source.isInMaintenance(machine)
  }
}
