/** Finds the runs of workers that can no longer be running. */
import type { TermContext } from '../../batch/leader/context.js'
import type { Millis } from '../../clock/index.js'
import { findLossBasis, startStatusOf, type LossBasis, type PlacedIncarnation } from '../findLossBasis/index.js'
import type { WorkerSession } from '../session/index.js'

/** A run that can no longer be running. */
export interface LostRun {
  readonly task: string
  readonly run: number
  readonly basis: LossBasis
}

/** Lists the runs that are over on workers whose leases have expired. */
export class LostRunFinder {
  readonly #context: Pick<TermContext, 'state'>
  readonly #maxLeaseMs: Millis
  readonly #sessionsWithId: (id: string) => Iterable<WorkerSession>

  /**
   * @param context - shared dependencies of the term
   * @param maxLeaseMs - longest lease that workers allow, in milliseconds
   * @param sessionsWithId - returns the sessions with the incarnations under a worker's id
   */
  constructor (context: Pick<TermContext, 'state'>, maxLeaseMs: Millis, sessionsWithId: (id: string) => Iterable<WorkerSession>) {
    this.#context = context
    this.#maxLeaseMs = maxLeaseMs
    this.#sessionsWithId = sessionsWithId
  }

  /**
   * Lists the runs on a worker that can no longer be running. A start that a gone incarnation never answered may have reached the next
   * incarnation of the same id, which stops the run: it is over once that incarnation no longer lists it.
   *
   * @param session - a worker whose lease has expired
   */
  list (session: WorkerSession): LostRun[] {
    const next = this.#findNextIncarnation(session)
    const incarnation: PlacedIncarnation = {
      isLeaseExpired: session.isLeaseExpired,
      isGone: session.goneReason !== null,
      isReincarnated: session.isReincarnated,
      goneForMs: session.goneForMs,
      next: next === undefined ? null : { hasListedRuns: next.poller.hasListedRuns, isLeaseExpired: next.isLeaseExpired },
      maxLeaseMs: this.#maxLeaseMs
    }
    const lost: LostRun[] = []
    for (const [task, { run }] of this.#context.state.runsOn(session.key)) {
      const start = next !== undefined && next.token > session.token && next.poller.excludesEarlier(task, run) ? 'notListedNext' : startStatusOf(session.orders.get(task), run)
      const basis = findLossBasis(incarnation, start)
      if (basis !== null) lost.push({ task, run, basis })
    }
    return lost
  }

  #findNextIncarnation ({ record }: WorkerSession): WorkerSession | undefined {
    for (const other of this.#sessionsWithId(record.id)) {
      if (other.record.born > record.born && other.goneReason === null) return other
    }
    return undefined
  }
}
