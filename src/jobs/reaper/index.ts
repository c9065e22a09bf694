/** Takes tasks from lost VMs, and lets their jobs go on once no worker can be running them any more. */
import type { Millis } from '../../clock/index.js'
import { CLOCK_DRIFT_FACTOR, TASK_LEASE_MS } from '../../contracts/constants.js'
import type { Planner, SessionContext } from '../../control/session/context.js'
import type { Job } from '../../state/types.js'

interface Revocation {
  readonly token: number
  /** Revision from which on no entry renews the lease. */
  readonly rev: number
  /** When the last entry had taken that revision over or was fenced. */
  inForceAt: Millis | null
}

/** Ends the tasks of lost VMs and of cancelled jobs. */
export class TaskReaper implements Planner {
  readonly name = 'reaper'
  readonly intervalMs = 250
  readonly #context: SessionContext
  readonly #revocations = new Map<string, Revocation>()

  /** @param context - the leader's surroundings */
  constructor (context: SessionContext) {
    this.#context = context
  }

  async plan (): Promise<void> {
    const { data, propose } = this.#context
    const live = [...data().jobs.values()]
    const lost = live.filter((job) => (job.state === 'placed' || job.state === 'running') && this.#isLost(job)).map((job) => job.id)
    if (lost.length > 0) await propose('revokeTasks', { jobs: lost, reason: 'its worker is lost; its lease must end before it runs elsewhere' })
    const ended = live.filter((job) => job.state === 'revoking' && this.#hasLeaseEnded(job))
    this.#forgetOthers(live)
    if (ended.length > 0) await propose('endRevocation', { jobs: ended.map(({ id, token }) => ({ job: id, token })) })
  }

  #isLost (job: Job): boolean {
    const vm = this.#context.data().vms.get(job.vm ?? '')
    if (vm === undefined || vm.health === 'lost' || vm.phase === 'rebooting') return true
    const sighting = this.#context.endpoints.find(vm.id)
    return sighting !== undefined && sighting.record.boot !== vm.tasks.get(job.id)?.boot
  }

  /** The lease is over on the worker's clock when every entry has stopped renewing it and its full length has passed. */
  #hasLeaseEnded (job: Job): boolean {
    const { clock, data, entries } = this.#context
    let revocation = this.#revocations.get(job.id)
    if (revocation?.token !== job.token) {
      revocation = { token: job.token, rev: data().viewRev, inForceAt: null }
      this.#revocations.set(job.id, revocation)
    }
    if (revocation.inForceAt === null && entries.isInForce(revocation.rev)) revocation.inForceAt = clock.now()
    return revocation.inForceAt !== null && clock.now() - revocation.inForceAt >= TASK_LEASE_MS * CLOCK_DRIFT_FACTOR
  }

  #forgetOthers (live: readonly Job[]): void {
    const revoking = new Set(live.filter((job) => job.state === 'revoking').map((job) => job.id))
    for (const id of this.#revocations.keys()) {
      if (!revoking.has(id)) this.#revocations.delete(id)
    }
  }
}
