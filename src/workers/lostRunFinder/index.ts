/** Finds the runs of workers that can no longer be running. */
import type { TermContext } from '../../batch/leader/context.js'
import { parseTask } from '../../batch/types.js'
import type { Millis } from '../../clock/index.js'
import { LONG_LEASE_MS, MAX_LASTING_WAIT_MS, MAX_LATE_CALL_MS } from '../constants.js'
import { findLossBasis, startStatusOf, type LossBasis } from '../findLossBasis/index.js'
import { computeLongestDuration } from '../leaseClock/index.js'
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
    const latest = this.#findLatestIncarnation(session)
    const next = latest?.goneReason === null ? latest : undefined
    const incarnation = {
      isLeaseExpired: session.isLeaseExpired,
      isGone: session.goneReason !== null,
      // Once the latest known incarnation has ended without another one after it, none is left that may run a start.
      isReincarnated: latest === undefined || next !== undefined ? session.isReincarnated : latest.isReincarnated,
      goneForMs: session.goneForMs,
      next: next === undefined ? null : { hasListedRuns: next.poller.hasListedRuns, isLeaseExpired: next.isLeaseExpired }
    }
    const longestLeaseMs = computeLongestDuration(this.#maxLeaseMs)
    const { state } = this.#context
    const lost: LostRun[] = []
    for (const [task, { run, hasBegun = false }] of state.runsOn(session.key)) {
      const order = session.orders.get(task)
      const orderOfRun = order?.run === run ? order : undefined
      const start = next !== undefined && next.token > session.token && next.poller.excludesEarlier(task, run) ? 'notListedNext' : startStatusOf(orderOfRun, hasBegun)
      // A long-running task has to run again within 9 s, which leaves no time to wait for a late call.
      const isLasting = this.#isLasting(task)
      const isUnknownNextExpired = session.isUnknownNextExpired(orderOfRun, isLasting ? MAX_LASTING_WAIT_MS : undefined)
      const maxWaitMs = isLasting ? Math.min(longestLeaseMs, LONG_LEASE_MS) : MAX_LATE_CALL_MS + longestLeaseMs
      const basis = findLossBasis({ ...incarnation, isUnknownNextExpired, maxWaitMs }, start)
      if (basis !== null) lost.push({ task, run, basis })
    }
    return lost
  }

  #isLasting (name: string): boolean {
    const position = parseTask(name)
    return position !== null && this.#context.state.data.jobs.get(position.job)?.steps[position.step]?.isLasting === true
  }

  /** Returns the session with the latest incarnation after one, also when that is gone. */
  #findLatestIncarnation ({ record }: WorkerSession): WorkerSession | undefined {
    let latest: WorkerSession | undefined
    for (const other of this.#sessionsWithId(record.id)) {
      if (other.record.born > (latest?.record ?? record).born) latest = other
    }
    return latest
  }
}
