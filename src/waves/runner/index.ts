/** Runs waves: drains as many VMs at once as the budgets allow, and cancels drains when something fails. */
import type { Planner, SessionContext } from '../../control/session/context.js'
import { BudgetLedger } from '../../machines/budget/index.js'
import type { VmRecord, Wave } from '../../state/types.js'
import { selectVms, sortByDomain } from '../plan/index.js'
import { remainingOpenMs } from '../windows/index.js'

/** Share of the maintenance interval after which VMs are due, so that the last of them is still in time. */
const DUE_SHARE = 0.9

/** Runs all maintenance waves. */
export class WaveRunner implements Planner {
  readonly name = 'wave'
  readonly intervalMs = 500
  readonly #context: SessionContext

  /** @param context - shared dependencies of the leader's term */
  constructor (context: SessionContext) {
    this.#context = context
  }

  async plan (): Promise<void> {
    const waves = [...this.#context.data().waves.values()]
    for (const wave of waves) {
      if (wave.state === 'running') await this.#advance(wave)
      else if (wave.state === 'paused') await this.#holdPaused(wave)
      else if (wave.state === 'aborted') await this.#cancelDrains(wave)
    }
    await this.#startDueWave(waves)
  }

  /** Drains the next VMs, ordered by failure domain, as far as the budgets allow. */
  async #advance (wave: Wave): Promise<void> {
    const { data, log, propose } = this.#context
    if (!this.#isWindowOpen()) return
    const ledger = new BudgetLedger(data())
    const vms = sortByDomain(wave.pending.map((id) => data().vms.get(id)).filter((vm) => vm !== undefined))
    const next = vms.filter((vm) => vm.phase === 'serving' && vm.health !== 'lost' && ledger.reserve(vm) === null)
    if (next.length === 0) return
    const { started } = await propose('startDrain', { vms: next.map((vm) => vm.id), purpose: { kind: 'wave', wave: wave.id } })
    if (started.length > 0) log.info(`Wave ${wave.id} drains ${started.join(', ')}.`)
  }

  /** Cancels the drains of a paused wave, and resumes the wave once the failed VM is back. */
  async #holdPaused (wave: Wave): Promise<void> {
    const { data, log, propose } = this.#context
    await this.#cancelDrains(wave)
    const failed = /^VM (\S+) failed/.exec(wave.reason)?.[1]
    if (failed === undefined || data().vms.get(failed)?.health !== 'up') return
    await propose('setWave', { wave: wave.id, state: 'running', reason: `VM ${failed} is back` })
    log.info(`Wave ${wave.id} resumes: VM ${failed} is back.`)
  }

  async #cancelDrains (wave: Wave): Promise<void> {
    const { data, log, propose } = this.#context
    const draining = wave.active.filter((id) => data().vms.get(id)?.phase === 'draining')
    if (draining.length === 0) return
    const vms = await propose('cancelDrain', { vms: draining })
    if (vms.length > 0) log.warn(`Wave ${wave.id} is ${wave.state}: ${vms.join(', ')} stay in service.`)
  }

  #isWindowOpen (): boolean {
    const { clock, data } = this.#context
    const maintenance = data().rules?.maintenance
    if (maintenance === undefined) return false
    return remainingOpenMs(maintenance.windows, clock.wall()) >= maintenance.secondsPerVm * 1000
  }

  /** Starts a wave over the VMs that are due, unless another wave has not ended. */
  async #startDueWave (waves: readonly Wave[]): Promise<void> {
    const { data, propose } = this.#context
    const maintenance = data().rules?.maintenance
    if (maintenance?.automatic !== true || waves.some((wave) => wave.endedAt === null) || !this.#isWindowOpen()) return
    const due: VmRecord[] = selectVms(data(), { olderThanDays: maintenance.everyDays * DUE_SHARE })
    if (due.length === 0) return
    await propose('startWave', { operation: `due-${data().now}`, vms: due.map((vm) => vm.id) })
  }
}
