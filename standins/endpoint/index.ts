/** Stand-in for an endpoint: serves requests, announces itself to entries and runs tasks, as docs/INTERFACES.md describes. */
import { randomUUID } from 'node:crypto'
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http'
import type { AddressInfo } from 'node:net'
import { setTimeout as sleep } from 'node:timers/promises'
import { Agent, request } from 'undici'
import { ATTEMPT_HEADER, KEY_HEADER, REFUSED_HEADER } from '../../src/contracts/headers/index.js'
import type { AnnouncementAnswer } from '../../src/endpoints/announce/index.js'
import type { Oracle } from '../oracle/index.js'
import { TaskRunner } from '../tasks/index.js'

/**
 * How an endpoint misbehaves: `failsAll` answers requests with status 500 and fails all tasks, `crossesAnswers` echoes a wrong
 * attempt id, `truncates` closes the connection in the middle of an answer, `silent` never answers, `resets` resets the
 * connection, `oversized` answers with 6 MiB, `late` takes 50 times as long.
 */
export type EndpointFault = 'none' | 'failsAll' | 'crossesAnswers' | 'truncates' | 'silent' | 'resets' | 'oversized' | 'late'

/** Options of a stand-in endpoint. */
export interface EndpointOptions {
  readonly vm: string
  readonly services: readonly string[]
  readonly slots: number
  readonly connections: number
  /** Returns the time that a request takes, in milliseconds. */
  readonly serviceMs: (req: IncomingMessage) => number
  /** Returns the addresses of the entries, as the platform's load balancer would offer them. */
  readonly entries: () => readonly string[]
  /** Records what runs on the endpoint. */
  readonly oracle: Oracle
  /** Called with the endpoint's own address; returns the address to announce, for instance that of a proxy. */
  readonly publish?: (address: string) => Promise<string>
}

const ANNOUNCE_AGENT = new Agent({ connections: 2, keepAliveTimeout: 10_000 })

/** Endpoint of one VM, which keeps its identity over any number of boots. */
export class StandInEndpoint {
  fault: EndpointFault = 'none'
  /** Whether announcements are held back, so that no entry receives any. */
  isCutOff = false
  readonly #options: EndpointOptions
  #server: Server | null = null
  #boot = ''
  #bootedAt = 0
  #revision = 0
  #address = ''
  #state: 'ready' | 'leaving' | 'drained' = 'ready'
  #drainStartedAt: number | null = null
  #inFlight = 0
  #tasks: TaskRunner
  #stopController = new AbortController()
  #heldAnswers: Array<(attempt: string) => void> = []

  /** @param options - identity and behaviour of the endpoint */
  constructor (options: EndpointOptions) {
    this.#options = options
    this.#tasks = this.#createTasks()
  }

  get vm (): string {
    return this.#options.vm
  }

  /** Address that the endpoint announces. */
  get address (): string {
    return this.#address
  }

  get isRunning (): boolean {
    return this.#server !== null
  }

  /** Number of requests that are being served. */
  get inFlight (): number {
    return this.#inFlight
  }

  /** Boots the endpoint with a new boot id and a new address. */
  async start (): Promise<void> {
    const server = createServer((req, res) => { void this.#handleRequest(req, res) })
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    this.#server = server
    const localAddress = `127.0.0.1:${(server.address() as AddressInfo).port}`
    this.#address = await this.#options.publish?.(localAddress) ?? localAddress
    this.#boot = randomUUID()
    this.#bootedAt = Date.now()
    this.#revision = 0
    this.#state = 'ready'
    this.#drainStartedAt = null
    this.#inFlight = 0
    this.#tasks = this.#createTasks()
    this.#stopController = new AbortController()
    void this.#runAnnounceLoop(this.#stopController.signal)
  }

  /**
   * Stops the endpoint at once, without a drain.
   *
   * @param isPlanned - whether the stop is planned, so that the oracle counts requests in flight as cut
   */
  stop (isPlanned: boolean): void {
    if (isPlanned) this.#options.oracle.cut += this.#inFlight
    this.#stopController.abort()
    this.#tasks.stopAll()
    this.#server?.close()
    this.#server?.closeAllConnections()
    this.#server = null
  }

  async #handleRequest (req: IncomingMessage, res: ServerResponse): Promise<void> {
    const attempt = String(req.headers[ATTEMPT_HEADER] ?? '')
    const chunks: Buffer[] = []
    for await (const chunk of req) chunks.push(chunk as Buffer)
    if (this.#server === null) return
    if (this.#drainStartedAt !== null && Date.now() - this.#drainStartedAt > 3000) this.#options.oracle.lateAfterLeaving += 1
    if (this.#state !== 'ready') return this.#refuse(res, attempt, 'leaving')
    if (this.#inFlight >= this.#options.slots) return this.#refuse(res, attempt, 'full')
    await this.#runRequest(req, res, attempt, Buffer.concat(chunks))
  }

  async #runRequest (req: IncomingMessage, res: ServerResponse, attempt: string, body: Buffer): Promise<void> {
    const key = String(req.headers[KEY_HEADER] ?? '')
    const boot = this.#boot
    this.#inFlight += 1
    this.#options.oracle.recordRun(key, this.vm)
    await sleep(this.#options.serviceMs(req) * (this.fault === 'late' ? 50 : 1))
    if (this.#boot === boot) this.#inFlight -= 1
    if (this.fault === 'silent') return
    if (this.fault === 'resets') {
      res.socket?.resetAndDestroy()
      return
    }
    const text = `${key} ${req.method ?? ''} ${req.url ?? ''} ${body.length} `
    const answer = Buffer.from(this.fault === 'oversized' ? text.padEnd(6 * 1024 * 1024, '#') : text.padEnd(200, '.'))
    this.#sendAnswer(res, attempt, answer)
  }

  #sendAnswer (res: ServerResponse, attempt: string, answer: Buffer): void {
    if (this.fault === 'crossesAnswers') {
      this.#answerCrossed(res, answer)
      this.#heldAnswers.push((wrongAttempt) => { this.#writeAnswer(res, wrongAttempt, answer) })
      return
    }
    if (this.fault === 'truncates') {
      res.writeHead(200, { [ATTEMPT_HEADER]: attempt, 'content-length': answer.length })
      res.write(answer.subarray(0, answer.length / 2), () => { res.socket?.destroy() })
      return
    }
    this.#writeAnswer(res, attempt, answer, this.fault === 'failsAll' ? 500 : 200)
  }

  /**
   * Answers a request and an earlier one that is still held, both with an attempt id that belongs to neither, as a middlebox
   * that mixes up connections would. Does nothing if no answer is held.
   */
  #answerCrossed (res: ServerResponse, answer: Buffer): void {
    const sendEarlierAnswer = this.#heldAnswers.shift()
    if (sendEarlierAnswer === undefined) return
    const wrongAttempt = randomUUID()
    sendEarlierAnswer(wrongAttempt)
    this.#writeAnswer(res, wrongAttempt, answer)
  }

  #writeAnswer (res: ServerResponse, attempt: string, answer: Buffer, status = 200): void {
    if (res.headersSent) return
    res.writeHead(status, { [ATTEMPT_HEADER]: attempt, 'content-length': answer.length, 'content-type': 'text/plain' })
    res.end(answer)
  }

  #refuse (res: ServerResponse, attempt: string, reason: string): void {
    res.writeHead(503, { [ATTEMPT_HEADER]: attempt, [REFUSED_HEADER]: reason, 'content-length': 0 })
    res.end()
  }

  async #runAnnounceLoop (signal: AbortSignal): Promise<void> {
    let entryIndex = Math.floor(Math.random() * 100)
    while (!signal.aborted) {
      const entries = this.#options.entries()
      const entry = entries[entryIndex % Math.max(1, entries.length)]
      entryIndex += 1
      const waitMs = entry === undefined || this.isCutOff ? 200 : await this.#announce(entry, signal)
      await sleep(waitMs, undefined, { signal }).catch(() => {})
    }
  }

  /** Sends one announcement and returns the pause before the next one, in milliseconds. */
  async #announce (entry: string, signal: AbortSignal): Promise<number> {
    const sentAt = Date.now()
    this.#updateState()
    try {
      const res = await request(`http://${entry}/v1/announce`, {
        dispatcher: ANNOUNCE_AGENT,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify(this.#createAnnouncement()),
        signal: AbortSignal.any([signal, AbortSignal.timeout(1000)])
      })
      const answer = await res.body.json() as AnnouncementAnswer
      if (res.statusCode !== 200 || signal.aborted) return 100
      this.#applyAnswer(answer, sentAt)
      return this.#hasUrgentUpdate() ? 20 : answer.announceAfterMs
    } catch {
      return 50
    }
  }

  #createAnnouncement (): object {
    const { vm, services, slots, connections } = this.#options
    return { vm, boot: this.#boot, bootedAt: this.#bootedAt, revision: this.#revision, address: this.#address, services, slots, connections, state: this.#state, inFlight: this.#inFlight, tasks: this.#tasks.reports() }
  }

  #applyAnswer (answer: AnnouncementAnswer, sentAt: number): void {
    if (answer.drain) this.#drainStartedAt ??= Date.now()
    else if (answer.known) this.#drainStartedAt = null
    this.#updateState()
    this.#tasks.acknowledge(answer.acknowledged)
    if (answer.tasks !== null) this.#tasks.applyOrders(answer.tasks, sentAt + answer.taskLeaseMs)
  }

  #updateState (): void {
    const state = this.#drainStartedAt === null ? 'ready' : this.#inFlight === 0 ? 'drained' : 'leaving'
    if (state === this.#state) return
    this.#state = state
    this.#revision += 1
  }

  /** Whether the entries should learn of a drain or an ended task without waiting for the usual interval. */
  #hasUrgentUpdate (): boolean {
    return this.#state === 'leaving' || this.#tasks.reports().some((report) => report.state !== 'running')
  }

  #createTasks (): TaskRunner {
    return new TaskRunner(this.#options.vm, this.#options.oracle, () => this.fault === 'failsAll')
  }
}
