/** Revokes tasks on lost VMs and requeues or ends their jobs once no worker can still be running them. */
import type { Millis } from '../../clock/index.js'
import { CLOCK_DRIFT_FACTOR, TASK_LEASE_MS } from '../../contracts/constants.js'
import type { Planner, SessionContext } from '../../control/session/context.js'
import type { Job } from '../../state/types.js'

/** Progress of one revocation, from the command to the expiry of the task's lease. */
interface Revocation {
  /** Fencing token of the revoked task. */
  readonly token: number
  /** Revision of the view from which an entry no longer renews the lease. */
  readonly rev: number
  /** Time at which every entry had acknowledged that revision or was fenced; null until then. */
  inForceAt: Millis | null
}

/**
 * Revokes the tasks of lost VMs, and ends each revocation, including those of cancelled jobs, once the task's lease has
 * expired.
 */
export class TaskReaper implements Planner {
  readonly name = 'reaper'
  readonly intervalMs = 250
  readonly #context: SessionContext
  readonly #revocations = new Map<string, Revocation>()

  /** @param context - shared dependencies of the leader's term */
  constructor (context: SessionContext) {
    this.#context = context
  }

  /** Runs one cycle: revokes tasks on lost VMs, then ends the revocations whose lease has expired. */
  async plan (): Promise<void> {
    const { data, propose } = this.#context
    const jobs = [...data().jobs.values()]
    const lostJobs = jobs.filter((job) => (job.state === 'placed' || job.state === 'running') && this.#isLost(job)).map((job) => job.id)
    if (lostJobs.length > 0) await propose('revokeTasks', { jobs: lostJobs, reason: 'its worker is lost; its lease must end before it runs elsewhere' })
    const expiredJobs = jobs.filter((job) => job.state === 'revoking' && this.#hasLeaseExpired(job))
    this.#evictFinishedRevocations(jobs)
    if (expiredJobs.length > 0) await propose('endRevocation', { jobs: expiredJobs.map(({ id, token }) => ({ job: id, token })) })
  }

  /** Tells whether a job's VM is gone, lost or rebooting, or whether its endpoint has restarted since the placement. */
  #isLost (job: Job): boolean {
    const vm = this.#context.data().vms.get(job.vm ?? '')
    if (vm === undefined || vm.health === 'lost' || vm.phase === 'rebooting') return true
    const endpoint = this.#context.endpoints.find(vm.id)
    return endpoint !== undefined && endpoint.record.boot !== vm.tasks.get(job.id)?.boot
  }

  /**
   * Tells whether a task's lease has expired on the worker's clock: its full length has passed since the last entry
   * stopped renewing it.
   */
  #hasLeaseExpired (job: Job): boolean {
    const { clock, data, entries } = this.#context
    let revocation = this.#revocations.get(job.id)
    if (revocation?.token !== job.token) {
      revocation = { token: job.token, rev: data().viewRev, inForceAt: null }
      this.#revocations.set(job.id, revocation)
    }
    if (revocation.inForceAt === null && entries.isInForce(revocation.rev)) revocation.inForceAt = clock.now()
    return revocation.inForceAt !== null && clock.now() - revocation.inForceAt >= TASK_LEASE_MS * CLOCK_DRIFT_FACTOR
  }

  #evictFinishedRevocations (jobs: readonly Job[]): void {
    const revokingIds = new Set(jobs.filter((job) => job.state === 'revoking').map((job) => job.id))
    for (const id of this.#revocations.keys()) {
      if (!revokingIds.has(id)) this.#revocations.delete(id)
    }
  }
}
