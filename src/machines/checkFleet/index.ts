/** Checks that rules and inventory are consistent with each other. */
import type { Finding } from '../../contracts/findings/index.js'
import type { InventoryVm } from '../../contracts/inventory/index.js'
import type { MaintenanceWindow, Rules } from '../../contracts/rules/index.js'
import { minutesOfWindow, totalOpenMs } from '../../waves/windows/index.js'
import { resolveLimit } from '../budget/index.js'

const HOUR_MS = 3_600_000

/** Returns the position of a path in the rules file. */
export type LocatePath = (path: ReadonlyArray<PropertyKey>) => Pick<Finding, 'source' | 'line' | 'column'>

/**
 * Finds inconsistencies between rules and inventory.
 *
 * @param rules - rules that are valid by themselves
 * @param vms - VMs of the inventory
 * @param locate - returns the position of a path in the rules file
 * @returns findings about pools, budgets, windows and the schedule, in this order
 */
export function checkFleet (rules: Rules, vms: readonly InventoryVm[], locate: LocatePath): Finding[] {
  return [
    ...checkPools(rules, vms, locate),
    ...checkBudgets(rules, vms, locate),
    ...checkWindows(rules, locate),
    ...checkSchedule(rules, vms, locate)
  ]
}

function checkPools (rules: Rules, vms: readonly InventoryVm[], locate: LocatePath): Finding[] {
  const pools = new Set(vms.map((vm) => vm.pool))
  const findings: Finding[] = []
  for (const [name, service] of Object.entries(rules.services)) {
    for (const [index, pool] of service.pools.entries()) {
      if (pools.has(pool)) continue
      findings.push({ severity: 'error', ...locate(['services', name, 'pools', index]), message: `service ${name} names pool ${pool}, but no VM of the inventory is in it` })
    }
  }
  if (rules.sparePool !== undefined && !pools.has(rules.sparePool)) {
    findings.push({ severity: 'error', ...locate(['sparePool']), message: `no VM of the inventory is in the spare pool ${rules.sparePool}` })
  }
  const used = new Set([...Object.values(rules.services).flatMap((service) => service.pools), rules.sparePool])
  for (const pool of pools) {
    if (!used.has(pool)) findings.push({ severity: 'warning', ...locate(['services']), message: `pool ${pool} of the inventory serves no service` })
  }
  return findings
}

function checkBudgets (rules: Rules, vms: readonly InventoryVm[], locate: LocatePath): Finding[] {
  const findings: Finding[] = []
  for (const [name, service] of Object.entries(rules.services)) {
    const total = vms.filter((vm) => service.pools.includes(vm.pool)).length
    if (total === 0) continue
    for (const key of ['maxDown', 'maxDownPerZone'] as const) {
      const limit = service.budget[key]
      if (limit === undefined) continue
      const count = resolveLimit(limit, total)
      const at = locate(['services', name, 'budget', key])
      if (count < 1) findings.push({ severity: 'error', ...at, message: `service ${name}: ${key} ${limit} of ${total} VMs lets none be down, so none can ever be maintained` })
      if (count >= total) findings.push({ severity: 'error', ...at, message: `service ${name}: ${key} ${limit} of ${total} VMs lets the whole service be down` })
    }
  }
  return findings
}

function checkWindows (rules: Rules, locate: LocatePath): Finding[] {
  const neededMinutes = rules.maintenance.secondsPerVm / 60
  return rules.maintenance.windows.flatMap((window, index): Finding[] => {
    const reason = describeClosedWindow(window, neededMinutes)
    return reason === null ? [] : [{ severity: 'error', ...locate(['maintenance', 'windows', index]), message: reason }]
  })
}

/** Warns when the windows are too short to maintain every VM in time, even if the budgets are fully used. */
function checkSchedule (rules: Rules, vms: readonly InventoryVm[], locate: LocatePath): Finding[] {
  const { everyDays, secondsPerVm, windows } = rules.maintenance
  const openMs = totalOpenMs(windows, everyDays)
  return Object.entries(rules.services).flatMap(([name, service]): Finding[] => {
    const total = vms.filter((vm) => service.pools.includes(vm.pool)).length
    const atOnce = Math.max(1, resolveLimit(service.budget.maxDown, total))
    const neededMs = Math.ceil(total / atOnce) * secondsPerVm * 1000
    if (neededMs <= openMs) return []
    const message = `service ${name}: ${total} VMs, ${atOnce} at a time, take ${Math.ceil(neededMs / HOUR_MS)} hours, but the windows give ${Math.floor(openMs / HOUR_MS)} in ${everyDays} days`
    return [{ severity: 'warning', ...locate(['maintenance']), message }]
  })
}

function describeClosedWindow (window: MaintenanceWindow, neededMinutes: number): string | null {
  if (window.days.length === 0) return 'the window names no day, so it never opens'
  const minutes = minutesOfWindow(window)
  if (minutes === 0) return `the window begins and ends at ${window.from}, so it never opens`
  if (minutes < neededMinutes) return `the window is open for ${minutes} minutes, but one VM takes ${neededMinutes}`
  return null
}
