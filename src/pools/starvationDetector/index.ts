/**
 * Notices that a service's tasks wait and none of them starts.
 *
 * Answers what a measure of load can't see: a few tasks that are left over at the end of a surge are little work, and may
 * still fit on none of the machines that tasks which last have nearly filled.
 */
import type { Millis } from '../../clock/index.js'

/** Short tasks end within this time and make room; a machine that is asked for comes 1.6 s later. */
const STARVED_AFTER_MS: Millis = 1000

/** Keeps since when each service has had waiting tasks and no start. */
export class StarvationDetector {
  readonly #since = new Map<string, Millis>()

  /**
   * Takes in a plan of starts.
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
   * Tells whether tasks of a service have waited too long without a start.
   *
   * @param service - name of the service
   * @param now - clock reading
   */
  isStarved (service: string, now: Millis): boolean {
    return now - (this.#since.get(service) ?? now) > STARVED_AFTER_MS
  }
}
