/** Sets the pace of filler tasks on each worker. */
import type { Millis } from '../../clock/index.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import type { TermContext } from '../leader/context.js'
import { paceFillers } from '../paceFillers/index.js'
import { parseTask, type Step } from '../types.js'

/** Workers report the tail of the response times over the last half second. */
const CYCLE_INTERVAL_MS: Millis = 400

/** Slows down the fillers of a worker while a serving task on it is close to its response time target. */
export class FillerPacer {
  readonly #context: TermContext
  readonly #registry: WorkerRegistry

  /**
   * @param context - shared dependencies of the term
   * @param registry - sessions with the workers
   */
  constructor (context: TermContext, registry: WorkerRegistry) {
    this.#context = context
    this.#registry = registry
  }

  /** Adjusts the pace on all workers periodically until the term ends. */
  async run (): Promise<void> {
    const { clock, signal, mayOrder } = this.#context
    while (!signal.aborted) {
      await clock.sleep(CYCLE_INTERVAL_MS, signal)
      if (!mayOrder()) continue
      for (const session of this.#registry.sessions) if (session.isLive) this.#paceWorker(session)
    }
  }

  #paceWorker (session: WorkerSession): void {
    const fillers: string[] = []
    let tailShare: number | null = null
    for (const task of this.#context.state.runsOn(session.key).keys()) {
      const step = this.#findStep(task)
      const order = session.orders.get(task)
      if (step === undefined || order === undefined) continue
      if (step.isFiller) fillers.push(task)
      else if (step.tailTargetMs > 0 && order.load !== null) tailShare = Math.max(tailShare ?? 0, order.load / step.tailTargetMs)
    }
    for (const task of fillers) {
      const before = session.orders.get(task)?.pace ?? 0
      const pace = paceFillers(Number.isNaN(before) ? 0 : before, tailShare)
      if (pace === before) continue
      this.#context.log.info('filler.paced', { task, worker: session.key, tailShare, before, pace })
      void session.pace(task, pace)
    }
  }

  #findStep (task: string): Step | undefined {
    const position = parseTask(task)
    return position === null ? undefined : this.#context.state.data.jobs.get(position.job)?.steps[position.step]
  }
}
