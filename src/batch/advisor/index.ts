/** Requests decisions of the advisor on which workers may run a step, one call at a time, and caches its tickets. */
import type { Clock, Millis } from '../../clock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'

/** Decision of the advisor for one step. */
export interface Advice {
  /** Tickets by id of the workers that may run the step. */
  readonly tickets: ReadonlyMap<string, string>
  readonly validityMs: Millis
}

/** Calls to the advisor. They reject when it does not answer. */
export interface AdvisorCalls {
  advise (step: string, workerIds: readonly string[], timeoutMs: Millis): Promise<Advice>
}

const MAX_WORKERS_PER_CALL = 100

/** Added to the announced decision time for the timeout of a call. */
const CALL_MARGIN_MS: Millis = 1500

/** Cached tickets are used for this share of their validity and then renewed. */
const USABLE_VALIDITY_SHARE = 0.7

const RETRY_DELAY_MS: Millis = 200

interface CachedAdvice extends Advice {
  readonly receivedAt: Millis
  /** Ids of the workers in the request. */
  readonly asked: ReadonlySet<string>
}

/** Request for a decision on one step. */
export interface AdviceRequest {
  readonly stepKey: string
  readonly workerIds: readonly string[]
  readonly decisionMs: Millis
  readonly perWorkerMs: Millis
}

/** Requests and caches the decisions of the advisor during one term. */
export class Advisor {
  readonly #calls: AdvisorCalls
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #onAdvice: () => void
  readonly #cachedAdvice = new Map<string, CachedAdvice>()
  readonly #pendingRequests = new Map<string, AdviceRequest>()
  #isSending = false

  /**
   * @param calls - calls to the advisor
   * @param clock - source of time
   * @param log - receives answers and failures
   * @param onAdvice - called after each decision
   */
  constructor (calls: AdvisorCalls, clock: Clock, log: EventLog, onAdvice: () => void) {
    this.#calls = calls
    this.#clock = clock
    this.#log = log
    this.#onAdvice = onAdvice
  }

  /**
   * Returns the cached tickets for a step. Requests new ones when these are missing or need renewal, and when the advisor
   * has allowed no worker and there are workers that it wasn't asked about.
   *
   * @param request - step, workers and timing of the advisor
   * @returns tickets by worker id, or undefined while no usable ones are cached
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
   * Returns a cached ticket.
   *
   * @param stepKey - key of the step
   * @param workerId - id of the worker
   * @returns the ticket, or null when there is none
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
