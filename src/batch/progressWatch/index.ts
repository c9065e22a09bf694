/** Monitors the progress of all runs, moves work away from stalled or slow workers, and notes which workers run long-running tasks well. */
import type { Millis } from '../../clock/index.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import { isFarRun } from '../isFarRun/index.js'
import { COMPLETE_PERCENT, judgeProgress, type RunProgress } from '../judgeProgress/index.js'
import type { TermContext } from '../leader/context.js'
import type { RunStats } from '../runStats/index.js'
import type { RunTimes } from '../runTimes/index.js'
import { parseTask, type Step } from '../types.js'

const CYCLE_INTERVAL_MS: Millis = 250

/**
 * When more than this share of a service's workers, and at least two, seem stalled or slow, the cause is not the workers, and
 * no run is stopped.
 */
const MAX_SUSPECT_SHARE = 0.4

/** Monitors the runs during one term. */
export class ProgressWatch {
  readonly #context: TermContext
  readonly #registry: WorkerRegistry
  readonly #stats: RunStats
  readonly #runTimes: RunTimes | undefined

  /**
   * @param context - shared dependencies of the term
   * @param registry - sessions with the workers
   * @param stats - receives workers that are stalled or slow
   * @param runTimes - knows how much longer runs away from their data take; without it they are expected to take no longer
   */
  constructor (context: TermContext, registry: WorkerRegistry, stats: RunStats, runTimes?: RunTimes) {
    this.#context = context
    this.#registry = registry
    this.#stats = stats
    this.#runTimes = runTimes
  }

  /** Checks all workers periodically until the term ends. */
  async run (): Promise<void> {
    const { clock, signal, mayOrder } = this.#context
    while (!signal.aborted) {
      await clock.sleep(CYCLE_INTERVAL_MS, signal)
      if (mayOrder()) this.#runCycle()
    }
  }

  #runCycle (): void {
    const liveWorkerCounts = new Map<string, number>()
    const suspects: Array<{ readonly session: WorkerSession, readonly state: 'stalled' | 'slow', readonly tasksToStop: readonly string[] }> = []
    for (const session of this.#registry.sessions) {
      if (!session.isLive) continue
      liveWorkerCounts.set(session.record.service, (liveWorkerCounts.get(session.record.service) ?? 0) + 1)
      if (this.#stats.hasFailures(session.key)) this.#observeTasksAtWork(session)
      const { state, tasksToStop } = judgeProgress(this.#describeRuns(session))
      if (state !== 'healthy' && tasksToStop.length > 0) suspects.push({ session, state, tasksToStop })
    }
    for (const { session, state, tasksToStop } of suspects) {
      const { service } = session.record
      const suspectCount = suspects.filter((other) => other.session.record.service === service).length
      if (suspectCount > 1 && suspectCount / (liveWorkerCounts.get(service) ?? 1) > MAX_SUSPECT_SHARE) continue
      this.#context.log.info('worker.suspect', { worker: session.key, service, state, stopping: tasksToStop.length })
      this.#stats.observeUnhealthyWorker(session.key, this.#context.clock.now())
      for (const task of tasksToStop) void session.stop(task, session.orders.get(task)?.run ?? 0)
    }
  }

  /** A long-running task never ends as done, so that its being at work is what shows that its worker is sound. */
  #observeTasksAtWork (session: WorkerSession): void {
    for (const [task, { run }] of this.#context.state.runsOn(session.key)) {
      const order = session.orders.get(task)
      if (order?.run === run && order.percent >= COMPLETE_PERCENT && this.#findStep(task)?.isLasting === true) this.#stats.observeSoundRun(session.key, order.startedAt)
    }
  }

  #findStep (task: string): Step | undefined {
    const position = parseTask(task)
    return position === null ? undefined : this.#context.state.data.jobs.get(position.job)?.steps[position.step]
  }

  #describeRuns (session: WorkerSession): RunProgress[] {
    const { clock, state } = this.#context
    const now = clock.now()
    const runs: RunProgress[] = []
    for (const [task, { run }] of state.runsOn(session.key)) {
      const order = session.orders.get(task)
      const position = parseTask(task)
      const job = position === null ? undefined : state.data.jobs.get(position.job)
      const step = position === null ? undefined : job?.steps[position.step]
      if (position === null || order === undefined || order.run !== run || order.phase !== 'started' || order.isStopRequested || job === undefined || step === undefined) continue
      if (step.isLasting || step.isGang || step.isFiller || order.percent < 0) continue
      const penalty = isFarRun(state, { position, run, worker: session.key }) === true ? this.#runTimes?.remotePenalty ?? 1 : 1
      runs.push({ task, stepKey: `${job.id}.${position.occurrence}.${position.step}`, percent: order.percent, ranMs: now - order.startedAt, unchangedMs: now - order.percentChangedAt, expectedMs: step.estimateMs * this.#stats.getEstimateCorrection(job.queue) * penalty })
    }
    return runs
  }
}
