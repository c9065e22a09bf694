/** Derives the replicated health of VMs from the announcements of their endpoints, and from their absence. */
import { ENDPOINT_LOST_AFTER_MS } from '../../contracts/constants.js'
import type { VmHealth } from '../../contracts/types.js'
import type { Planner, SessionContext } from '../../control/session/context.js'

/** Time that endpoints have after an election to announce themselves before they count as lost. */
const ELECTION_GRACE_MS = ENDPOINT_LOST_AFTER_MS + 1500

/** Commits changes in the health of VMs. */
export class HealthWatch implements Planner {
  readonly name = 'health'
  readonly intervalMs = 250
  readonly #context: SessionContext

  /** @param context - shared dependencies of the leader's term */
  constructor (context: SessionContext) {
    this.#context = context
  }

  async plan (): Promise<void> {
    const { clock, data, endpoints, log, propose, since } = this.#context
    endpoints.evictUnresponsive()
    const hasGraceElapsed = clock.now() - since >= ELECTION_GRACE_MS
    const changes: Array<{ vm: string, health: VmHealth }> = []
    for (const vm of data().vms.values()) {
      const isInContact = endpoints.find(vm.id) !== undefined
      if (isInContact && vm.health !== 'up') changes.push({ vm: vm.id, health: 'up' })
      if (!isInContact && vm.health === 'up' && hasGraceElapsed) changes.push({ vm: vm.id, health: 'lost' })
    }
    if (changes.length === 0) return
    await propose('setHealth', { changes })
    const lost = changes.filter((change) => change.health === 'lost').map((change) => change.vm)
    if (lost.length > 0) log.warn(`Lost ${lost.length} VMs: ${lost.slice(0, 8).join(', ')}.`)
  }
}
