/** Turns silence and announcements of endpoints into the replicated health of VMs. */
import { ENDPOINT_LOST_MS } from '../../contracts/constants.js'
import type { VmHealth } from '../../contracts/types.js'
import type { Planner, SessionContext } from '../../control/session/context.js'

/** After an election, endpoints get this much time to be heard again, in milliseconds. */
const ELECTION_GRACE_MS = ENDPOINT_LOST_MS + 1500

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
    endpoints.dropSilent()
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
