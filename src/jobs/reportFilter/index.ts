/** Filters task reports so that only those that change a job are written to the log. */
import type { Clock, Millis } from '../../clock/index.js'
import type { TaskReport } from '../../contracts/types.js'
import type { FleetData } from '../../state/types.js'

/** Shortest interval between two stored checkpoints of one running task. */
const PROGRESS_INTERVAL_MS = 5000

/** Decides which task reports are proposed as commands. */
export class ReportFilter {
  readonly #clock: Clock
  readonly #storedAt = new Map<string, Millis>()

  /** @param clock - source of time */
  constructor (clock: Clock) {
    this.#clock = clock
  }

  /**
   * Selects the reports that change a job.
   *
   * Reports with an outdated fencing token are dropped. Of the progress reports of a running, checkpointable task,
   * at most one per interval is kept.
   *
   * @param data - replicated state
   * @param reports - task reports of one worker
   * @returns the reports of started and ended tasks, and the progress reports that are due
   */
  select (data: FleetData, reports: readonly TaskReport[]): TaskReport[] {
    return reports.filter((report) => {
      const job = data.jobs.get(report.job)
      if (job === undefined || job.token !== report.token) return false
      if (report.state !== 'running') return true
      return job.state === 'placed' || (job.checkpointable && this.#isProgressDue(report.job))
    })
  }

  /**
   * Tells whether the progress of a job is due and, if so, restarts its interval. The first report of a job only starts
   * the interval.
   */
  #isProgressDue (job: string): boolean {
    const now = this.#clock.now()
    const lastStoredAt = this.#storedAt.get(job)
    if (lastStoredAt === undefined) this.#evictStaleEntries(now)
    if (lastStoredAt !== undefined && now - lastStoredAt < PROGRESS_INTERVAL_MS) return false
    this.#storedAt.set(job, now)
    return lastStoredAt !== undefined
  }

  #evictStaleEntries (now: Millis): void {
    for (const [job, storedAt] of this.#storedAt) {
      if (now - storedAt > 2 * PROGRESS_INTERVAL_MS) this.#storedAt.delete(job)
    }
  }
}
