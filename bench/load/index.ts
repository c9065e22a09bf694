/** Simulates callers that send requests at given rates, check every answer and record the outcomes of every key. */
import { setTimeout as sleep } from 'node:timers/promises'
import { build, type Histogram } from 'hdr-histogram-js'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { Agent, request } from 'undici'
import type { Outcome, WorkClass } from '../../src/contracts/types.js'
import type { Oracle } from '../../standins/oracle/index.js'
import type { Measurements } from '../report/index.js'

/** Requests of the same service, team, class and method. */
export interface RequestStream {
  readonly service: string
  readonly team: string
  readonly class: WorkClass
  readonly method: 'GET' | 'POST'
  readonly deadlineMs: number
  /** Returns the rate in requests a second at a moment, given in seconds since the load began. */
  readonly rate: (second: number) => number
}

/** Describes the load and how callers behave. */
export interface LoadOptions {
  readonly streams: readonly RequestStream[]
  readonly seed: number
  /** Returns the addresses that the platform's load balancer currently offers. */
  readonly entries: () => readonly string[]
  readonly oracle: Oracle
  /** How often a caller resends an unanswered request with the same key, through a random entry each time. */
  readonly maxResends: number
  readonly bodyBytes?: number
}

/** Outcomes of all attempts with one idempotency key. */
interface KeyRecord {
  readonly stream: RequestStream
  readonly outcomes: Outcome[]
}

/** Statistics of one work class. */
interface ClassStats {
  requests: number
  late: number
  readonly latency: Histogram
}

const MIN_ANSWER_BYTES = 200
const TICK_MS = 10
const CALLER_TIMEOUT_MS = 15_000

/** Generates open-loop load: requests are sent at the given rates, however many are still waiting for an answer. */
export class LoadGenerator {
  readonly #options: LoadOptions
  readonly #random: () => number
  readonly #agent = new Agent({ connections: 512, pipelining: 1, keepAliveTimeout: 4000 })
  readonly #recordsByKey = new Map<string, KeyRecord>()
  readonly #statsByClass = new Map<string, ClassStats>()
  readonly #answeredBySecond = new Map<string, number>()
  readonly #pending = new Set<Promise<void>>()
  /** Number of unanswered requests by outcome and reason. */
  readonly failureReasons = new Map<string, number>()
  #nextKeyNumber = 0
  #sent = 0
  #foreign = 0
  #short = 0
  #startedAt = 0

  /** @param options - load to generate and behaviour of the callers */
  constructor (options: LoadOptions) {
    this.#options = options
    const generator = xoroshiro128plus(options.seed)
    this.#random = () => uniformFloat64(generator)
  }

  /**
   * Sends requests for a time, then waits for the pending ones.
   *
   * @param seconds - how long requests are sent, in seconds
   */
  async run (seconds: number): Promise<void> {
    this.#startedAt = Date.now()
    const dueByStream = new Map<RequestStream, number>()
    let previous = 0
    for (let now = 0; now < seconds; now = (Date.now() - this.#startedAt) / 1000) {
      for (const stream of this.#options.streams) {
        const due = (dueByStream.get(stream) ?? this.#random()) + stream.rate(now) * (now - previous)
        for (let i = 1; i <= due; i += 1) this.#startRequest(stream)
        dueByStream.set(stream, due - Math.floor(due))
      }
      previous = now
      await sleep(TICK_MS)
    }
    await Promise.all(this.#pending)
    await this.#agent.close()
  }

  /**
   * Returns how many requests of a service were answered in one second of the load.
   *
   * @param service - name of the service
   * @param second - whole seconds since the load began
   */
  countAnswered (service: string, second: number): number {
    return this.#answeredBySecond.get(`${service}/${second}`) ?? 0
  }

  /** Returns the counts and latencies of all requests, with violations found by comparison with the oracle's records. */
  measure (): Measurements {
    const records = [...this.#recordsByKey]
    const { oracle } = this.#options
    const finalOutcomeOf = (record: KeyRecord): Outcome => record.outcomes.includes('answered') ? 'answered' : record.outcomes.at(-1) ?? 'unknown'
    const finalOutcomes = records.map(([, record]) => finalOutcomeOf(record))
    const isNonRepeatable = ([, record]: readonly [string, KeyRecord]): boolean => record.stream.method === 'POST'
    return {
      requests: this.#sent,
      answered: finalOutcomes.filter((outcome) => outcome === 'answered').length,
      notRun: finalOutcomes.filter((outcome) => outcome === 'notRun').length,
      unknown: finalOutcomes.filter((outcome) => outcome === 'unknown').length,
      doubles: records.filter((each) => isNonRepeatable(each) && oracle.countRuns(each[0]) > 1).length,
      falseNotRun: records.filter(([key, record]) => record.outcomes.every((outcome) => outcome === 'notRun') && oracle.countRuns(key) > 0).length,
      foreign: this.#foreign,
      short: this.#short,
      cut: oracle.cut,
      lateAfterLeaving: oracle.lateAfterLeaving,
      latenessByClass: Object.fromEntries([...this.#statsByClass].map(([name, stats]) => [name, stats.requests === 0 ? 0 : stats.late / stats.requests])),
      latencyMsByClass: Object.fromEntries([...this.#statsByClass].map(([name, stats]) => [name, { p50: stats.latency.getValueAtPercentile(50) / 10, p99: stats.latency.getValueAtPercentile(99) / 10 }]))
    }
  }

  #startRequest (stream: RequestStream): void {
    const key = `k${this.#options.seed}-${this.#nextKeyNumber++}`
    const record: KeyRecord = { stream, outcomes: [] }
    this.#recordsByKey.set(key, record)
    const sending = this.#sendWithResends(key, record).finally(() => { this.#pending.delete(sending) })
    this.#pending.add(sending)
  }

  async #sendWithResends (key: string, record: KeyRecord): Promise<void> {
    const created = Date.now()
    for (let attempt = 0; attempt <= this.#options.maxResends; attempt += 1) {
      const outcome = await this.#sendOnce(key, created, record.stream)
      record.outcomes.push(outcome)
      if (outcome === 'answered') return
      await sleep(100)
    }
  }

  async #sendOnce (key: string, created: number, stream: RequestStream): Promise<Outcome> {
    const entries = this.#options.entries()
    const entry = entries[Math.floor(this.#random() * entries.length)]
    this.#sent += 1
    if (entry === undefined) return 'notRun'
    const startedAt = performance.now()
    const outcome = await this.#request(entry, key, created, stream)
    this.#recordAnswer(stream, performance.now() - startedAt, outcome)
    return outcome
  }

  async #request (entry: string, key: string, created: number, stream: RequestStream): Promise<Outcome> {
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
      if (outcome === 'answered' && res.statusCode === 200) this.#checkAnswerBody(key, body)
      if (outcome !== 'answered') this.#recordFailureReason(body)
      return outcome === 'answered' && res.statusCode >= 500 ? 'unknown' : outcome
    } catch (err) {
      this.#incrementReason(`caller: ${(err as { code?: string }).code ?? (err as Error).name}`)
      return hasNeverConnected(err) ? 'notRun' : 'unknown'
    }
  }

  #checkAnswerBody (key: string, body: string): void {
    if (!body.startsWith(`${key} `)) this.#foreign += 1
    else if (body.length < MIN_ANSWER_BYTES) this.#short += 1
  }

  #recordFailureReason (body: string): void {
    try {
      const { outcome, reason } = JSON.parse(body) as { outcome: string, reason: string }
      this.#incrementReason(`${outcome}: ${reason}`)
    } catch {
      this.#incrementReason('unreadable')
    }
  }

  #incrementReason (reason: string): void {
    this.failureReasons.set(reason, (this.failureReasons.get(reason) ?? 0) + 1)
  }

  #recordAnswer (stream: RequestStream, ms: number, outcome: Outcome): void {
    let stats = this.#statsByClass.get(stream.class)
    if (stats === undefined) {
      stats = { requests: 0, late: 0, latency: build({ numberOfSignificantValueDigits: 2 }) }
      this.#statsByClass.set(stream.class, stats)
    }
    stats.requests += 1
    if (outcome !== 'answered') return
    // Recorded in tenths of a millisecond, since whole milliseconds are too coarse for the baseline scenario.
    stats.latency.recordValue(Math.round(ms * 10))
    if (ms > stream.deadlineMs) stats.late += 1
    const second = Math.floor((Date.now() - this.#startedAt) / 1000)
    const bucket = `${stream.service}/${second}`
    this.#answeredBySecond.set(bucket, (this.#answeredBySecond.get(bucket) ?? 0) + 1)
  }
}

function hasNeverConnected (err: unknown): boolean {
  const { code } = err as { code?: string }
  return code === 'ECONNREFUSED' || code === 'UND_ERR_CONNECT_TIMEOUT'
}
