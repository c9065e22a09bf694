/** Keeps reports of tasks that change nothing out of the log. */
import type { Clock, Millis } from '../../clock/index.js'
import type { TaskReport } from '../../contracts/types.js'
import type { FleetData } from '../../state/types.js'

/** How often the progress of a running task is stored, in milliseconds. */
const PROGRESS_INTERVAL_MS = 5000

/** Decides which reports become commands. */
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
   * @param data - replicated state
   * @param reports - what a worker says
   * @returns ends, starts, and now and then a checkpoint
   */
  select (data: FleetData, reports: readonly TaskReport[]): TaskReport[] {
    return reports.filter((report) => {
      const job = data.jobs.get(report.job)
      if (job === undefined || job.token !== report.token) return false
      if (report.state !== 'running') return true
      return job.state === 'placed' || (job.checkpointable && this.#isProgressDue(report.job))
    })
  }

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
