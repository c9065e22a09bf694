/** Finds the runs of workers that can no longer be running. */
import type { TermContext } from '../../batch/leader/context.js'
import { findLossBasis, startStatusOf, type LossBasis } from '../findLossBasis/index.js'
import type { WorkerSession } from '../session/index.js'

/** A run that can no longer be running. */
export interface LostRun {
  readonly task: string
  readonly run: number
  readonly basis: LossBasis
}

/** Revokes the starts that gone incarnations never answered, and lists the runs that are over. */
export class LostRunFinder {
  readonly #context: TermContext
  readonly #sessionsWithId: (id: string) => Iterable<WorkerSession>
  readonly #onChange: () => void
  /** Runs that are being revoked at the next incarnation, by worker, task and run. */
  readonly #revoking = new Set<string>()

  /**
   * @param context - shared dependencies of the term
   * @param sessionsWithId - returns the sessions with the incarnations under a worker's id
   * @param onChange - called when a run has been revoked
   */
  constructor (context: TermContext, sessionsWithId: (id: string) => Iterable<WorkerSession>, onChange: () => void) {
    this.#context = context
    this.#sessionsWithId = sessionsWithId
    this.#onChange = onChange
  }

  /**
   * Lists the runs on a worker that can no longer be running. A start that a gone incarnation never answered is first
   * revoked at the next incarnation of the same id.
   *
   * @param session - a worker whose lease has expired
   */
  list (session: WorkerSession): LostRun[] {
    const next = this.#findNextIncarnation(session)
    const lost: LostRun[] = []
    for (const [task, { run }] of this.#context.state.runsOn(session.key)) {
      const incarnation = { isLeaseExpired: session.isLeaseExpired, isGone: session.goneReason !== null, isReincarnated: session.isReincarnated || next !== undefined, goneForMs: session.goneForMs }
      const start = next !== undefined && next.token > session.token && next.poller.excludesEarlier(task, run) ? 'notListedNext' : startStatusOf(session.orders.get(task), run)
      const basis = findLossBasis(incarnation, start)
      if (basis !== null) lost.push({ task, run, basis })
      else if (incarnation.isGone && next !== undefined) this.#revokeAtNextIncarnation(session, next, task, run)
    }
    return lost
  }

  #findNextIncarnation ({ record }: WorkerSession): WorkerSession | undefined {
    for (const other of this.#sessionsWithId(record.id)) {
      if (other.record.born > record.born && other.goneReason === null) return other
    }
    return undefined
  }

  #revokeAtNextIncarnation (session: WorkerSession, next: WorkerSession, task: string, run: number): void {
    const key = `${next.key} ${task} ${run}`
    if (this.#revoking.has(key)) return
    this.#revoking.add(key)
    void next.revoke(task, run).then((isRevoked) => {
      this.#revoking.delete(key)
      if (!isRevoked) return
      this.#context.log.info('run.revoked', { task, run, worker: session.key, by: next.key })
      session.orders.ensure(task, run, this.#context.clock.now()).phase = 'barred'
      this.#onChange()
    })
  }
}
