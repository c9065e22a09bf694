/** Lists the runs that were lost with their workers, and what each loss tells about the runs. */
import type { Clock, Millis } from '../../clock/index.js'
import { MAX_IDLE_POLL_WAIT_MS, POLL_TIMEOUT_MS, SURVIVAL_MS } from '../../workers/constants.js'
import type { LossBasis } from '../../workers/findLossBasis/index.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import { judgeCrash, type CrashSuspicion, type SilentWorker } from '../judgeCrash/index.js'
import type { BatchState } from '../state/index.js'
import type { CrashEvidence, RunEnd, WorkerRecord } from '../state/records.js'
import { isSuspectTask } from '../trials/index.js'
import { parseTask } from '../types.js'

/** A worker counts as responsive for this long after an answer at most, and an answer may be that of a worker that has not yet survived a start. */
const OUTLIVED_AFTER_MS: Millis = MAX_IDLE_POLL_WAIT_MS + POLL_TIMEOUT_MS + SURVIVAL_MS

type Suspicions = ReadonlyMap<string, CrashSuspicion>

/** Finds lost runs during one term. Each crash is judged once, when the first of its runs is listed. */
export class LostRuns {
  readonly #clock: Clock
  readonly #state: BatchState
  readonly #registry: WorkerRegistry
  readonly #lostWorkers = new WeakMap<WorkerSession, SilentWorker>()
  readonly #suspicions = new WeakMap<WorkerSession, Suspicions>()
  readonly #bases = new WeakMap<RunEnd, LossBasis>()
  /** Runs whose ends are about to be committed. */
  #reported: ReadonlySet<string> = new Set()

  /**
   * @param clock - source of time
   * @param state - replicated state
   * @param registry - sessions with the workers
   */
  constructor (clock: Clock, state: BatchState, registry: WorkerRegistry) {
    this.#clock = clock
    this.#state = state
    this.#registry = registry
  }

  /**
   * Lists the ends of all runs that can no longer be running because their worker is lost or was dismissed.
   *
   * @param reported - ends that are about to be committed: these runs were not lost, and not the cause of a crash
   */
  list (reported: readonly RunEnd[] = []): RunEnd[] {
    this.#reported = new Set(reported.map(formatRun))
    const ends: RunEnd[] = []
    for (const session of this.#registry.sessions) if (session.isLeaseExpired) ends.push(...this.#listOf(session))
    const orphaned = [...this.#state.workersWithRuns].filter((key) => this.#registry.sessionOf(key) === undefined)
    for (const worker of orphaned) {
      for (const [task, { run }] of this.#state.runsOn(worker)) ends.push({ task, run, worker, outcome: 'lost', checkpoint: '' })
    }
    return ends
  }

  /**
   * Returns why a run can no longer be running.
   *
   * @param end - an end that was listed
   * @returns undefined for an end that a worker has reported, or of a worker that was dismissed
   */
  basisOf (end: RunEnd): LossBasis | undefined {
    return this.#bases.get(end)
  }

  /** Lists the workers that were silent until their lease expired and answer again, so that they have not crashed. */
  listRevived (): WorkerRecord[] {
    const sessions = [...this.#state.data.unconfirmedCrashes.keys()].map((key) => this.#registry.sessionOf(key))
    return sessions.filter((session) => session?.isLive === true).map((session) => (session as WorkerSession).record)
  }

  #listOf (session: WorkerSession): RunEnd[] {
    const lost = this.#registry.listLostRuns(session).filter(({ task, run }) => !this.#isReported(session, task, run))
    if (lost.length === 0) return []
    const outcome = session.goneReason === null ? 'lapsed' : 'lost'
    const suspicions = this.#judge(session)
    return lost.map(({ task, run, basis }) => {
      const end: RunEnd = { task, run, worker: session.key, outcome, checkpoint: session.orders.get(task)?.checkpoint ?? '', evidence: this.#findEvidence(session, task, run, suspicions), isCrashConfirmed: session.goneReason !== null }
      this.#bases.set(end, basis)
      return end
    })
  }

  #findEvidence (session: WorkerSession, task: string, run: number, suspicions: Suspicions): CrashEvidence | null {
    if (session.orders.hasSurvived(task, run) || this.#hasOutlived(session, task)) return 'survived'
    const suspicion = suspicions.get(task) ?? null
    return suspicion === 'sole' && !session.orders.wasRunningAtCrash(task, run, session.crashedBy) ? 'shared' : suspicion
  }

  /** A worker gets work only while it answers, so that it has survived the runs that were placed some time before the latest one there. */
  #hasOutlived ({ key }: WorkerSession, task: string): boolean {
    const runs = this.#state.runsOn(key)
    const placedAt = runs.get(task)?.placedAt ?? Number.POSITIVE_INFINITY
    for (const other of runs.values()) if (other.placedAt - placedAt >= OUTLIVED_AFTER_MS) return true
    return false
  }

  #judge (session: WorkerSession): Suspicions {
    let suspicions = this.#suspicions.get(session)
    if (suspicions === undefined) {
      suspicions = isEndPlanned(session) ? new Map() : judgeCrash(this.#describe(session), this.#describeOthers(session))
      this.#suspicions.set(session, suspicions)
    }
    return suspicions
  }

  /** Describes a worker as it was when it was lost: once the ends of its runs are recorded, the state no longer tells what ran there. */
  #describe (session: WorkerSession): SilentWorker {
    const known = this.#lostWorkers.get(session)
    if (known !== undefined) return known
    const silentSince = session.contact.silentSince ?? this.#clock.now()
    const freshTasks = [...this.#state.runsOn(session.key)].filter(([task, { run }]) => !this.#isReported(session, task, run) && session.orders.isFresh(task, run, silentSince) && !this.#hasOutlived(session, task)).map(([task]) => task)
    const described = { labels: session.record.labels, answeredAt: session.contact.answeredAt, silentSince, freshTasks, isTrial: this.#isTrial(freshTasks) }
    if (session.isLeaseExpired) this.#lostWorkers.set(session, described)
    return described
  }

  #isReported ({ key }: WorkerSession, task: string, run: number): boolean {
    return this.#reported.has(formatRun({ worker: key, task, run }))
  }

  #isTrial (freshTasks: readonly string[]): boolean {
    const jobs = new Set(freshTasks.map((task) => parseTask(task)?.job))
    return jobs.size === 1 && freshTasks.some((task) => isSuspectTask(task, this.#state))
  }

  /** Describes the other workers that were lost, or are silent, for no planned reason. */
  #describeOthers (crashed: WorkerSession): SilentWorker[] {
    const others: SilentWorker[] = []
    for (const session of this.#registry.sessions) {
      const isLost = session.goneReason !== null || session.contact.silentSince !== null
      if (session !== crashed && isLost && !isEndPlanned(session)) others.push(this.#describe(session))
    }
    return others
  }
}

/** Whether the end of a worker was announced or ordered, as far as is known. */
function isEndPlanned ({ hasEndedAsPlanned, record, contact }: WorkerSession): boolean {
  return hasEndedAsPlanned || record.isDraining || contact.isAnswerRequired
}

function formatRun ({ worker, task, run }: Pick<RunEnd, 'worker' | 'task' | 'run'>): string {
  return `${worker} ${task} ${run}`
}
