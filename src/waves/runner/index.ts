/** Drives waves: starts drains as wide as the budgets allow, and takes them back when something fails. */
import type { Planner, SessionContext } from '../../control/session/context.js'
import { BudgetLedger } from '../../machines/budget/index.js'
import type { VmRecord, Wave } from '../../state/types.js'
import { selectVms, sortByDomain } from '../plan/index.js'
import { remainingOpenMs } from '../windows/index.js'

/** VMs fall due this share of the interval early, so that the last of them is still in time. */
const DUE_SHARE = 0.9

/** Runs all waves of the group. */
export class WaveRunner implements Planner {
  readonly name = 'wave'
  readonly intervalMs = 500
  readonly #context: SessionContext

  /** @param context - the leader's surroundings */
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

  /** Drains the next VMs, in the order of failure domains, as far as every budget has room. */
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

  /** Keeps a paused wave from stopping anything, and resumes it once the failed VM is back. */
  async #holdPaused (wave: Wave): Promise<void> {
    const { data, log, propose } = this.#context
    await this.#cancelDrains(wave)
    const failed = /^VM (\S+) failed/.exec(wave.reason)?.[1]
    if (failed === undefined || data().vms.get(failed)?.health !== 'up') return
    await propose('setWave', { wave: wave.id, state: 'running', reason: `VM ${failed} is back` })
    log.info(`Wave ${wave.id} goes on: VM ${failed} is back.`)
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

  /** Starts a wave over the VMs that fall due, unless one is under way. */
  async #startDueWave (waves: readonly Wave[]): Promise<void> {
    const { data, propose } = this.#context
    const maintenance = data().rules?.maintenance
    if (maintenance?.automatic !== true || waves.some((wave) => wave.endedAt === null) || !this.#isWindowOpen()) return
    const due: VmRecord[] = selectVms(data(), { olderThanDays: maintenance.everyDays * DUE_SHARE })
    if (due.length === 0) return
    await propose('startWave', { operation: `due-${data().now}`, vms: due.map((vm) => vm.id) })
  }
}
