/** Reboots drained VMs or moves them to their new pool, and returns rebooted VMs to service. */
import type { Planner, SessionContext } from '../../control/session/context.js'
import type { VmRecord } from '../../state/types.js'

/** Advances draining and rebooting VMs to their next phase. Every action is idempotent, so that the next leader can repeat it. */
export class DrainRunner implements Planner {
  readonly name = 'drain'
  readonly intervalMs = 250
  readonly #context: SessionContext
  /** Reboots that the platform has accepted during this term, as `VM/start of the phase`. */
  readonly #acceptedReboots = new Set<string>()

  /** @param context - shared dependencies of the leader's term */
  constructor (context: SessionContext) {
    this.#context = context
  }

  async plan (): Promise<void> {
    const stopping = [...this.#context.data().vms.values()].filter((vm) => vm.phase !== 'serving')
    await Promise.all(stopping.map((vm) => vm.phase === 'draining' ? this.#advanceDrain(vm) : this.#returnToService(vm)))
  }

  /**
   * Describes what a draining VM still waits for.
   *
   * @param vm - the draining VM
   * @returns null when it can be stopped, otherwise a phrase to follow `waits for`
   */
  describeDrainBlocker (vm: VmRecord): string | null {
    const { data, endpoints, entries } = this.#context
    if (!entries.isInForce(vm.rev)) return 'every entry to learn of the drain'
    const inFlight = entries.countInFlight(vm.id)
    if (inFlight > 0) return `${inFlight} requests in flight`
    if (vm.tasks.size > 0) return `${vm.tasks.size} tasks`
    const revoking = [...data().jobs.values()].some((job) => job.vm === vm.id && job.state === 'revoking')
    if (revoking) return 'the leases of revoked tasks to expire'
    const endpoint = endpoints.find(vm.id)
    if (endpoint === undefined) return null
    if (endpoint.record.state !== 'drained' || endpoint.inFlight > 0) return 'the endpoint to report that it is drained'
    return null
  }

  async #advanceDrain (vm: VmRecord): Promise<void> {
    const { endpoints, log, propose } = this.#context
    if (this.describeDrainBlocker(vm) !== null) return
    if (vm.purpose?.kind === 'move') {
      const { toPool } = vm.purpose
      if (await propose('finishDrain', { vm: vm.id })) log.info(`Moved VM ${vm.id} to pool ${toPool}.`)
      return
    }
    const bootBefore = endpoints.find(vm.id)?.record.boot ?? null
    if (await propose('startReboot', { vm: vm.id, bootBefore })) log.info(`VM ${vm.id} is drained and will reboot.`)
  }

  async #returnToService (vm: VmRecord): Promise<void> {
    const { endpoints, log, platform, propose } = this.#context
    const operation = `${vm.id}/${vm.phaseSince}`
    if (!this.#acceptedReboots.has(operation) && await platform.reboot(vm.id, operation)) this.#acceptedReboots.add(operation)
    const record = endpoints.find(vm.id)?.record
    if (record === undefined || record.boot === vm.bootBefore) return
    if (await propose('finishDrain', { vm: vm.id })) {
      this.#acceptedReboots.delete(operation)
      log.info(`VM ${vm.id} is back in service.`)
    }
  }
}
