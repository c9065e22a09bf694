/** Commits the ends of runs that workers report and that the leader concludes, and only then acknowledges them. */
import type { Millis } from '../../clock/index.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import { isFarRun } from '../isFarRun/index.js'
import { judgeEnd } from '../judgeEnd/index.js'
import type { TermContext } from '../leader/context.js'
import type { LostRuns } from '../lostRuns/index.js'
import type { RunStats } from '../runStats/index.js'
import type { RunTimes } from '../runTimes/index.js'
import type { JobRecord, RunEnd } from '../state/records.js'
import type { TaskCopier } from '../taskCopier/index.js'
import { formatTask, parseTask, type Step, type TaskPosition } from '../types.js'

/** A long-running task may fail at any time; one that fails later than this after its placement says nothing about its worker. */
const MAX_STARTUP_MS: Millis = 2000

/** Records run ends during one term. */
export class RunEndRecorder {
  readonly #context: TermContext
  readonly #registry: WorkerRegistry
  readonly #lostRuns: LostRuns
  readonly #stats: RunStats
  readonly #copier: TaskCopier
  readonly #runTimes: RunTimes | undefined

  /**
   * @param context - shared dependencies of the term
   * @param registry - sessions with the workers
   * @param lostRuns - finds the runs that were lost with their workers
   * @param stats - statistics of past runs
   * @param copier - learns which run of a copied task ends first
   * @param runTimes - learns run times; left out when nobody reads them
   */
  constructor (context: TermContext, registry: WorkerRegistry, lostRuns: LostRuns, stats: RunStats, copier: TaskCopier, runTimes?: RunTimes) {
    this.#context = context
    this.#registry = registry
    this.#lostRuns = lostRuns
    this.#stats = stats
    this.#copier = copier
    this.#runTimes = runTimes
  }

  /**
   * Commits all ends that are known now, then acknowledges those that workers have listed.
   *
   * @param isWorkerCheckDue - whether to look for runs that were lost with their workers
   * @throws the error of a rejected proposal; the ends are committed by a later call then
   */
  async record (isWorkerCheckDue: boolean): Promise<void> {
    const collected = [...this.#registry.takeSessionsWithEnds()].map((session) => ({ session, runEnds: session.takeRunEnds() }))
    try {
      await this.#commit(collected.flatMap(({ runEnds }) => runEnds.ends), isWorkerCheckDue)
    } catch (err) {
      for (const { session, runEnds } of collected) session.returnRunEnds(runEnds)
      throw err
    }
    for (const { session, runEnds } of collected) session.acknowledge(runEnds.listedSeq)
  }

  async #commit (reported: readonly RunEnd[], isWorkerCheckDue: boolean): Promise<void> {
    const ends = [...reported]
    if (isWorkerCheckDue) {
      ends.push(...this.#lostRuns.list(reported))
      const revived = this.#lostRuns.listRevived()
      if (revived.length > 0) await this.#context.propose('enrol', { workers: revived })
    }
    if (ends.length === 0) return
    for (const end of ends) this.#observe(end)
    await this.#context.propose('end', { ends })
    for (const end of ends) if (end.outcome === 'refused') this.#stopOtherMembers(end)
  }

  /** Stops the other members of a gang of which one was not started: they would wait for it in vain. */
  #stopOtherMembers ({ task, run }: RunEnd): void {
    const { log, state } = this.#context
    const { job: id, occurrence, step, index } = parseTask(task) as TaskPosition
    const job = state.data.jobs.get(id)
    if (job?.steps[step]?.isGang !== true) return
    job.occurrences.get(occurrence)?.[step]?.tasks.forEach(({ active }, other) => {
      const member = formatTask({ job: id, occurrence, step, index: other })
      for (const { worker } of active.filter((another) => other !== index && another.run === run)) {
        log.info('run.stopping', { task: member, run, worker, reason: 'a member of its gang was not started' })
        void this.#registry.sessionOf(worker)?.stop(member, run)
      }
    })
  }

  #observe (end: RunEnd): void {
    const { clock, log, metrics, state } = this.#context
    const { task, run, worker, outcome, checkpoint } = end
    const effect = judgeEnd(state.data, end)
    if (effect !== 'recorded') {
      log.info('run.endedLate', { task, run, worker, outcome, effect })
      return
    }
    const basis = this.#lostRuns.basisOf(end)
    if (basis !== undefined) metrics.count('oleanderward_lost_runs', { basis })
    if (outcome !== 'done') log.info('run.ended', { task, run, worker, outcome, basis, evidence: end.evidence ?? undefined })
    const { job: id, occurrence, step: stepIndex } = parseTask(task) as TaskPosition
    const job = state.data.jobs.get(id) as JobRecord
    const active = state.runsOn(worker).get(task)
    if (active?.run !== run) return
    const step = job.steps[stepIndex]
    const ranMs = clock.wall() - active.placedAt
    if (outcome === 'done') {
      this.#stats.observeSoundRun(worker)
      this.#copier.recordDone(task, run, ranMs)
      // A run that continued from a checkpoint tells nothing about the run time.
      if (step !== undefined && checkpoint === '') this.#observeRunTime(end, step, ranMs)
    } else if (outcome === 'failed' && (step?.isLasting !== true || ranMs < MAX_STARTUP_MS)) {
      const isStepProven = (job.occurrences.get(occurrence)?.[stepIndex]?.doneCount ?? 0) > 0
      this.#stats.observeFailedRun(worker, { job: id, isStepProven }, clock.now())
    }
  }

  /** A run away from its data or spread over racks is slow for that reason, and tells nothing about its worker. */
  #observeRunTime ({ task, run, worker }: RunEnd, { estimateMs, image }: Step, durationMs: Millis): void {
    const { state } = this.#context
    const position = parseTask(task) as TaskPosition
    const { queue } = state.data.jobs.get(position.job) as JobRecord
    const isFar = isFarRun(state, { position, run, worker })
    const penalty = isFar === true ? this.#runTimes?.remotePenalty ?? 1 : 1
    this.#stats.observeCompletedRun(queue, worker, estimateMs, durationMs / penalty)
    if (this.#runTimes === undefined) return
    const stepKey = `${position.job}.${position.occurrence}.${position.step}`
    this.#runTimes.observe({ stepKey, kind: image === '' ? queue : image, estimateMs, durationMs, isFar: isFar === true })
  }
}
