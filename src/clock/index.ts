/** Clocks and timers: a monotonic clock, the wall clock and delays, all in milliseconds. */

/** A duration or a reading of a clock, in milliseconds. */
export type Millis = number

/** Reading of {@link SystemClock} at the start of the process. */
export const PROCESS_STARTED_AT: Millis = 0

/** Source of time: {@link SystemClock} in production, {@link ManualClock} in unit tests. */
export interface Clock {
  /** Returns a monotonic reading in milliseconds; only differences between readings are meaningful. */
  now (): Millis
  /** Returns the wall clock in milliseconds since the Unix epoch. */
  wall (): Millis
  /**
   * Resolves after a delay, or earlier when the signal is aborted.
   *
   * @param ms - delay in milliseconds
   * @param signal - ends the delay early
   */
  sleep (ms: Millis, signal?: AbortSignal): Promise<void>
  /**
   * Calls a function after a delay.
   *
   * @param ms - delay in milliseconds
   * @param run - function to call
   * @returns a function that cancels the call
   */
  after (ms: Millis, run: () => void): () => void
}

/** Clock of the operating system. */
export class SystemClock implements Clock {
  now (): Millis {
    return performance.now()
  }

  wall (): Millis {
    return Date.now()
  }

  sleep (ms: Millis, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) return Promise.resolve()
    return new Promise((resolve) => {
      const finish = (): void => {
        clearTimeout(timer)
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const timer = setTimeout(finish, ms)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  after (ms: Millis, run: () => void): () => void {
    const timer = setTimeout(run, ms)
    return () => { clearTimeout(timer) }
  }
}

interface ManualTimer {
  readonly due: Millis
  readonly order: number
  readonly fire: () => void
}

/** Clock that advances only when a test calls {@link ManualClock.advance}. */
export class ManualClock implements Clock {
  #now: Millis
  #order = 0
  #timers: ManualTimer[] = []

  /** @param start - first reading in milliseconds */
  constructor (start: Millis = 1_000_000) {
    this.#now = start
  }

  now (): Millis {
    return this.#now
  }

  wall (): Millis {
    return this.#now
  }

  sleep (ms: Millis, signal?: AbortSignal): Promise<void> {
    if (signal?.aborted === true) return Promise.resolve()
    return new Promise((resolve) => {
      const finish = (): void => {
        cancel()
        signal?.removeEventListener('abort', finish)
        resolve()
      }
      const cancel = this.after(ms, finish)
      signal?.addEventListener('abort', finish, { once: true })
    })
  }

  after (ms: Millis, run: () => void): () => void {
    const timer: ManualTimer = { due: this.#now + Math.max(0, ms), order: this.#order++, fire: run }
    this.#timers.push(timer)
    return () => { this.#timers = this.#timers.filter((other) => other !== timer) }
  }

  /**
   * Advances time. Fires the timers that become due in order, and lets pending promises settle after each.
   *
   * @param ms - time to advance by, in milliseconds
   * @returns a promise that resolves once all due timers have fired
   */
  async advance (ms: Millis): Promise<void> {
    const end = this.#now + ms
    await flushPromises()
    for (let timer = this.#takeDue(end); timer !== undefined; timer = this.#takeDue(end)) {
      this.#now = Math.max(this.#now, timer.due)
      timer.fire()
      await flushPromises()
    }
    this.#now = end
  }

  #takeDue (end: Millis): ManualTimer | undefined {
    let next: ManualTimer | undefined
    for (const timer of this.#timers) {
      if (timer.due > end) continue
      if (next === undefined || timer.due < next.due || (timer.due === next.due && timer.order < next.order)) next = timer
    }
    if (next !== undefined) this.#timers = this.#timers.filter((timer) => timer !== next)
    return next
  }
}

/** Resolves after all pending promise callbacks have run. */
function flushPromises (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
