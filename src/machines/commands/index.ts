/** Applies commands that change VMs: health, drains, reboots and moves. */
import type { CommandHandlers } from '../../state/commands.js'
import type { FleetData, VmRecord } from '../../state/types.js'
import { closeWaveIfDone } from '../../waves/closeWave/index.js'
import { BudgetLedger } from '../budget/index.js'

type MachineCommands = 'setHealth' | 'startDrain' | 'cancelDrain' | 'startReboot' | 'finishDrain'

/** Handlers of commands about VMs. */
export const machineHandlers: Pick<CommandHandlers, MachineCommands> = {
  setHealth: (data, { changes }, index) => {
    let changed = 0
    for (const { vm: id, health } of changes) {
      const vm = data.vms.get(id)
      if (vm === undefined || vm.health === health) continue
      vm.health = health
      vm.rev = index
      changed += 1
      if (health === 'lost') pauseWaves(data, vm)
    }
    return changed
  },

  startDrain: (data, { vms, purpose }, index) => {
    const ledger = new BudgetLedger(data)
    const started: string[] = []
    const refused: Array<{ vm: string, reason: string }> = []
    for (const id of vms) {
      const vm = data.vms.get(id)
      const reason = vm === undefined ? 'no such VM' : findDrainRefusal(vm, ledger)
      if (vm === undefined || reason !== null) {
        refused.push({ vm: id, reason: reason ?? '' })
        continue
      }
      setPhase(data, vm, 'draining', index)
      vm.purpose = purpose
      if (purpose.kind === 'wave') activateInWave(data, purpose.wave, id)
      started.push(id)
    }
    return { started, refused }
  },

  cancelDrain: (data, { vms }, index) => {
    const cancelled = vms.filter((id) => data.vms.get(id)?.phase === 'draining')
    for (const id of cancelled) {
      const vm = data.vms.get(id) as VmRecord
      returnToWave(data, vm)
      setPhase(data, vm, 'serving', index)
      vm.purpose = null
    }
    return cancelled
  },

  startReboot: (data, { vm: id, bootBefore }, index) => {
    const vm = data.vms.get(id)
    if (vm?.phase !== 'draining' || vm.purpose?.kind !== 'wave' || vm.tasks.size > 0) return false
    setPhase(data, vm, 'rebooting', index)
    vm.bootBefore = bootBefore
    return true
  },

  finishDrain: (data, { vm: id }, index) => {
    const vm = data.vms.get(id)
    if (vm === undefined || vm.purpose === null) return false
    if (vm.purpose.kind === 'move') return finishMove(data, vm, vm.purpose.toPool, index)
    if (vm.phase !== 'rebooting') return false
    finishInWave(data, vm, vm.purpose.wave)
    vm.lastMaintainedAt = data.now
    vm.quarantinedUntil = 0
    vm.failedJobs = []
    setPhase(data, vm, 'serving', index)
    vm.purpose = null
    return true
  }
}

function findDrainRefusal (vm: VmRecord, ledger: BudgetLedger): string | null {
  if (vm.phase !== 'serving') return `it is already ${vm.phase}`
  const exhausted = ledger.reserve(vm)
  return exhausted === null ? null : `the availability budget of ${exhausted} is used up`
}

function setPhase (data: FleetData, vm: VmRecord, phase: VmRecord['phase'], index: number): void {
  vm.phase = phase
  vm.phaseSince = data.now
  vm.rev = index
}

function finishMove (data: FleetData, vm: VmRecord, toPool: string, index: number): boolean {
  if (vm.phase !== 'draining' || vm.tasks.size > 0) return false
  vm.pool = toPool
  vm.purpose = null
  setPhase(data, vm, 'serving', index)
  return true
}

function activateInWave (data: FleetData, waveId: string, vm: string): void {
  const wave = data.waves.get(waveId)
  if (wave === undefined) return
  wave.pending = wave.pending.filter((id) => id !== vm)
  wave.active.push(vm)
}

function returnToWave (data: FleetData, vm: VmRecord): void {
  if (vm.purpose?.kind !== 'wave') return
  const wave = data.waves.get(vm.purpose.wave)
  if (wave === undefined) return
  wave.active = wave.active.filter((id) => id !== vm.id)
  if (wave.state === 'running' || wave.state === 'paused') wave.pending.unshift(vm.id)
}

function finishInWave (data: FleetData, vm: VmRecord, waveId: string): void {
  const wave = data.waves.get(waveId)
  if (wave === undefined) return
  wave.active = wave.active.filter((id) => id !== vm.id)
  wave.done.push(vm.id)
  closeWaveIfDone(data, wave)
}

/** Pauses running waves when a VM fails, unless it is rebooting, which means that a wave itself has stopped it. */
function pauseWaves (data: FleetData, vm: VmRecord): void {
  if (vm.phase === 'rebooting') return
  for (const wave of data.waves.values()) {
    if (wave.state !== 'running') continue
    wave.state = 'paused'
    wave.reason = `VM ${vm.id} failed while the wave was under way`
  }
}
