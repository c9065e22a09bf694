/** Time as the project sees it: a monotonic reading, the wall clock and timers, all in milliseconds. */

/** A duration or a reading of a clock, in milliseconds. */
export type Millis = number

/** Source of time. Production code uses {@link SystemClock}, unit tests {@link ManualClock}. */
export interface Clock {
  /** Returns a monotonic reading in milliseconds; only differences have a meaning. */
  now (): Millis
  /** Returns the wall clock in milliseconds since the Unix epoch. */
  wall (): Millis
  /**
   * Resolves after a delay, or earlier when the signal is aborted.
   *
   * @param ms - delay in milliseconds
   * @param signal - ends the wait early
   */
  sleep (ms: Millis, signal?: AbortSignal): Promise<void>
  /**
   * Calls a function after a delay.
   *
   * @param ms - delay in milliseconds
   * @param run - what is called
   * @returns cancels the call
   */
  after (ms: Millis, run: () => void): () => void
}

/** Clock of the running machine. */
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

/** Clock that moves only when a test advances it. */
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
   * Moves time forward, firing the timers that fall due in order and letting pending promises settle between them.
   *
   * @param ms - how far to move, in milliseconds
   * @returns once everything due has run
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

/** Lets every promise that is ready settle. */
function flushPromises (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}
