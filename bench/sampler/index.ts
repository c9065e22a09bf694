/** Looks at the fleet again and again: budgets, pools, idle reserve. */
import { setTimeout as sleep } from 'node:timers/promises'
import { SystemClock } from '../../src/clock/index.js'
import type { ShownConfig } from '../../src/control/operations/index.js'
import { ControlClient } from '../../src/links/controlClient/index.js'
import { resolveLimit } from '../../src/machines/budget/index.js'
import type { Deployment } from '../harness/deployment.js'
import type { Measured } from '../report/index.js'

const SAMPLE_MS = 200
const LIMITS = { attemptMs: 1000, totalMs: 2000 }

type ShownVm = ShownConfig['vms'][number]

/** Samples of one run. */
export class FleetSampler {
  readonly #deployment: Deployment
  readonly #client: ControlClient
  readonly #stop = new AbortController()
  readonly #startedAt = Date.now()
  #before = new Map<string, ShownVm>()
  #overruns = 0
  #vmMoves = 0
  #idleReserve = 0
  #samples = 0
  readonly violations: string[] = []
  /** Share of all VMs that stood idle in reserve, by sample. */
  readonly reserveSeries: Array<{ second: number, share: number }> = []

  /** @param deployment - whose fleet is looked at */
  constructor (deployment: Deployment) {
    this.#deployment = deployment
    this.#client = new ControlClient(deployment.controlAddresses, undefined, new SystemClock())
  }

  /** Samples until stopped. */
  async run (): Promise<void> {
    while (!this.#stop.signal.aborted) {
      this.#sampleReserve()
      const shown = await this.#client.call((calls, signal) => calls.show.mutate({}, { signal }), LIMITS)
      if (shown.isOk()) this.#take(shown.value as ShownConfig)
      await sleep(SAMPLE_MS, undefined, { signal: this.#stop.signal }).catch(() => {})
    }
    this.#client.close()
  }

  stop (): void {
    this.#stop.abort()
  }

  /** Returns what was seen. */
  measure (): Measured {
    const hours = (Date.now() - this.#startedAt) / 3_600_000
    return {
      budgetOverruns: this.#overruns,
      moves: (this.#vmMoves + this.#deployment.oracle.taskRestarts) / hours,
      bufferCost: this.#samples === 0 ? 0 : this.#idleReserve / this.#samples
    }
  }

  #sampleReserve (): void {
    const all = [...this.#deployment.endpoints.values()]
    const idle = all.filter((endpoint) => endpoint.vm.startsWith(`${this.#deployment.options.fleet.sparePool}-`) && endpoint.isRunning && endpoint.inFlight === 0)
    const share = idle.length / all.length
    this.#idleReserve += share
    this.#samples += 1
    this.reserveSeries.push({ second: (Date.now() - this.#startedAt) / 1000, share })
  }

  #take (shown: ShownConfig): void {
    const ids = new Set(shown.vms.map((vm) => vm.id))
    if (ids.size !== shown.vms.length) this.violations.push('a VM is in two pools')
    for (const [name, service] of Object.entries(shown.rules?.services ?? {})) {
      const own = shown.vms.filter((vm) => service.pools.includes(vm.pool))
      const down = own.filter((vm) => vm.phase !== 'serving' || vm.health !== 'up').length
      const isStarted = own.some((vm) => vm.phase === 'draining' && this.#before.get(vm.id)?.phase === 'serving' && this.#before.get(vm.id)?.health === 'up')
      if (!isStarted || down <= resolveLimit(service.budget.maxDown, own.length) || this.#hasNewFailure(own)) continue
      this.#overruns += 1
      const names = own.filter((vm) => vm.phase !== 'serving' || vm.health !== 'up').map((vm) => `${vm.id} ${vm.phase} ${vm.health}`)
      this.violations.push(`${name}: a drain was started while ${down} of ${own.length} were down: ${names.join(', ')}`)
    }
    for (const vm of shown.vms) {
      const before = this.#before.get(vm.id)
      if (before !== undefined && before.pool !== vm.pool) this.#vmMoves += 1
    }
    this.#before = new Map(shown.vms.map((vm) => [vm.id, vm]))
  }

  /** A failure between two samples may follow a start that was within the budget. */
  #hasNewFailure (own: readonly ShownVm[]): boolean {
    return own.some((vm) => vm.health === 'lost' && this.#before.get(vm.id)?.health === 'up' && vm.phase !== 'rebooting')
  }
}
