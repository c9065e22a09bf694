/** Applies commands that start, pause, resume and abort maintenance waves. */
import type { CommandHandlers } from '../../state/commands.js'
import { runOnce } from '../../state/operations.js'
import { closeWaveIfDone } from '../closeWave/index.js'

/** Handlers of commands about waves. */
export const waveHandlers: Pick<CommandHandlers, 'startWave' | 'setWave'> = {
  startWave: (data, { operation, vms }, index) => runOnce(data, operation, () => {
    const id = `wave-${index}`
    const pending = vms.filter((vm) => data.vms.has(vm))
    data.waves.set(id, { id, state: 'running', reason: '', startedAt: data.now, endedAt: null, pending, active: [], done: [], failed: [] })
    return { wave: id }
  }),

  setWave: (data, { wave: id, state, reason }) => {
    const wave = data.waves.get(id)
    if (wave === undefined) return 'unknown'
    if (wave.state === state || wave.state === 'done' || wave.state === 'aborted') return 'unchanged'
    wave.state = state
    wave.reason = reason
    if (state === 'running') closeWaveIfDone(data, wave)
    if (state === 'aborted') {
      wave.endedAt = data.now
      wave.pending = []
    }
    return 'changed'
  }
}
