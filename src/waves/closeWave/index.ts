/** Ends waves that have no VMs left to maintain. */
import type { FleetData, Wave } from '../../state/types.js'

/**
 * Ends a wave once it has no pending and no active VMs.
 *
 * @param data - replicated state
 * @param wave - the wave
 */
export function closeWaveIfDone (data: FleetData, wave: Wave): void {
  if (wave.endedAt !== null || wave.pending.length + wave.active.length > 0) return
  wave.state = 'done'
  wave.endedAt = data.now
}

/**
 * Removes a VM that is no longer in the inventory from all waves that have not ended, and records it as failed there.
 *
 * @param data - replicated state
 * @param vm - name of the VM
 */
export function dropVmFromWaves (data: FleetData, vm: string): void {
  for (const wave of data.waves.values()) {
    if (wave.endedAt !== null || !(wave.pending.includes(vm) || wave.active.includes(vm))) continue
    wave.pending = wave.pending.filter((id) => id !== vm)
    wave.active = wave.active.filter((id) => id !== vm)
    wave.failed.push(vm)
    closeWaveIfDone(data, wave)
  }
}
