/** Handlers of the commands that change inventory and rules. */
import type { InventoryVm } from '../contracts/inventory/index.js'
import { dropVmFromWaves } from '../waves/closeWave/index.js'
import type { CommandHandlers } from './commands.js'
import { runOnce } from './operations.js'
import type { FleetData, VmRecord } from './types.js'

/** Upper bound on the changes kept for `history`. */
const MAX_HISTORY_LENGTH = 2000

/** Handlers of the configuration commands, by command type. */
export const configHandlers: Pick<CommandHandlers, 'applyConfig'> = {
  applyConfig: (data, command, index) => runOnce(data, command.operation, () => {
    if (command.expectedVersion !== data.version) {
      const winner = data.history.at(-1)
      const winnerName = winner === undefined ? 'nobody yet' : `${winner.by} with operation ${winner.operation}`
      return { status: 'conflict', version: data.version, winner: winnerName }
    }
    data.version += 1
    if (command.rules !== null) {
      data.rules = command.rules
      data.rulesRev = index
    }
    if (command.vms !== null) replaceInventory(data, command.vms, index)
    data.history.push({ version: data.version, index, at: data.now, by: command.by, operation: command.operation, summary: command.summary })
    if (data.history.length > MAX_HISTORY_LENGTH) data.history.shift()
    return { status: 'accepted', version: data.version, rev: index }
  })
}

function replaceInventory (data: FleetData, vms: readonly InventoryVm[], index: number): void {
  const listedIds = new Set(vms.map((vm) => vm.id))
  for (const id of data.vms.keys()) {
    if (listedIds.has(id)) continue
    data.vms.delete(id)
    data.removedVms.set(id, index)
    dropVmFromWaves(data, id)
  }
  for (const vm of vms) {
    data.removedVms.delete(vm.id)
    const existing = data.vms.get(vm.id)
    if (existing === undefined) data.vms.set(vm.id, createVm(vm, data, index))
    else updateVm(existing, vm, index)
  }
}

function createVm (vm: InventoryVm, data: FleetData, index: number): VmRecord {
  return {
    ...vm,
    rev: index,
    health: 'absent',
    phase: 'serving',
    purpose: null,
    phaseSince: data.now,
    bootBefore: null,
    lastMaintainedAt: data.now,
    quarantinedUntil: 0,
    failedJobs: [],
    tasks: new Map()
  }
}

/** Updates a known VM from the inventory, except its pool: only a finished drain changes the pool of a known VM. */
function updateVm (existing: VmRecord, vm: InventoryVm, index: number): void {
  const { rack, zone, cores, memoryGb, accelerators } = vm
  Object.assign(existing, { rack, zone, cores, memoryGb, accelerators, rev: index })
}
