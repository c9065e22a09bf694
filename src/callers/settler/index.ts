/** Commits the outcomes of claimed requests in batches, and retries until the control group has recorded them. */
import type { Clock } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import { MAX_STORED_ANSWER_BYTES } from '../../contracts/constants.js'
import type { ControlClient } from '../../links/controlClient/index.js'
import type { Settlement } from '../../state/commands.js'
import type { StoredAnswer } from '../../state/types.js'
import { omitHopByHopHeaders, type RequestResult } from '../outcomes/index.js'

const MAX_BATCH_SIZE = 100
const CALL_LIMITS = { attemptMs: 1500, totalMs: 3000 }

/** Queue of settlements that the control group has not yet recorded. */
export class Settler {
  readonly #control: ControlClient
  readonly #settlementAdded: Notifier
  #pending: Settlement[] = []

  /**
   * @param control - client of the control group
   * @param clock - source of time
   */
  constructor (control: ControlClient, clock: Clock) {
    this.#control = control
    this.#settlementAdded = new Notifier(clock)
  }

  /** Number of settlements that are not yet recorded. */
  get pending (): number {
    return this.#pending.length
  }

  /**
   * Queues the outcome of a claimed request.
   *
   * @param claim - service, key and id of the claimed request
   * @param result - result of the request
   */
  settle (claim: Pick<Settlement, 'service' | 'key' | 'request'>, result: RequestResult): void {
    const { service, key, request } = claim
    this.#pending.push({ service, key, request, outcome: result.outcome, answer: toStoredAnswer(result) })
    this.#settlementAdded.notify()
  }

  /**
   * Sends settlements until aborted.
   *
   * @param signal - stops the loop
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#pending.length === 0) await this.#settlementAdded.waitBeyond(this.#settlementAdded.count, 1000, signal)
      else await this.#sendBatch()
    }
  }

  /** Sends the remaining settlements before a planned stop, with a limited number of attempts. */
  async flush (): Promise<void> {
    for (let attempt = 0; attempt < 3 && this.#pending.length > 0; attempt += 1) await this.#sendBatch()
  }

  async #sendBatch (): Promise<void> {
    const settlements = this.#pending.slice(0, MAX_BATCH_SIZE)
    const res = await this.#control.call((calls, signal) => calls.settle.mutate({ settlements }, { signal }), CALL_LIMITS)
    if (res.isOk()) this.#pending = this.#pending.slice(settlements.length)
  }
}

/**
 * Converts a result to the answer stored for resends; null when there is none or when it is streamed or too large to
 * store.
 */
function toStoredAnswer (result: RequestResult): StoredAnswer | null {
  if (result.outcome !== 'answered' || !Buffer.isBuffer(result.body) || result.body.length > MAX_STORED_ANSWER_BYTES) return null
  const headers = Object.entries(omitHopByHopHeaders(result.headers)).map(([name, value]) => [name, String(value)] as const)
  return { status: result.status, headers: Object.fromEntries(headers), body: result.body.toString('base64') }
}
