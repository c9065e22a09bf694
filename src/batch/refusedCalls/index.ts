/** Remembers the jobs that were refused lately, and tells their callers in which order to come back. */
import type { Millis } from '../../clock/index.js'

/** A caller that hasn't come back after this time has given up. */
const KEEP_MS: Millis = 5000

/** Calls beyond this number are not remembered; they count as new when they come back. */
const MAX_KEPT = 10_000

/** Callers read the time to come back in whole seconds. */
const MIN_RETRY_MS: Millis = 1000
const MAX_RETRY_MS: Millis = 10_000

/** A refused job and what it waits for. */
export interface RefusedJob {
  readonly service: string
  /** Time until the work that waits now leaves room for the job. */
  readonly excessMs: Millis
  /** Time that the service's machines need for the job. */
  readonly serviceMs: Millis
}

/** Jobs that were refused during one term. */
export class RefusedCalls {
  /** Clock readings of the first refusal by job, in the order of these. */
  readonly #firstRefusedAt = new Map<string, Millis>()
  /** Clock reading by service at which the next refused caller may come back. */
  readonly #nextTurns = new Map<string, Millis>()

  /** Number of jobs that are remembered. */
  get size (): number {
    return this.#firstRefusedAt.size
  }

  /** @param id - id of a job; returns whether it was refused lately */
  has (id: string): boolean {
    return this.#firstRefusedAt.has(id)
  }

  /**
   * Returns for how long the caller of a job has waited since it was first refused; 0 for a job that wasn't.
   *
   * @param id - id of the job
   * @param now - clock reading
   */
  ageOf (id: string, now: Millis): Millis {
    const refusedAt = this.#firstRefusedAt.get(id)
    return refusedAt === undefined ? 0 : now - refusedAt
  }

  /**
   * Remembers a refused job and gives its caller a turn: callers come back in the order in which they were refused, no faster
   * than the machines can serve them.
   *
   * @param id - id of the job
   * @param job - what it waits for
   * @param now - clock reading
   * @returns time after which the caller may come back, in ms
   */
  add (id: string, { service, excessMs, serviceMs }: RefusedJob, now: Millis): Millis {
    this.#forgetOld(now)
    if (!this.#firstRefusedAt.has(id) && this.#firstRefusedAt.size < MAX_KEPT) this.#firstRefusedAt.set(id, now)
    const turn = Math.max(this.#nextTurns.get(service) ?? 0, now + excessMs)
    this.#nextTurns.set(service, Math.min(turn + serviceMs, now + MAX_RETRY_MS))
    return Math.min(MAX_RETRY_MS, Math.max(MIN_RETRY_MS, turn - now))
  }

  #forgetOld (now: Millis): void {
    for (const [id, refusedAt] of this.#firstRefusedAt) {
      if (now - refusedAt < KEEP_MS) return
      this.#firstRefusedAt.delete(id)
    }
  }
}
