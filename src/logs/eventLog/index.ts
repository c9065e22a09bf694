/** Structured log: one JSON line for each decision, bounded in volume, never waiting for its reader. */
import type { Clock, Millis } from '../../clock/index.js'

/** Lines of one event that are written in one second; the rest is counted. */
const MAX_LINES_PER_SECOND = 200

/** Bytes that may wait in the stream before lines are dropped. */
const MAX_BUFFERED_BYTES = 1024 * 1024

const SECOND_MS: Millis = 1000

/** Severity of a line. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error'

/** What a line says besides its event. */
export type EventFields = Readonly<Record<string, unknown>>

/** Where lines go: a stream that tells how much it holds. */
export interface LineSink {
  readonly writableLength: number
  write (text: string): unknown
}

interface LineBudget {
  second: number
  written: number
  dropped: number
}

/** Writes lines of one part of a process. */
export class EventLog {
  readonly #part: string
  readonly #clock: Clock
  readonly #sink: LineSink
  readonly #hidesDebug: boolean
  readonly #budgets = new Map<string, LineBudget>()

  /**
   * @param part - named in each line
   * @param clock - source of time
   * @param sink - standard output, as a rule
   * @param hidesDebug - leave out lines of level `debug`
   */
  constructor (part: string, clock: Clock, sink: LineSink = process.stdout, hidesDebug = true) {
    this.#part = part
    this.#clock = clock
    this.#sink = sink
    this.#hidesDebug = hidesDebug
  }

  /**
   * @param event - fixed name
   * @param fields - inputs with their age or version, outcome, reason
   */
  info (event: string, fields: EventFields = {}): void {
    this.#write('info', event, fields)
  }

  /**
   * @param event - fixed name
   * @param fields - inputs with their age or version, outcome, reason
   */
  warn (event: string, fields: EventFields = {}): void {
    this.#write('warn', event, fields)
  }

  /**
   * @param event - fixed name
   * @param fields - inputs with their age or version, outcome, reason
   */
  error (event: string, fields: EventFields = {}): void {
    this.#write('error', event, fields)
  }

  /**
   * @param event - fixed name
   * @param fields - inputs with their age or version, outcome, reason
   */
  debug (event: string, fields: EventFields = {}): void {
    if (!this.#hidesDebug) this.#write('debug', event, fields)
  }

  #write (level: EventLevel, event: string, fields: EventFields): void {
    const now = this.#clock.now()
    const second = Math.floor(now / SECOND_MS)
    let budget = this.#budgets.get(event)
    if (budget === undefined) this.#budgets.set(event, budget = { second, written: 0, dropped: 0 })
    if (budget.second !== second) {
      budget.second = second
      budget.written = 0
    }
    if (budget.written >= MAX_LINES_PER_SECOND || this.#sink.writableLength > MAX_BUFFERED_BYTES) {
      budget.dropped += 1
      return
    }
    budget.written += 1
    const line: Record<string, unknown> = { at: Math.round(now), wall: this.#clock.wall(), level, part: this.#part, event, ...fields }
    if (budget.dropped > 0) {
      line.dropped = budget.dropped
      budget.dropped = 0
    }
    this.#sink.write(`${JSON.stringify(line)}\n`)
  }
}
