/** Builds the part of the replicated state that is sent to entries. */
import type { ViewDelta, VmView } from '../../contracts/views/index.js'
import type { FleetData, VmRecord } from '../../state/types.js'

/**
 * Collects the changes since a revision.
 *
 * @param data - replicated state
 * @param rev - revision that the entry has; 0 when it has none, which yields the full view
 */
export function createViewDelta (data: FleetData, rev: number): ViewDelta {
  const vms: VmView[] = []
  for (const vm of data.vms.values()) {
    if (vm.rev > rev) vms.push(toView(vm))
  }
  const removed = [...data.removedVms].filter(([, at]) => at > rev).map(([id]) => id)
  return { rev: data.viewRev, version: data.version, full: rev === 0, rules: data.rulesRev > rev ? data.rules : null, vms, removed }
}

function toView (vm: VmRecord): VmView {
  const { id, rack, zone, pool, phase, health } = vm
  return { id, rack, zone, pool, phase, health, tasks: [...vm.tasks.values()] }
}
