/** Requests decisions of the advisor on which workers may run a step, one call at a time, and caches its tickets. */
import type { Clock, Millis } from '../../clock/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import { selectUnadvised, type AdvisedWorker, type Verdict } from '../selectUnadvised/index.js'

/** Decision of the advisor on the workers of one call, for one step. */
export interface Advice {
  /** Tickets by id of the workers that may run the step. */
  readonly tickets: ReadonlyMap<string, string>
  readonly validityMs: Millis
}

/** Calls to the advisor. They reject when it does not answer. */
export interface AdvisorCalls {
  advise (step: string, workerIds: readonly string[], timeoutMs: Millis): Promise<Advice>
}

/** Added to the announced decision time for the timeout of a call. */
const CALL_MARGIN_MS: Millis = 1500

/** Cached tickets are used for this share of their validity and then renewed. */
const USABLE_VALIDITY_SHARE = 0.7

/** A step for which some worker is allowed, and that still waits after this time, asks for more; longer than a scheduling cycle. */
const WIDEN_AFTER_MS: Millis = 150

const RETRY_DELAY_MS: Millis = 200

/** Decisions on steps that were not requested for this long are dropped. */
const KEEP_UNREQUESTED_MS: Millis = 60_000

/** Request for decisions on one step. */
export interface AdviceRequest {
  readonly stepKey: string
  /** The workers that the step may start on if the advisor allows them. */
  readonly workers: readonly AdvisedWorker[]
  readonly decisionMs: Millis
  readonly perWorkerMs: Millis
}

/** What is known about one step. */
interface StepAdvice {
  /** By key of the worker's incarnation. */
  readonly verdicts: Map<string, Verdict>
  requestedAt: Millis
  /** Since when a request has found a usable ticket; null while none has. */
  usableSince: Millis | null
}

/** Requests and caches the decisions of the advisor during one term. */
export class Advisor {
  readonly #calls: AdvisorCalls
  readonly #clock: Clock
  readonly #log: EventLog
  readonly #onAdvice: () => void
  /** By key of the step, those requested last at the end. */
  readonly #steps = new Map<string, StepAdvice>()
  /** In the order in which they wait; each is sent with as many workers as one call may name, and then waits again behind the others. */
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
   * Returns the usable tickets for a step. Requests decisions on the workers that it was not asked about yet and on those whose tickets need
   * renewal; while a worker is allowed, only once the step has waited for some time.
   *
   * @param request - step, workers and timing of the advisor
   * @returns tickets by key of the worker's incarnation, or undefined while no valid decision on any of the workers is cached
   */
  getTickets (request: AdviceRequest): ReadonlyMap<string, string> | undefined {
    const now = this.#clock.now()
    const step = this.#touch(request.stepKey, now)
    const tickets = new Map<string, string>()
    let hasDecision = false
    for (const { key } of request.workers) {
      const verdict = step.verdicts.get(key)
      if (verdict === undefined || now >= verdict.usableUntil) continue
      hasDecision = true
      if (verdict.ticket !== null) tickets.set(key, verdict.ticket)
    }
    step.usableSince = tickets.size === 0 ? null : step.usableSince ?? now
    if (listAsked(request, step, now).length > 0) {
      this.#pendingRequests.set(request.stepKey, request)
      void this.#sendPendingRequests()
    }
    return hasDecision ? tickets : undefined
  }

  /**
   * Returns a cached ticket.
   *
   * @param stepKey - key of the step
   * @param worker - key of the worker's incarnation
   * @returns the ticket, or null when there is none
   */
  getTicket (stepKey: string, worker: string): string | null {
    return this.#steps.get(stepKey)?.verdicts.get(worker)?.ticket ?? null
  }

  #touch (stepKey: string, now: Millis): StepAdvice {
    const step = this.#steps.get(stepKey) ?? { verdicts: new Map(), requestedAt: now, usableSince: null }
    step.requestedAt = now
    this.#steps.delete(stepKey)
    this.#steps.set(stepKey, step)
    return step
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

  async #sendRequest (request: AdviceRequest): Promise<void> {
    const { stepKey, workers, decisionMs, perWorkerMs } = request
    const step = this.#steps.get(stepKey)
    const asked = step === undefined ? [] : listAsked(request, step, this.#clock.now())
    if (step === undefined || asked.length === 0) return
    try {
      const { tickets, validityMs } = await this.#calls.advise(stepKey, asked.map(({ id }) => id), decisionMs + perWorkerMs * asked.length + CALL_MARGIN_MS)
      const now = this.#clock.now()
      for (const { key, id } of asked) step.verdicts.set(key, { ticket: tickets.get(id) ?? null, usableUntil: now + validityMs * USABLE_VALIDITY_SHARE })
      if (tickets.size > 0) step.usableSince ??= now
      this.#dropUnrequested(now)
      this.#log.info('advice.received', { step: stepKey, workers: workers.length, asked: asked.length, allowed: tickets.size, decided: step.verdicts.size })
      this.#onAdvice()
    } catch (err) {
      this.#log.warn('advice.failed', { step: stepKey, asked: asked.length, reason: (err as Error).message })
      await this.#clock.sleep(RETRY_DELAY_MS)
    }
  }

  #dropUnrequested (now: Millis): void {
    for (const [stepKey, { requestedAt }] of this.#steps) {
      if (now - requestedAt < KEEP_UNREQUESTED_MS) return
      this.#steps.delete(stepKey)
    }
  }
}

/** Lists the workers to ask about for a step now: none while it may just be starting on allowed ones. */
function listAsked ({ workers }: AdviceRequest, { verdicts, usableSince }: StepAdvice, now: Millis): AdvisedWorker[] {
  const mayAsk = usableSince === null || now - usableSince >= WIDEN_AFTER_MS
  return mayAsk ? selectUnadvised(workers, verdicts, now) : []
}
