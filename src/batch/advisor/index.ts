/** Asks the advisor of a queue which workers may run a step, one call at a time, and keeps its tickets. */
import type { Clock, Millis } from '../../clock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'

/** Workers that may run a step, with their tickets. */
export interface Advice {
  readonly tickets: ReadonlyMap<string, string>
  readonly validityMs: Millis
}

/** The advisor. Rejects when it gives no answer. */
export interface AdvisorCalls {
  advise (step: string, workerIds: readonly string[], timeoutMs: Millis): Promise<Advice>
}

/** Most workers named in one call. */
const MAX_WORKERS_PER_CALL = 100

/** Time beyond the announced decision time, in milliseconds. */
const CALL_MARGIN_MS: Millis = 1500

/** Tickets are used only while this share of their time is left. */
const USABLE_VALIDITY_SHARE = 0.7

const RETRY_DELAY_MS: Millis = 200

interface CachedAdvice extends Advice {
  readonly receivedAt: Millis
  readonly asked: ReadonlySet<string>
}

/** Where advice is wanted. */
export interface AdviceRequest {
  readonly stepKey: string
  readonly workerIds: readonly string[]
  readonly decisionMs: Millis
  readonly perWorkerMs: Millis
}

/** Keeps the advice of one term. */
export class Advisor {
  readonly #calls: AdvisorCalls
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #onAdvice: () => void
  readonly #cachedAdvice = new Map<string, CachedAdvice>()
  readonly #pendingRequests = new Map<string, AdviceRequest>()
  #isSending = false

  /**
   * @param calls - the advisor
   * @param clock - source of time
   * @param log - told of answers and failures
   * @param onAdvice - called when there is new advice
   */
  constructor (calls: AdvisorCalls, clock: Clock, log: EventLog, onAdvice: () => void) {
    this.#calls = calls
    this.#clock = clock
    this.#log = log
    this.#onAdvice = onAdvice
  }

  /**
   * Returns the tickets for a step, or asks for them.
   *
   * @param request - step and workers
   * @returns tickets by worker id, or undefined while they are asked for
   */
  getTickets (request: AdviceRequest): ReadonlyMap<string, string> | undefined {
    const cached = this.#cachedAdvice.get(request.stepKey)
    const isFresh = cached !== undefined && this.#clock.now() - cached.receivedAt < cached.validityMs * USABLE_VALIDITY_SHARE
    const hasNewWorkers = cached !== undefined && request.workerIds.some((id) => !cached.asked.has(id))
    if (!isFresh || (hasNewWorkers && cached.tickets.size === 0)) {
      this.#pendingRequests.set(request.stepKey, request)
      void this.#sendPendingRequests()
    }
    return isFresh ? cached.tickets : undefined
  }

  /**
   * Returns a ticket that was received before.
   *
   * @param stepKey - the step
   * @param workerId - the worker
   */
  getTicket (stepKey: string, workerId: string): string | null {
    return this.#cachedAdvice.get(stepKey)?.tickets.get(workerId) ?? null
  }

  async #sendPendingRequests (): Promise<void> {
    if (this.#isSending) return
    this.#isSending = true
    try {
      for (const [stepKey, request] of this.#pendingRequests) {
        this.#pendingRequests.delete(stepKey)
        await this.#sendRequest(request)
      }
    } finally {
      this.#isSending = false
    }
  }

  async #sendRequest ({ stepKey, workerIds, decisionMs, perWorkerMs }: AdviceRequest): Promise<void> {
    const asked = workerIds.slice(0, MAX_WORKERS_PER_CALL)
    try {
      const advice = await this.#calls.advise(stepKey, asked, decisionMs + perWorkerMs * asked.length + CALL_MARGIN_MS)
      this.#cachedAdvice.set(stepKey, { ...advice, receivedAt: this.#clock.now(), asked: new Set(asked) })
      this.#log.info('advice.received', { step: stepKey, asked: asked.length, allowed: advice.tickets.size })
      this.#onAdvice()
    } catch (err) {
      this.#log.warn('advice.failed', { step: stepKey, reason: (err as Error).message })
      await this.#clock.sleep(RETRY_DELAY_MS)
    }
  }
}
