/** Measures how late the event loop of a process runs, and logs the work that it did while it ran late. */
import type { Clock, Millis } from '../../clock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import type { Metrics } from '../index.js'

/** A timer measures the delay that every other timer and every answer suffers. Each sample wakes the process up. */
const SAMPLE_INTERVAL_MS: Millis = 500

const REPORT_INTERVAL_MS: Millis = 1000

/** Delays below this are usual on a machine with a third of a core. */
const LAG_TO_REPORT_MS: Millis = 40

const MICROSECONDS_PER_MS = 1000

/** Name of the histogram of delays. */
export const LOOP_LAG_METRIC = 'oleanderward_loop_lag_ms'

/** Returns the processor time that this process has used, in milliseconds. */
export function readProcessorMs (): Millis {
  const { user, system } = process.cpuUsage()
  return (user + system) / MICROSECONDS_PER_MS
}

/** Watches the event loop of one process. */
export class LoadMonitor {
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #metrics: Metrics
  readonly #readProcessorMs: () => Millis
  #counters: ReadonlyMap<string, number> = new Map()
  #processorMs: Millis
  #maxLagMs: Millis = 0
  #reportedAt: Millis

  /**
   * @param clock - source of time
   * @param log - receives one line for each interval in which the event loop ran late
   * @param metrics - receives the delays; its counters tell what the process did meanwhile
   * @param readProcessor - returns the processor time used so far, in milliseconds
   */
  constructor (clock: Clock, log: EventLog, metrics: Metrics, readProcessor: () => Millis = readProcessorMs) {
    this.#clock = clock
    this.#log = log
    this.#metrics = metrics
    this.#readProcessorMs = readProcessor
    this.#processorMs = readProcessor()
    this.#reportedAt = clock.now()
  }

  /**
   * Measures until aborted.
   *
   * @param signal - ends the measurement
   */
  async run (signal?: AbortSignal): Promise<void> {
    for (;;) {
      const due = this.#clock.now() + SAMPLE_INTERVAL_MS
      await this.#clock.sleep(SAMPLE_INTERVAL_MS, signal)
      if (signal?.aborted === true) return
      const lagMs = Math.max(0, this.#clock.now() - due)
      this.#metrics.record(LOOP_LAG_METRIC, {}, lagMs)
      this.#maxLagMs = Math.max(this.#maxLagMs, lagMs)
      if (this.#clock.now() - this.#reportedAt >= REPORT_INTERVAL_MS) this.#report()
    }
  }

  #report (): void {
    const now = this.#clock.now()
    const counters = this.#metrics.counters()
    const processorMs = this.#readProcessorMs()
    if (this.#maxLagMs >= LAG_TO_REPORT_MS) {
      const counts = [...counters].map(([series, value]) => [series, value - (this.#counters.get(series) ?? 0)] as const).filter(([, count]) => count > 0)
      this.#log.info('process.lagging', {
        maxLagMs: Math.round(this.#maxLagMs),
        overMs: Math.round(now - this.#reportedAt),
        processorMs: Math.round(processorMs - this.#processorMs),
        counts: Object.fromEntries(counts)
      })
    }
    this.#counters = counters
    this.#processorMs = processorMs
    this.#maxLagMs = 0
    this.#reportedAt = now
  }
}
