/**
 * Detects starvation: tasks of a service wait and none of them starts.
 *
 * Covers a case that a measure of load can't see: the few tasks that are left at the end of a surge are little work, but
 * may fit on none of the machines when long-running tasks have nearly filled them.
 */
import type { Millis } from '../../clock/index.js'

/** Short tasks end within this time and free capacity; a requested machine arrives after 1.6 s. */
const STARVED_AFTER_MS: Millis = 1000

/** Records since when each service has had waiting tasks but no start. */
export class StarvationDetector {
  readonly #since = new Map<string, Millis>()

  /**
   * Records the result of planning the starts of a service.
   *
   * @param service - name of the service
   * @param plan - whether tasks were left waiting, and how many start
   * @param now - clock reading
   */
  observe (service: string, { isWaiting, starts }: { readonly isWaiting: boolean, readonly starts: number }, now: Millis): void {
    if (!isWaiting || starts > 0) this.#since.delete(service)
    else if (!this.#since.has(service)) this.#since.set(service, now)
  }

  /**
   * Decides whether tasks of a service have waited too long without a start.
   *
   * @param service - name of the service
   * @param now - clock reading
   */
  isStarved (service: string, now: Millis): boolean {
    return now - (this.#since.get(service) ?? now) > STARVED_AFTER_MS
  }
}
