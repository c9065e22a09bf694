/** Plans maintenance waves: selects and orders the VMs, and estimates the duration. */
import type { Millis } from '../../clock/index.js'
import { budgetsOfPool, measureBudgets } from '../../machines/budget/index.js'
import type { FleetData, VmRecord } from '../../state/types.js'

/** Selects the VMs of a wave; all given fields must match. */
export interface WaveSelector {
  readonly pool?: string
  readonly zone?: string
  readonly rack?: string
  readonly vm?: string
  /** Only VMs that were last maintained at least this many days ago. */
  readonly olderThanDays?: number
}

/** Plan of a wave, as `wave plan` prints it. */
export interface WavePlan {
  /** Names of the VMs, in the order of their maintenance. */
  readonly vms: readonly string[]
  /** Lower bound of the duration, in milliseconds. */
  readonly boundMs: Millis
  /** What determines the lower bound, as a phrase. */
  readonly limitedBy: string
}

const DAY_MS = 86_400_000

/**
 * Selects VMs, one failure domain after another.
 *
 * @param data - replicated state
 * @param selector - fields that the VMs must match
 * @returns the VMs ordered by availability zone and rack
 */
export function selectVms (data: FleetData, selector: WaveSelector): VmRecord[] {
  const maintainedBefore = selector.olderThanDays === undefined ? Number.POSITIVE_INFINITY : data.now - selector.olderThanDays * DAY_MS
  const matches = (vm: VmRecord): boolean =>
    (selector.pool === undefined || vm.pool === selector.pool) &&
    (selector.zone === undefined || vm.zone === selector.zone) &&
    (selector.rack === undefined || vm.rack === selector.rack) &&
    (selector.vm === undefined || vm.id === selector.vm) &&
    vm.lastMaintainedAt <= maintainedBefore
  return sortByDomain([...data.vms.values()].filter(matches))
}

/**
 * Sorts VMs by availability zone and rack, so that a wave affects few failure domains at a time.
 *
 * @param vms - VMs in any order
 */
export function sortByDomain (vms: readonly VmRecord[]): VmRecord[] {
  const keyOf = (vm: VmRecord): string => `${vm.zone}\0${vm.rack}\0${vm.id}`
  return vms.toSorted((a, b) => keyOf(a) < keyOf(b) ? -1 : 1)
}

/**
 * Computes a lower bound for the duration of a wave, and what determines it.
 *
 * @param data - replicated state
 * @param vms - the VMs of the wave
 */
export function planWave (data: FleetData, vms: readonly VmRecord[]): WavePlan {
  const perVmMs = (data.rules?.maintenance.secondsPerVm ?? 0) * 1000
  let boundMs = vms.length === 0 ? 0 : perVmMs
  let limitedBy = 'the time that one VM takes'
  for (const [name, use] of measureBudgets(data)) {
    const own = vms.filter((vm) => data.rules !== null && budgetsOfPool(data.rules, vm.pool).includes(name))
    const batches = Math.ceil(own.length / Math.max(1, use.maxDown))
    if (own.length === 0 || batches * perVmMs <= boundMs) continue
    boundMs = batches * perVmMs
    limitedBy = `the availability budget of ${name}: ${own.length} VMs, ${use.maxDown} at a time`
  }
  return { vms: vms.map((vm) => vm.id), boundMs, limitedBy }
}
