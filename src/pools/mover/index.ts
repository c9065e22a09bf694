/** Moves machines between pools, as the plan has it. */
import type { Millis } from '../../clock/index.js'
import type { TermContext } from '../../batch/leader/context.js'
import { parseTask } from '../../batch/types.js'
import type { Emptier } from '../../upkeep/emptier/index.js'
import type { MachineCalls, MachineVerdict } from '../../upkeep/types.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import { machinesNeeded, type PoolDemand } from '../machinesNeeded/index.js'
import { planMoves, type MoveDecision, type PoolState } from '../planMoves/index.js'

const ROUND_MS: Millis = 120

/**
 * A new leader waits until the workers that the state knows have been looked at, and the leader of an empty state until
 * workers have reported: what is not known yet must not look short.
 */
const FIRST_LOOKS_MS: Millis = 400
const FIRST_REPORTS_MS: Millis = 1900

const ORDER_TIMEOUT_MS: Millis = 1500
const LIST_TIMEOUT_MS: Millis = 2000

/** The list is read at the beginning of a term, after an order whose fate is unknown, and this often; in milliseconds. */
const LIST_PAUSE_MS: Millis = 12_000
const SHORT_LIST_PAUSE_MS: Millis = 1500

/** A machine that was ordered to move is expected in its new pool within this time. */
const MOVE_MS: Millis = 4000

/** A surplus must last this long before machines are parked: about the time that a parked machine must stay so to pay for its two moves. */
const SURPLUS_MS: Millis = 2000

/** A machine whose order was refused is left alone for this long. */
const REFUSED_PAUSE_MS: Millis = 2000

/** Pause between two log lines on all pools. */
const LOG_PAUSE_MS: Millis = 1000

/** Most moves ordered in one round. */
const MAX_MOVES = 12

/** What the mover asks the scheduler and the configuration. */
export interface PoolSource {
  /** Services whose workers run queues' tasks. */
  readonly services: () => ReadonlySet<string>
  /** Pool of machines that are switched off, or null. */
  readonly standby: () => string | null
  readonly demandOf: (service: string) => PoolDemand
  /** Whether a wave is at work on a machine. */
  readonly isInUpkeep: (machine: string) => boolean
}

/** Moves machines in one term. */
export class PoolMover {
  readonly #context: TermContext
  readonly #registry: WorkerRegistry
  readonly #machines: MachineCalls
  readonly #emptier: Emptier
  readonly #source: PoolSource
  readonly #parked = new Set<string>()
  readonly #moving = new Map<string, { readonly to: string, readonly until: Millis }>()
  readonly #emptying = new Map<string, string>()
  readonly #refusedUntil = new Map<string, Millis>()
  readonly #needs = new Map<string, Array<{ readonly at: Millis, readonly need: number }>>()
  #listedAt: Millis = Number.NEGATIVE_INFINITY
  #isListWanted = true
  #loggedAt: Millis = Number.NEGATIVE_INFINITY
  #isFenced = false

  /**
   * @param context - the term's parts
   * @param registry - the workers
   * @param machines - the platform's machines
   * @param emptier - empties machines
   * @param source - what the pools are asked for
   */
  constructor (context: TermContext, registry: WorkerRegistry, machines: MachineCalls, emptier: Emptier, source: PoolSource) {
    this.#context = context
    this.#registry = registry
    this.#machines = machines
    this.#emptier = emptier
    this.#source = source
  }

  /** Makes rounds until the term ends. */
  async run (): Promise<void> {
    const { clock, signal, log, mayOrder } = this.#context
    await clock.sleep(this.#context.state.data.workers.size === 0 ? FIRST_REPORTS_MS : FIRST_LOOKS_MS, signal)
    while (!signal.aborted) {
      await clock.sleep(ROUND_MS, signal)
      if (signal.aborted || !mayOrder() || this.#isFenced || this.#context.state.data.config === null) continue
      try {
        await this.#refreshList()
        this.#noteArrivals()
        this.#sendEmptied()
        const pools = this.#describePools()
        this.#logPools(pools)
        this.#carryOut(planMoves(pools, this.#listParked(), this.#source.standby()))
      } catch (err) {
        log.warn('mover.roundFailed', { reason: (err as Error).message })
      }
    }
  }

  async #refreshList (): Promise<void> {
    const { clock, log } = this.#context
    if (clock.now() - this.#listedAt < (this.#isListWanted ? SHORT_LIST_PAUSE_MS : LIST_PAUSE_MS)) return
    this.#listedAt = clock.now()
    const standby = this.#source.standby()
    const list = await this.#machines.list(LIST_TIMEOUT_MS)
    this.#isListWanted = false
    this.#parked.clear()
    for (const { machine, service, state } of list) {
      if (service === standby && state === 'up') this.#parked.add(machine)
      if (state === 'moving' && !this.#moving.has(machine)) this.#moving.set(machine, { to: service, until: clock.now() + MOVE_MS })
    }
    log.info('machines.listed', { machines: list.length, parked: this.#parked.size })
  }

  #noteArrivals (): void {
    const { clock } = this.#context
    for (const [machine, { to, until }] of this.#moving) {
      const session = this.#sessionOf(machine)
      if (session?.record.service === to) this.#moving.delete(machine)
      else if (clock.now() > until) {
        this.#moving.delete(machine)
        if (to === this.#source.standby()) this.#parked.add(machine)
        else this.#isListWanted = true
      }
    }
  }

  /** Sends machines that are empty by now to the pool that is short of most, or parks them. */
  #sendEmptied (): void {
    for (const [machine, service] of this.#emptying) {
      const session = this.#sessionOf(machine)
      const isNeeded = this.#countIn(service) < this.#needOf(service)
      if (session === undefined || isNeeded || this.#source.isInUpkeep(machine)) {
        this.#emptying.delete(machine)
        if (!this.#source.isInUpkeep(machine)) this.#emptier.end(machine)
      } else if (this.#emptier.advance(session)) {
        this.#emptying.delete(machine)
        const to = this.#findShortPool() ?? this.#source.standby()
        if (to === null) this.#emptier.end(machine)
        else void this.#move(machine, to)
      }
    }
  }

  #findShortPool (): string | null {
    let shortest: string | null = null
    let most = 0
    for (const service of this.#source.services()) {
      const missing = this.#needOf(service) - this.#countIn(service) - this.#countComing(service)
      if (missing > most) {
        shortest = service
        most = missing
      }
    }
    return shortest
  }

  #countComing (service: string): number {
    return [...this.#moving.values()].filter(({ to }) => to === service).length
  }

  #countLasting (session: WorkerSession): number {
    const { state } = this.#context
    let lasting = 0
    for (const task of state.runsOn(session.key).keys()) {
      const place = parseTask(task)
      if (place !== null && state.data.jobs.get(place.job)?.steps[place.step]?.isLasting === true) lasting += 1
    }
    return lasting
  }

  #describePools (): PoolState[] {
    const { clock, state } = this.#context
    const now = clock.now()
    return [...this.#source.services()].map((service) => {
      const need = machinesNeeded(this.#source.demandOf(service), this.#countIn(service))
      const history = [...(this.#needs.get(service) ?? []).filter(({ at }) => now - at < SURPLUS_MS), { at: now, need }]
      this.#needs.set(service, history)
      const free = this.#sessionsOf(service).filter((session) => !this.#isTaken(session.record.machine))
      const bySize = free
        .map((session) => ({ machine: session.record.machine, runs: state.runsOn(session.key).size, lasting: this.#countLasting(session) }))
        .sort((a, b) => a.lasting - b.lasting || a.runs - b.runs)
      return {
        service,
        have: this.#countIn(service),
        coming: this.#countComing(service),
        need,
        recentNeed: Math.max(...history.map(({ need }) => need)),
        idle: bySize.filter(({ runs }) => runs === 0).map(({ machine }) => machine),
        busy: bySize.filter(({ runs }) => runs > 0).map(({ machine }) => machine),
        emptying: [...this.#emptying.values()].filter((from) => from === service).length
      }
    })
  }

  #logPools (pools: readonly PoolState[]): void {
    const { clock, log } = this.#context
    if (clock.now() - this.#loggedAt < LOG_PAUSE_MS) return
    this.#loggedAt = clock.now()
    log.info('pools.sized', { parked: this.#parked.size, pools: Object.fromEntries(pools.map(({ service, have, coming, need, idle }) => [service, { have, coming, need, idle: idle.length }])) })
  }

  #carryOut (decisions: readonly MoveDecision[]): void {
    for (const decision of decisions.slice(0, MAX_MOVES)) {
      if (decision.kind === 'move') void this.#move(decision.machine, decision.to)
      else {
        this.#emptying.set(decision.machine, decision.from)
        this.#emptier.begin(decision.machine)
      }
    }
  }

  async #move (machine: string, to: string): Promise<void> {
    const { clock, log, holder, term, mayOrder } = this.#context
    this.#emptier.begin(machine)
    const session = this.#sessionOf(machine)
    if (session !== undefined && !this.#emptier.isEmpty(session)) {
      this.#emptier.end(machine)
      return
    }
    this.#moving.set(machine, { to, until: clock.now() + MOVE_MS })
    this.#parked.delete(machine)
    try {
      if (!mayOrder()) return
      const verdict = await this.#machines.move(machine, to, { holder, token: term }, ORDER_TIMEOUT_MS)
      log.info('machine.moved', { machine, to, verdict, need: this.#needOf(to) })
      this.#onVerdict(machine, to, verdict)
    } catch (err) {
      log.info('move.unclear', { machine, to, reason: (err as Error).message })
      this.#isListWanted = true
    } finally {
      this.#emptier.end(machine)
    }
  }

  #onVerdict (machine: string, to: string, verdict: MachineVerdict): void {
    if (verdict === 'accepted') {
      this.#registry.markMachineGone(machine, `it was moved to ${to}`)
      return
    }
    this.#moving.delete(machine)
    this.#refusedUntil.set(machine, this.#context.clock.now() + REFUSED_PAUSE_MS)
    if (verdict === 'fenced') this.#isFenced = true
    else this.#isListWanted = true
  }

  #needOf (service: string): number {
    return this.#needs.get(service)?.at(-1)?.need ?? 0
  }

  #countIn (service: string): number {
    return this.#sessionsOf(service).filter(({ record }) => !this.#emptying.has(record.machine) && !this.#moving.has(record.machine) && !this.#source.isInUpkeep(record.machine)).length
  }

  #sessionsOf (service: string): WorkerSession[] {
    return [...this.#registry.sessions].filter((session) => session.record.service === service && session.isLive && !session.record.isDraining && session.record.machine !== '')
  }

  #sessionOf (machine: string): WorkerSession | undefined {
    return [...this.#registry.sessions].find((session) => session.record.machine === machine && session.isLive)
  }

  #listParked (): string[] {
    return [...this.#parked].filter((machine) => !this.#isTaken(machine))
  }

  #isTaken (machine: string): boolean {
    return this.#moving.has(machine) || this.#emptying.has(machine) || this.#source.isInUpkeep(machine) || (this.#refusedUntil.get(machine) ?? 0) > this.#context.clock.now()
  }
}
