/** Lists the copies of running tasks to start, and learns from their ends whether copies of stragglers pay. */
import type { Millis } from '../../clock/index.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import { judgeCopy, type CopyReason } from '../judgeCopy/index.js'
import type { TermContext } from '../leader/context.js'
import type { WorkspaceGroup } from '../planStarts/index.js'
import type { ActiveRun, JobRecord, TaskRecord } from '../state/records.js'
import { formatTask, parseTask, type Step } from '../types.js'

/** Ended runs of a step from which its usual run time is known. */
const MIN_SIBLINGS = 2

/** Copies of stragglers of one queue after which their outcomes decide about further ones. */
const MIN_OUTCOMES = 8

/** Share of the copies of stragglers that must end before the first run; below it the queue's long tasks are long wherever they run. */
const MIN_WIN_SHARE = 0.25

/** Copies of stragglers that don't pay are tried again after this time. */
const RETRY_INTERVAL_MS: Millis = 10_000

/** Outcomes of the copies of stragglers in one queue. */
interface Outcomes {
  wins: number
  ends: number
  lastCopyAt: Millis
}

/** Copies tasks during one term. */
export class TaskCopier {
  readonly #context: TermContext
  readonly #registry: WorkerRegistry
  /** Run times of ended runs by step key, for steps that allow copies. */
  readonly #durations = new Map<string, Millis[]>()
  /** Copies whose task is not done, by task. */
  readonly #copies = new Map<string, { readonly run: number, readonly reason: CopyReason }>()
  readonly #outcomes = new Map<string, Outcomes>()

  /**
   * @param context - shared dependencies of the term
   * @param registry - sessions with the workers
   */
  constructor (context: TermContext, registry: WorkerRegistry) {
    this.#context = context
    this.#registry = registry
  }

  /**
   * Lists the copies that should start now, each on another worker than the run that it copies.
   *
   * @param jobs - active jobs of one pool
   * @param getAllowedWorkers - returns the workers that the advisor allows for a step; null without an advisor, undefined while its answer is pending
   */
  * listCopies (jobs: readonly JobRecord[], getAllowedWorkers: (stepKey: string, job: JobRecord) => ReadonlySet<string> | null | undefined): Generator<WorkspaceGroup> {
    for (const job of jobs) {
      if (job.isSuspect) continue
      for (const [occurrence, records] of job.occurrences) {
        for (const [i, step] of job.steps.entries()) {
          if (!mayCopy(step)) continue
          for (const [index, record] of (records[i]?.tasks ?? []).entries()) {
            const task = formatTask({ job: job.id, occurrence, step: i, index })
            const stepKey = `${job.id}.${occurrence}.${i}`
            if (!this.#needsCopy(job, task, stepKey, record)) continue
            const allowed = getAllowedWorkers(stepKey, job)
            if (allowed === undefined) continue
            yield { members: [{ task, stepKey, step, failedOn: record.failedOn, allowed, suspectJob: null, runningOn: (record.active[0] as ActiveRun).worker }], mayReserve: false, workspace: job.workspace }
          }
        }
      }
    }
  }

  /**
   * Records that the copy of a task was placed.
   *
   * @param task - name of the task
   * @param run - number of the copy's run
   */
  recordPlacement (task: string, run: number): void {
    const job = this.#jobOf(task)
    if (job === undefined) return
    const first = this.#findRecord(task)?.active.find((active) => active.run !== run)
    if (first === undefined) return
    const reason: CopyReason = this.#isSilent(first) ? 'silentWorker' : 'straggler'
    this.#copies.set(task, { run, reason })
    if (reason === 'straggler') this.#outcomesOf(job.queue).lastCopyAt = this.#context.clock.now()
    this.#context.metrics.count('oleanderward_task_copies', { reason })
    this.#context.log.info('task.copied', { task, run, first: first.run, on: first.worker, reason })
  }

  /**
   * Records that a run has ended as done.
   *
   * @param task - name of the task
   * @param run - number of the run
   * @param ranMs - its run time, in ms
   */
  recordDone (task: string, run: number, ranMs: Millis): void {
    const job = this.#jobOf(task)
    const position = parseTask(task)
    if (job === undefined || position === null || !mayCopy(job.steps[position.step] as Step)) return
    const stepKey = `${position.job}.${position.occurrence}.${position.step}`
    this.#durations.set(stepKey, [...(this.#durations.get(stepKey) ?? []), ranMs])
    const copy = this.#copies.get(task)
    if (copy === undefined) return
    this.#copies.delete(task)
    const isWon = copy.run === run
    this.#context.metrics.count('oleanderward_task_copy_ends', { reason: copy.reason, first: isWon ? 'copy' : 'original' })
    if (copy.reason !== 'straggler') return
    const outcomes = this.#outcomesOf(job.queue)
    outcomes.ends += 1
    if (isWon) outcomes.wins += 1
  }

  /** Forgets the steps and the copies of jobs that have ended. */
  forgetEnded (): void {
    for (const stepKey of this.#durations.keys()) if (this.#jobOf(`${stepKey}.0`)?.state !== 'active') this.#durations.delete(stepKey)
    for (const task of this.#copies.keys()) if (this.#jobOf(task)?.state !== 'active') this.#copies.delete(task)
  }

  #needsCopy (job: JobRecord, task: string, stepKey: string, { isDone, active, crashes }: TaskRecord): boolean {
    const [first, ...others] = active
    if (isDone || first === undefined || others.length > 0 || crashes > 0) return false
    const order = this.#registry.sessionOf(first.worker)?.orders.get(task)
    const isWorkerSilent = this.#isSilent(first)
    const isStarted = order?.run === first.run && order.phase === 'started' && !order.isStopRequested
    if (!isWorkerSilent && !isStarted) return false
    const now = this.#context.clock.now()
    const reason = judgeCopy({
      isWorkerSilent,
      ranMs: isStarted ? now - order.startedAt : 0,
      percent: isStarted ? order.percent : -1,
      unchangedMs: isStarted ? now - order.percentChangedAt : 0,
      usualMs: this.#getUsualMs(stepKey)
    })
    return reason === 'silentWorker' || (reason === 'straggler' && this.#doStragglersPay(job.queue))
  }

  /** Whether the worker of a run has left its last poll unanswered, or is gone while the run may still be going on. */
  #isSilent ({ worker }: ActiveRun): boolean {
    const session = this.#registry.sessionOf(worker)
    return session !== undefined && (session.goneReason !== null || session.contact.consecutiveFailures > 0)
  }

  #getUsualMs (stepKey: string): Millis | null {
    const durations = this.#durations.get(stepKey) ?? []
    if (durations.length < MIN_SIBLINGS) return null
    return [...durations].sort((a, b) => a - b)[Math.floor(durations.length / 2)] as Millis
  }

  #doStragglersPay (queue: string): boolean {
    const { wins, ends, lastCopyAt } = this.#outcomesOf(queue)
    return ends < MIN_OUTCOMES || wins >= ends * MIN_WIN_SHARE || this.#context.clock.now() - lastCopyAt >= RETRY_INTERVAL_MS
  }

  #outcomesOf (queue: string): Outcomes {
    let outcomes = this.#outcomes.get(queue)
    if (outcomes === undefined) this.#outcomes.set(queue, outcomes = { wins: 0, ends: 0, lastCopyAt: Number.NEGATIVE_INFINITY })
    return outcomes
  }

  #jobOf (task: string): JobRecord | undefined {
    return this.#context.state.data.jobs.get(task.slice(0, task.indexOf('.')))
  }

  #findRecord (task: string): TaskRecord | undefined {
    const position = parseTask(task)
    return position === null ? undefined : this.#jobOf(task)?.occurrences.get(position.occurrence)?.[position.step]?.tasks[position.index]
  }
}

/** The members of a gang start together, and long-running tasks and fillers have no end that a copy could bring forward. */
function mayCopy ({ allowsCopies, isGang, isLasting, isFiller }: Step): boolean {
  return allowsCopies && !isGang && !isLasting && !isFiller
}

/**
 * Returns whether a job has a step whose tasks may be copied.
 *
 * @param job - the job
 */
export function hasCopyableStep (job: JobRecord): boolean {
  return job.steps.some(mayCopy)
}
