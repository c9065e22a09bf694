/** Moves VMs between pools when demand has shifted for longer than a move costs. */
import type { Millis } from '../../clock/index.js'
import type { Planner, SessionContext } from '../../control/session/context.js'
import type { ReportRequest } from '../../contracts/views/index.js'
import type { Rules } from '../../contracts/rules/index.js'
import type { FleetData, VmRecord } from '../../state/types.js'
import { isDown } from '../budget/index.js'

/** Above this share of its slots in use a pool is short of VMs. */
const SHORTAGE_THRESHOLD = 0.85

/** A pool gives a VM away only if the rest stays below this share. */
const MAX_DONOR_LOAD = 0.5

/** Time constant of the smoothing of demand, in milliseconds. */
const SMOOTHING_MS = 5000

/** Demand as one pool sees it. */
interface PoolDemand {
  /** Slots in use, smoothed. */
  busySlots: number
  /** Since when the pool has been short without a break; null when it is not. */
  shortSince: Millis | null
}

/** Watches demand and starts moves. */
export class MovePlanner implements Planner {
  readonly name = 'moves'
  readonly intervalMs = 500
  readonly #context: SessionContext
  readonly #demand = new Map<string, PoolDemand>()
  #pendingBusyMs = new Map<string, number>()
  #measuredAt: Millis

  /** @param context - the leader's surroundings */
  constructor (context: SessionContext) {
    this.#context = context
    this.#measuredAt = context.clock.now()
  }

  /**
   * Takes in the demand that an entry reports.
   *
   * @param req - the report
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

  /** Returns the pool that has been short for longest, if for long enough to be worth a move. */
  #findLongestShort (rules: Rules): string | undefined {
    const now = this.#context.clock.now()
    const { sustainSeconds, moveWeight, idleVmWeight } = rules.policy
    // The dearer a move is against an idle VM, the longer demand must have shifted.
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
