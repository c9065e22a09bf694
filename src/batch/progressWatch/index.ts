/** Looks at the progress of all runs and takes work away from workers that stand still or are slow. */
import type { Millis } from '../../clock/index.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import { judgeProgress, type RunProgress } from '../judgeProgress/index.js'
import type { TermContext } from '../leader/context.js'
import type { RunStats } from '../runStats/index.js'
import { parseTask } from '../types.js'

const ROUND_MS: Millis = 250

/** When more than this share of a service's workers seem to stand still, it is not the workers. */
const MAX_SHARE = 0.4

/** Watches the runs of one term. */
export class ProgressWatch {
  readonly #context: TermContext
  readonly #registry: WorkerRegistry
  readonly #stats: RunStats

  /**
   * @param context - the term's parts
   * @param registry - the workers
   * @param stats - told of workers that stand still or are slow
   */
  constructor (context: TermContext, registry: WorkerRegistry, stats: RunStats) {
    this.#context = context
    this.#registry = registry
    this.#stats = stats
  }

  /** Makes rounds until the term ends. */
  async run (): Promise<void> {
    const { clock, signal, mayOrder } = this.#context
    while (!signal.aborted) {
      await clock.sleep(ROUND_MS, signal)
      if (mayOrder()) this.#round()
    }
  }

  #round (): void {
    const live = new Map<string, number>()
    const suspects: Array<{ readonly session: WorkerSession, readonly state: 'stalled' | 'slow', readonly stop: readonly string[] }> = []
    for (const session of this.#registry.sessions) {
      if (!session.isLive) continue
      live.set(session.record.service, (live.get(session.record.service) ?? 0) + 1)
      const { state, stop } = judgeProgress(this.#describeRuns(session))
      if (state !== 'sound' && stop.length > 0) suspects.push({ session, state, stop })
    }
    for (const { session, state, stop } of suspects) {
      const { service } = session.record
      const sharing = suspects.filter((other) => other.session.record.service === service).length
      if (sharing > 1 && sharing / (live.get(service) ?? 1) > MAX_SHARE) continue
      this.#context.log.info('worker.suspect', { worker: session.key, service, state, stopping: stop.length })
      this.#stats.observeStandstill(session.key, this.#context.clock.now())
      for (const task of stop) void session.stop(task, session.orders.get(task)?.run ?? 0)
    }
  }

  #describeRuns (session: WorkerSession): RunProgress[] {
    const { clock, state } = this.#context
    const now = clock.now()
    const runs: RunProgress[] = []
    for (const [task, { run }] of state.runsOn(session.key)) {
      const order = session.orders.get(task)
      const place = parseTask(task)
      const job = place === null ? undefined : state.data.jobs.get(place.job)
      const step = place === null ? undefined : job?.steps[place.step]
      if (place === null || order === undefined || order.run !== run || order.phase !== 'started' || order.isStopRequested || job === undefined || step === undefined) continue
      if (step.isLasting || step.isGang || step.isFiller || order.percent < 0) continue
      runs.push({ task, stepKey: `${job.id}.${place.occurrence}.${place.step}`, percent: order.percent, ranMs: now - order.startedAt, stillMs: now - order.percentChangedAt, expectedMs: step.estimateMs * this.#stats.correctionOf(job.queue) })
    }
    return runs
  }
}
