/** Turns silence and announcements of endpoints into the replicated health of VMs. */
import { ENDPOINT_LOST_AFTER_MS } from '../../contracts/constants.js'
import type { VmHealth } from '../../contracts/types.js'
import type { Planner, SessionContext } from '../../control/session/context.js'

/** After an election, endpoints get this much time to be heard again, in milliseconds. */
const GRACE_MS = ENDPOINT_LOST_AFTER_MS + 1500

/** Commits changes of health. */
export class HealthWatch implements Planner {
  readonly name = 'health'
  readonly intervalMs = 250
  readonly #context: SessionContext

  /** @param context - the leader's surroundings */
  constructor (context: SessionContext) {
    this.#context = context
  }

  async plan (): Promise<void> {
    const { clock, data, endpoints, log, propose, since } = this.#context
    endpoints.evictUnresponsive()
    const isSettled = clock.now() - since >= GRACE_MS
    const changes: Array<{ vm: string, health: VmHealth }> = []
    for (const vm of data().vms.values()) {
      const isHeard = endpoints.find(vm.id) !== undefined
      if (isHeard && vm.health !== 'up') changes.push({ vm: vm.id, health: 'up' })
      if (!isHeard && vm.health === 'up' && isSettled) changes.push({ vm: vm.id, health: 'lost' })
    }
    if (changes.length === 0) return
    await propose('setHealth', { changes })
    const lost = changes.filter((change) => change.health === 'lost').map((change) => change.vm)
    if (lost.length > 0) log.warn(`Lost ${lost.length} VMs: ${lost.slice(0, 8).join(', ')}.`)
  }
}
