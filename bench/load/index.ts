/** Callers: send requests at given rates, check every answer and keep book of every key. */
import { setTimeout as sleep } from 'node:timers/promises'
import { build, type Histogram } from 'hdr-histogram-js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { Agent, request } from 'undici'
import type { Outcome, WorkClass } from '../../src/contracts/types.js'
import type { Oracle } from '../../standins/oracle/index.js'
import type { Measurements } from '../report/index.js'

/** Requests of one kind. */
export interface Stream {
  readonly service: string
  readonly team: string
  readonly class: WorkClass
  readonly method: 'GET' | 'POST'
  readonly deadlineMs: number
  /** Requests a second at a moment of the run, given in seconds from its start. */
  readonly rate: (second: number) => number
}

/** How callers behave. */
export interface LoadOptions {
  readonly streams: readonly Stream[]
  readonly seed: number
  /** Addresses that the platform's balancer offers at the moment. */
  readonly entries: () => readonly string[]
  readonly oracle: Oracle
  /** Callers whose request was not answered send it again, with its key, through another entry. */
  readonly resends: number
  readonly bodyBytes?: number
}

/** What became of one key. */
interface KeyBook {
  readonly stream: Stream
  readonly outcomes: Outcome[]
}

interface ClassBook {
  requests: number
  late: number
  readonly latency: Histogram
}

const EXPECTED_ANSWER_BYTES = 200
const TICK_MS = 10
const CALLER_TIMEOUT_MS = 15_000

/** An open loop of callers. */
export class Load {
  readonly #options: LoadOptions
  readonly #random: () => number
  readonly #agent = new Agent({ connections: 512, pipelining: 1, keepAliveTimeout: 4000 })
  readonly #keys = new Map<string, KeyBook>()
  readonly #classes = new Map<string, ClassBook>()
  readonly #answeredBySecond = new Map<string, number>()
  readonly #pending = new Set<Promise<void>>()
  readonly reasons = new Map<string, number>()
  #next = 0
  #sent = 0
  #foreign = 0
  #short = 0
  #startedAt = 0

  /** @param options - how callers behave */
  constructor (options: LoadOptions) {
    this.#options = options
    const generator = xoroshiro128plus(options.seed)
    this.#random = () => uniformFloat64(generator)
  }

  /**
   * Sends for a time, then waits for what is under way.
   *
   * @param seconds - how long requests are sent
   */
  async run (seconds: number): Promise<void> {
    this.#startedAt = Date.now()
    const credit = new Map<Stream, number>()
    let last = 0
    for (let now = 0; now < seconds; now = (Date.now() - this.#startedAt) / 1000) {
      for (const stream of this.#options.streams) {
        const due = (credit.get(stream) ?? this.#random()) + stream.rate(now) * (now - last)
        for (let i = 1; i <= due; i += 1) this.#start(stream)
        credit.set(stream, due - Math.floor(due))
      }
      last = now
      await sleep(TICK_MS)
    }
    await Promise.all(this.#pending)
    await this.#agent.close()
  }

  /** Requests of a service answered in one second of the run. */
  answeredIn (service: string, second: number): number {
    return this.#answeredBySecond.get(`${service}/${second}`) ?? 0
  }

  /** Returns the counts of the run, checked against the oracle. */
  measure (): Measurements {
    const books = [...this.#keys]
    const { oracle } = this.#options
    const last = (book: KeyBook): Outcome => book.outcomes.includes('answered') ? 'answered' : book.outcomes.at(-1) ?? 'unknown'
    const ended = books.map(([, book]) => last(book))
    const isOnce = ([, book]: readonly [string, KeyBook]): boolean => book.stream.method === 'POST'
    return {
      requests: this.#sent,
      answered: ended.filter((outcome) => outcome === 'answered').length,
      notRun: ended.filter((outcome) => outcome === 'notRun').length,
      unknown: ended.filter((outcome) => outcome === 'unknown').length,
      doubles: books.filter((each) => isOnce(each) && oracle.runsOf(each[0]) > 1).length,
      falseNotRun: books.filter(([key, book]) => book.outcomes.every((outcome) => outcome === 'notRun') && oracle.runsOf(key) > 0).length,
      foreign: this.#foreign,
      short: this.#short,
      cut: oracle.cut,
      lateAfterLeaving: oracle.lateAfterLeaving,
      latenessByClass: Object.fromEntries([...this.#classes].map(([name, book]) => [name, book.requests === 0 ? 0 : book.late / book.requests])),
      latencyMsByClass: Object.fromEntries([...this.#classes].map(([name, book]) => [name, { p50: book.latency.getValueAtPercentile(50) / 10, p99: book.latency.getValueAtPercentile(99) / 10 }]))
    }
  }

  #start (stream: Stream): void {
    const key = `k${this.#options.seed}-${this.#next++}`
    const book: KeyBook = { stream, outcomes: [] }
    this.#keys.set(key, book)
    const task = this.#send(key, book).finally(() => { this.#pending.delete(task) })
    this.#pending.add(task)
  }

  async #send (key: string, book: KeyBook): Promise<void> {
    const created = Date.now()
    for (let tries = 0; tries <= this.#options.resends; tries += 1) {
      const outcome = await this.#try(key, created, book.stream)
      book.outcomes.push(outcome)
      if (outcome === 'answered') return
      await sleep(100)
    }
  }

  async #try (key: string, created: number, stream: Stream): Promise<Outcome> {
    const entries = this.#options.entries()
    const entry = entries[Math.floor(this.#random() * entries.length)]
    this.#sent += 1
    if (entry === undefined) return 'notRun'
    const startedAt = performance.now()
    const outcome = await this.#request(entry, key, created, stream)
    this.#note(stream, performance.now() - startedAt, outcome)
    return outcome
  }

  async #request (entry: string, key: string, created: number, stream: Stream): Promise<Outcome> {
    try {
      const res = await request(`http://${entry}/v1/services/${stream.service}/requests/work`, {
        dispatcher: this.#agent,
        method: stream.method,
        headers: {
          'oleanderward-team': stream.team,
          'oleanderward-class': stream.class,
          'oleanderward-deadline-ms': String(stream.deadlineMs),
          'idempotency-key': key,
          'idempotency-key-created': String(created)
        },
        body: stream.method === 'POST' ? Buffer.alloc(this.#options.bodyBytes ?? 100, 'x') : null,
        signal: AbortSignal.timeout(CALLER_TIMEOUT_MS)
      })
      const body = await res.body.text()
      const outcome = String(res.headers['oleanderward-outcome'] ?? 'unknown') as Outcome
      if (outcome === 'answered' && res.statusCode === 200) this.#check(key, body)
      if (outcome !== 'answered') this.#noteReason(body)
      return outcome === 'answered' && res.statusCode >= 500 ? 'unknown' : outcome
    } catch (err) {
      this.#countReason(`caller: ${(err as { code?: string }).code ?? (err as Error).name}`)
      return isNeverSent(err) ? 'notRun' : 'unknown'
    }
  }

  #check (key: string, body: string): void {
    if (!body.startsWith(`${key} `)) this.#foreign += 1
    else if (body.length < EXPECTED_ANSWER_BYTES) this.#short += 1
  }

  #noteReason (body: string): void {
    try {
      const { outcome, reason } = JSON.parse(body) as { outcome: string, reason: string }
      this.#countReason(`${outcome}: ${reason}`)
    } catch {
      this.#countReason('unreadable')
    }
  }

  #countReason (reason: string): void {
    this.reasons.set(reason, (this.reasons.get(reason) ?? 0) + 1)
  }

  #note (stream: Stream, ms: number, outcome: Outcome): void {
    let book = this.#classes.get(stream.class)
    if (book === undefined) {
      book = { requests: 0, late: 0, latency: build({ numberOfSignificantValueDigits: 2 }) }
      this.#classes.set(stream.class, book)
    }
    book.requests += 1
    if (outcome !== 'answered') return
    // Tenths of a millisecond, since whole ones are too coarse for the baseline.
    book.latency.recordValue(Math.round(ms * 10))
    if (ms > stream.deadlineMs) book.late += 1
    const second = Math.floor((Date.now() - this.#startedAt) / 1000)
    const cell = `${stream.service}/${second}`
    this.#answeredBySecond.set(cell, (this.#answeredBySecond.get(cell) ?? 0) + 1)
  }
}

function isNeverSent (err: unknown): boolean {
  const { code } = err as { code?: string }
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT'
}
