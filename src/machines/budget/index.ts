/** Computes availability budgets: how many VMs of a service may be down. */
import type { Rules, ServiceRules } from '../../contracts/rules/index.js'
import type { FleetData, VmRecord } from '../../state/types.js'

/** Share of the spare pool that may be down at once. */
const SPARE_MAX_DOWN_SHARE = 0.34

/** How much of the budget of a service or of the spare pool is in use. */
export interface BudgetUse {
  readonly name: string
  readonly vms: number
  readonly down: number
  readonly maxDown: number
  readonly downByZone: ReadonlyMap<string, number>
  readonly maxDownPerZone: number
}

/**
 * Decides whether a VM counts as down: draining, rebooting, lost, or not announced yet.
 *
 * @param vm - record of the VM
 */
export function isDown (vm: VmRecord): boolean {
  return vm.phase !== 'serving' || vm.health !== 'up'
}

/**
 * Resolves a limit to a number of VMs.
 *
 * @param limit - a count or a percentage, for instance 2 or `25%`
 * @param total - number of VMs that a percentage refers to
 * @returns the count, rounded down
 */
export function resolveLimit (limit: number | string, total: number): number {
  if (typeof limit === 'number') return limit
  return Math.floor(total * Number.parseInt(limit, 10) / 100)
}

/**
 * Lists the budgets that the VMs of a pool count towards.
 *
 * @param rules - the rules in force
 * @param pool - name of the pool
 * @returns names of services, or `pool NAME` for the spare pool
 */
export function budgetsOfPool (rules: Rules, pool: string): string[] {
  const services = Object.entries(rules.services).filter(([, service]) => service.pools.includes(pool)).map(([name]) => name)
  return services.length === 0 && rules.sparePool === pool ? [`pool ${pool}`] : services
}

/**
 * Computes the use of every budget.
 *
 * @param data - replicated state
 * @returns use by service name, and by `pool NAME` for the spare pool
 */
export function measureBudgets (data: FleetData): Map<string, BudgetUse> {
  const uses = new Map<string, BudgetUse>()
  if (data.rules === null) return uses
  const byPool = groupByPool(data)
  for (const [name, service] of Object.entries(data.rules.services)) uses.set(name, measureService(name, service, byPool))
  const { sparePool } = data.rules
  if (sparePool !== undefined) {
    const vms = byPool.get(sparePool) ?? []
    const maxDown = Math.max(1, Math.floor(vms.length * SPARE_MAX_DOWN_SHARE))
    uses.set(`pool ${sparePool}`, measure(`pool ${sparePool}`, vms, maxDown, maxDown))
  }
  return uses
}

/** Tracks the remaining budgets while VMs to stop are chosen one after another. */
export class BudgetLedger {
  readonly #rules: Rules | null
  readonly #remaining = new Map<string, number>()
  readonly #remainingByZone = new Map<string, number>()

  /** @param data - replicated state; VMs that are down now reduce the remaining budgets */
  constructor (data: FleetData) {
    this.#rules = data.rules
    for (const use of measureBudgets(data).values()) {
      this.#remaining.set(use.name, use.maxDown - use.down)
      for (const vm of data.vms.values()) {
        const key = `${use.name}/${vm.zone}`
        if (!this.#remainingByZone.has(key)) this.#remainingByZone.set(key, use.maxDownPerZone - (use.downByZone.get(vm.zone) ?? 0))
      }
    }
  }

  /**
   * Reserves a VM in all budgets that it counts towards.
   *
   * @param vm - the VM to stop
   * @returns null when reserved, otherwise the name of the exhausted budget
   */
  reserve (vm: VmRecord): string | null {
    if (this.#rules === null || isDown(vm)) return null
    const names = budgetsOfPool(this.#rules, vm.pool)
    const exhausted = names.find((name) => (this.#remaining.get(name) ?? 0) < 1 || (this.#remainingByZone.get(`${name}/${vm.zone}`) ?? 0) < 1)
    if (exhausted !== undefined) return exhausted
    for (const name of names) {
      this.#remaining.set(name, (this.#remaining.get(name) ?? 0) - 1)
      const key = `${name}/${vm.zone}`
      this.#remainingByZone.set(key, (this.#remainingByZone.get(key) ?? 0) - 1)
    }
    return null
  }
}

function groupByPool (data: FleetData): Map<string, VmRecord[]> {
  const byPool = new Map<string, VmRecord[]>()
  for (const vm of data.vms.values()) {
    const vms = byPool.get(vm.pool)
    if (vms === undefined) byPool.set(vm.pool, [vm])
    else vms.push(vm)
  }
  return byPool
}

function measureService (name: string, service: ServiceRules, byPool: ReadonlyMap<string, VmRecord[]>): BudgetUse {
  const vms = service.pools.flatMap((pool) => byPool.get(pool) ?? [])
  const maxDown = resolveLimit(service.budget.maxDown, vms.length)
  const perZone = service.budget.maxDownPerZone
  return measure(name, vms, maxDown, perZone === undefined ? maxDown : resolveLimit(perZone, vms.length))
}

function measure (name: string, vms: readonly VmRecord[], maxDown: number, maxDownPerZone: number): BudgetUse {
  const down = vms.filter(isDown)
  const downByZone = new Map<string, number>()
  for (const vm of down) downByZone.set(vm.zone, (downByZone.get(vm.zone) ?? 0) + 1)
  return { name, vms: vms.length, down: down.length, maxDown, downByZone, maxDownPerZone }
}
