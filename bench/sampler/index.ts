/** Samples the fleet periodically and checks budgets, pool membership and idle reserve. */
import { setTimeout as sleep } from 'node:timers/promises'
import { SystemClock } from '../../src/clock/index.js'
import type { ShownConfig } from '../../src/control/operations/index.js'
import { ControlClient } from '../../src/links/controlClient/index.js'
import { resolveLimit } from '../../src/machines/budget/index.js'
import type { Deployment } from '../harness/deployment.js'
import type { Measurements } from '../report/index.js'

const SAMPLE_INTERVAL_MS = 200
const CALL_TIMEOUTS = { attemptMs: 1000, totalMs: 2000 }

type ShownVm = ShownConfig['vms'][number]

/** Samples the fleet during one scenario. */
export class FleetSampler {
  readonly #deployment: Deployment
  readonly #client: ControlClient
  readonly #abortController = new AbortController()
  readonly #startedAt = Date.now()
  #previousVms = new Map<string, ShownVm>()
  #budgetOverruns = 0
  #vmMoves = 0
  #idleShareSum = 0
  #samples = 0
  readonly violations: string[] = []
  /** Share of all VMs that were idle in the spare pool, by sample; `second` counts from the start of sampling. */
  readonly reserveSeries: Array<{ second: number, share: number }> = []

  /** @param deployment - deployment whose fleet is sampled */
  constructor (deployment: Deployment) {
    this.#deployment = deployment
    this.#client = new ControlClient(deployment.controlAddresses, undefined, new SystemClock())
  }

  /** Samples until {@link stop} is called. */
  async run (): Promise<void> {
    while (!this.#abortController.signal.aborted) {
      this.#sampleReserve()
      const shown = await this.#client.call((calls, signal) => calls.show.mutate({}, { signal }), CALL_TIMEOUTS)
      if (shown.isOk()) this.#checkSample(shown.value as ShownConfig)
      await sleep(SAMPLE_INTERVAL_MS, undefined, { signal: this.#abortController.signal }).catch(() => {})
    }
    this.#client.close()
  }

  stop (): void {
    this.#abortController.abort()
  }

  /** Returns the budget overruns, the moves of VMs and tasks an hour, and the mean share of idle reserve. */
  measure (): Measurements {
    const hours = (Date.now() - this.#startedAt) / 3_600_000
    return {
      budgetOverruns: this.#budgetOverruns,
      moves: (this.#vmMoves + this.#deployment.oracle.taskRestarts) / hours,
      bufferCost: this.#samples === 0 ? 0 : this.#idleShareSum / this.#samples
    }
  }

  #sampleReserve (): void {
    const endpoints = [...this.#deployment.endpoints.values()]
    const idleEndpoints = endpoints.filter((endpoint) => endpoint.vm.startsWith(`${this.#deployment.options.fleet.sparePool}-`) && endpoint.isRunning && endpoint.inFlight === 0)
    const share = idleEndpoints.length / endpoints.length
    this.#idleShareSum += share
    this.#samples += 1
    this.reserveSeries.push({ second: (Date.now() - this.#startedAt) / 1000, share })
  }

  /**
   * Records a violation when a VM is in two pools or a drain was started while the service's budget was exhausted.
   *
   * @param shown - configuration and state of the VMs
   */
  #checkSample (shown: ShownConfig): void {
    const ids = new Set(shown.vms.map((vm) => vm.id))
    if (ids.size !== shown.vms.length) this.violations.push('a VM is in two pools')
    for (const [name, service] of Object.entries(shown.rules?.services ?? {})) {
      const serviceVms = shown.vms.filter((vm) => service.pools.includes(vm.pool))
      const down = serviceVms.filter((vm) => vm.phase !== 'serving' || vm.health !== 'up').length
      const hasStartedDrain = serviceVms.some((vm) => vm.phase === 'draining' && this.#previousVms.get(vm.id)?.phase === 'serving' && this.#previousVms.get(vm.id)?.health === 'up')
      if (!hasStartedDrain || down <= resolveLimit(service.budget.maxDown, serviceVms.length) || this.#hasVmJustFailed(serviceVms)) continue
      this.#budgetOverruns += 1
      const downVms = serviceVms.filter((vm) => vm.phase !== 'serving' || vm.health !== 'up').map((vm) => `${vm.id} ${vm.phase} ${vm.health}`)
      this.violations.push(`${name}: a drain was started while ${down} of ${serviceVms.length} VMs were down: ${downVms.join(', ')}`)
    }
    for (const vm of shown.vms) {
      const previous = this.#previousVms.get(vm.id)
      if (previous !== undefined && previous.pool !== vm.pool) this.#vmMoves += 1
    }
    this.#previousVms = new Map(shown.vms.map((vm) => [vm.id, vm]))
  }

  /** Returns whether a VM failed since the previous sample: the drain may have been started within the budget just before. */
  #hasVmJustFailed (serviceVms: readonly ShownVm[]): boolean {
    return serviceVms.some((vm) => vm.health === 'lost' && this.#previousVms.get(vm.id)?.health === 'up' && vm.phase !== 'rebooting')
  }
}
