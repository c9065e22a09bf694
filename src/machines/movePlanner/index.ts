/** Moves VMs between pools once a shift in demand has lasted long enough to be worth a move. */
import type { Millis } from '../../clock/index.js'
import type { Planner, SessionContext } from '../../control/session/context.js'
import type { ReportRequest } from '../../contracts/views/index.js'
import type { Rules } from '../../contracts/rules/index.js'
import type { FleetData, VmRecord } from '../../state/types.js'
import { isDown } from '../budget/index.js'

/** A pool is short of VMs when more than this share of its slots is in use. */
const SHORTAGE_THRESHOLD = 0.85

/** A pool may give a VM away only if its other VMs stay below this share of slots in use. */
const MAX_DONOR_LOAD = 0.5

/** Time constant for the exponential smoothing of demand. */
const SMOOTHING_MS = 5000

/** Demand on one pool. */
interface PoolDemand {
  /** Smoothed number of slots in use. */
  busySlots: number
  /** Clock reading since when the pool has been short without interruption; null when it is not short. */
  shortSince: Millis | null
}

/** Measures demand and starts moves, one at a time. */
export class MovePlanner implements Planner {
  readonly name = 'moves'
  readonly intervalMs = 500
  readonly #context: SessionContext
  readonly #demand = new Map<string, PoolDemand>()
  #pendingBusyMs = new Map<string, number>()
  #measuredAt: Millis

  /** @param context - shared dependencies of the leader's term */
  constructor (context: SessionContext) {
    this.#context = context
    this.#measuredAt = context.clock.now()
  }

  /**
   * Adds the demand that an entry reports.
   *
   * @param req - the entry's report
   */
  observe (req: ReportRequest): void {
    const rules = this.#context.data().rules
    if (rules === null) return
    for (const { service, busyMs } of req.demand) {
      const pool = rules.services[service]?.pools[0]
      if (pool !== undefined) this.#pendingBusyMs.set(pool, (this.#pendingBusyMs.get(pool) ?? 0) + busyMs)
    }
  }

  async plan (): Promise<void> {
    const { data, log, propose } = this.#context
    const { rules } = data()
    if (rules === null) return
    this.#measure(data(), rules)
    const isMoving = [...data().vms.values()].some((vm) => vm.purpose?.kind === 'move')
    if (isMoving) return
    const short = this.#findLongestShort(rules)
    if (short === undefined) return
    const vm = this.#chooseDonor(data(), rules, short)
    if (vm === undefined) return
    const { started } = await propose('startDrain', { vms: [vm.id], purpose: { kind: 'move', toPool: short } })
    if (started.length > 0) log.info(`VM ${vm.id} moves from pool ${vm.pool} to ${short}.`)
    const demand = this.#demand.get(short)
    if (demand !== undefined) demand.shortSince = null
  }

  #measure (data: FleetData, rules: Rules): void {
    const now = this.#context.clock.now()
    const elapsed = Math.max(1, now - this.#measuredAt)
    this.#measuredAt = now
    const busy = this.#pendingBusyMs
    this.#pendingBusyMs = new Map()
    const weight = 1 - Math.exp(-elapsed / SMOOTHING_MS)
    for (const pool of poolsOf(rules)) {
      const demand = this.#demand.get(pool) ?? { busySlots: 0, shortSince: null }
      this.#demand.set(pool, demand)
      demand.busySlots += weight * ((busy.get(pool) ?? 0) / elapsed - demand.busySlots)
      const isShort = demand.busySlots > SHORTAGE_THRESHOLD * this.#slotsOf(vmsOf(data, pool))
      demand.shortSince = isShort ? demand.shortSince ?? now : null
    }
  }

  /** Returns the pool that has been short for longest, if that is long enough to be worth a move. */
  #findLongestShort (rules: Rules): string | undefined {
    const now = this.#context.clock.now()
    const { sustainSeconds, moveWeight, idleVmWeight } = rules.policy
    // The more a move costs compared with an idle VM, the longer the shift in demand must have lasted, and never less than a
    // quarter of `sustainSeconds`.
    const neededMs = sustainSeconds * 1000 * Math.max(0.25, moveWeight / Math.max(0.01, idleVmWeight))
    const due = [...this.#demand].filter(([, demand]) => demand.shortSince !== null && now - demand.shortSince >= neededMs)
    due.sort(([, a], [, b]) => (a.shortSince ?? 0) - (b.shortSince ?? 0))
    return due[0]?.[0]
  }

  #chooseDonor (data: FleetData, rules: Rules, short: string): VmRecord | undefined {
    const donors = poolsOf(rules).filter((pool) => pool !== short && pool !== rules.sparePool)
    const loadAfterMove = (pool: string): number => {
      const vms = vmsOf(data, pool).filter((vm) => !isDown(vm))
      const rest = this.#slotsOf(vms.slice(1))
      return rest === 0 ? Number.POSITIVE_INFINITY : (this.#demand.get(pool)?.busySlots ?? 0) / rest
    }
    const best = donors.filter((pool) => loadAfterMove(pool) < MAX_DONOR_LOAD).sort((a, b) => loadAfterMove(a) - loadAfterMove(b))[0]
    if (best === undefined) return undefined
    const free = vmsOf(data, best).filter((vm) => !isDown(vm))
    return free.sort((a, b) => a.tasks.size - b.tasks.size)[0]
  }

  #slotsOf (vms: readonly VmRecord[]): number {
    return vms.reduce((sum, vm) => sum + (this.#context.endpoints.find(vm.id)?.record.slots ?? 0), 0)
  }
}

function poolsOf (rules: Rules): string[] {
  const pools = Object.values(rules.services).flatMap((service) => service.pools)
  return [...new Set(rules.sparePool === undefined ? pools : [...pools, rules.sparePool])]
}

function vmsOf (data: FleetData, pool: string): VmRecord[] {
  return [...data.vms.values()].filter((vm) => vm.pool === pool)
}
