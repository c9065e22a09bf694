/** Takes tasks from lost VMs, and lets their jobs go on once no worker can be running them any more. */
import type { Millis } from '../../clock/index.js'
import { CLOCK_DRIFT_ALLOWANCE, TASK_LEASE_MS } from '../../contracts/constants.js'
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
    const jobs = [...data().jobs.values()]
    const lostJobs = jobs.filter((job) => (job.state === 'placed' || job.state === 'running') && this.#isLost(job)).map((job) => job.id)
    if (lostJobs.length > 0) await propose('revokeTasks', { jobs: lostJobs, reason: 'its worker is lost; its lease must end before it runs elsewhere' })
    const expiredJobs = jobs.filter((job) => job.state === 'revoking' && this.#hasLeaseExpired(job))
    this.#evictFinishedRevocations(jobs)
    if (expiredJobs.length > 0) await propose('endRevocation', { jobs: expiredJobs.map(({ id, token }) => ({ job: id, token })) })
  }

  #isLost (job: Job): boolean {
    const vm = this.#context.data().vms.get(job.vm ?? '')
    if (vm === undefined || vm.health === 'lost' || vm.phase === 'rebooting') return true
    const endpoint = this.#context.endpoints.find(vm.id)
    return endpoint !== undefined && endpoint.record.boot !== vm.tasks.get(job.id)?.boot
  }

  /** The lease is over on the worker's clock when every entry has stopped renewing it and its full length has passed. */
  #hasLeaseExpired (job: Job): boolean {
    const { clock, data, entries } = this.#context
    let revocation = this.#revocations.get(job.id)
    if (revocation?.token !== job.token) {
      revocation = { token: job.token, rev: data().viewRev, inForceAt: null }
      this.#revocations.set(job.id, revocation)
    }
    if (revocation.inForceAt === null && entries.isInForce(revocation.rev)) revocation.inForceAt = clock.now()
    return revocation.inForceAt !== null && clock.now() - revocation.inForceAt >= TASK_LEASE_MS * CLOCK_DRIFT_ALLOWANCE
  }

  #evictFinishedRevocations (jobs: readonly Job[]): void {
    const revokingIds = new Set(jobs.filter((job) => job.state === 'revoking').map((job) => job.id))
    for (const id of this.#revocations.keys()) {
      if (!revokingIds.has(id)) this.#revocations.delete(id)
    }
  }
}
