/**
 * Decides whether a start that was placed some time ago may still be sent.
 *
 * Handles workers that leave orders unanswered: the starts behind these wait for seconds, in which the worker may begin to drain, shrink or
 * fall silent, and the job may end.
 */
import type { BatchState } from '../../batch/state/index.js'
import { parseTask } from '../../batch/types.js'
import type { Cordons } from '../cordons/index.js'
import { isOvercommitted } from '../computeOccupancy/index.js'
import type { WorkerSession } from '../session/index.js'
import type { StartObstacle } from '../session/types.js'

/** Admits the starts to the workers of one term. */
export class StartAdmission {
  readonly #state: BatchState
  readonly #cordons: Cordons
  /** Keys of workers whose capacity has shrunk while this leader knew them. */
  readonly #shrunkWorkers = new Set<string>()

  /**
   * @param state - replicated state
   * @param cordons - cordoned machines
   */
  constructor (state: BatchState, cordons: Cordons) {
    this.#state = state
    this.#cordons = cordons
  }

  /** @param worker - key of a worker whose capacity has shrunk */
  recordShrunk (worker: string): void {
    this.#shrunkWorkers.add(worker)
  }

  /** @param worker - key of a worker that is gone */
  forget (worker: string): void {
    this.#shrunkWorkers.delete(worker)
  }

  /**
   * Returns why a start must not be sent, or null when it may.
   *
   * @param session - the worker that it was placed on
   * @param task - name of the task
   * @param run - number of the run
   */
  findObstacle (session: WorkerSession, task: string, run: number): StartObstacle | null {
    if (!this.#state.isRunNeeded(task, run)) return 'notNeeded'
    if (session.record.isDraining) return 'draining'
    if (this.#cordons.has(session.record.machine)) return 'cordoned'
    if (!session.mayStartRuns) return 'unresponsive'
    return this.#shrunkWorkers.has(session.key) && !this.#isGangMember(task) && isOvercommitted(session, this.#state) ? 'shrunk' : null
  }

  /** Members of a gang are started although the worker has shrunk: the others would wait for them in vain. */
  #isGangMember (task: string): boolean {
    const position = parseTask(task)
    return position !== null && this.#state.data.jobs.get(position.job)?.steps[position.step]?.isGang === true
  }
}
