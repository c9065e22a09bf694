/** Structured event log: one JSON line per event, rate-limited by event name, which never blocks on a slow reader. */
import type { Clock, Millis } from '../../clock/index.js'

/** Limit for each event name; lines beyond it are dropped and counted. */
const MAX_LINES_PER_SECOND = 200

/** Lines are dropped while the stream buffers more than this. */
const MAX_BUFFERED_BYTES = 1024 * 1024

const SECOND_MS: Millis = 1000

/** Severity of an event. */
export type EventLevel = 'debug' | 'info' | 'warn' | 'error'

/** Additional fields of a line. */
export type EventFields = Readonly<Record<string, unknown>>

/** Destination of the lines. */
export interface LineSink {
  /** Number of buffered bytes. */
  readonly writableLength: number
  write (text: string): unknown
}

interface LineBudget {
  second: number
  written: number
  dropped: number
}

/** Event log of one component of a process. */
export class EventLog {
  readonly #part: string
  readonly #clock: Clock
  readonly #sink: LineSink
  readonly #hidesDebug: boolean
  readonly #budgets = new Map<string, LineBudget>()

  /**
   * @param part - name of the component, written in each line
   * @param clock - source of time
   * @param sink - destination of the lines; standard output by default
   * @param hidesDebug - whether to omit events of level `debug`
   */
  constructor (part: string, clock: Clock, sink: LineSink = process.stdout, hidesDebug = true) {
    this.#part = part
    this.#clock = clock
    this.#sink = sink
    this.#hidesDebug = hidesDebug
  }

  /**
   * Writes an event of level `info`.
   *
   * @param event - fixed event name
   * @param fields - additional fields, for instance inputs with their age or version, the outcome and the reason
   */
  info (event: string, fields: EventFields = {}): void {
    this.#write('info', event, fields)
  }

  /**
   * Writes an event of level `warn`.
   *
   * @param event - fixed event name
   * @param fields - additional fields, for instance inputs with their age or version, the outcome and the reason
   */
  warn (event: string, fields: EventFields = {}): void {
    this.#write('warn', event, fields)
  }

  /**
   * Writes an event of level `error`.
   *
   * @param event - fixed event name
   * @param fields - additional fields, for instance inputs with their age or version, the outcome and the reason
   */
  error (event: string, fields: EventFields = {}): void {
    this.#write('error', event, fields)
  }

  /**
   * Writes an event of level `debug`, unless events of this level are omitted.
   *
   * @param event - fixed event name
   * @param fields - additional fields, for instance inputs with their age or version, the outcome and the reason
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
