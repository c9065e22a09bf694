/** Commits how claimed requests ended, in batches, until control has taken them. */
import type { Clock } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import { MAX_STORED_ANSWER_BYTES } from '../../contracts/constants.js'
import type { ControlClient } from '../../links/controlClient/index.js'
import type { Settlement } from '../../state/commands.js'
import type { StoredAnswer } from '../../state/types.js'
import { passOnHeaders, type RequestResult } from '../outcomes/index.js'

const MAX_BATCH = 100
const LIMITS = { tryMs: 1500, totalMs: 3000 }

/** Settlements on their way to control. */
export class Settler {
  readonly #control: ControlClient
  readonly #news: Notifier
  #pending: Settlement[] = []

  /**
   * @param control - where settlements go
   * @param clock - source of time
   */
  constructor (control: ControlClient, clock: Clock) {
    this.#control = control
    this.#news = new Notifier(clock)
  }

  get pending (): number {
    return this.#pending.length
  }

  /**
   * Queues the end of a claimed request.
   *
   * @param claim - the claim
   * @param result - how the request ended
   */
  settle (claim: Pick<Settlement, 'service' | 'key' | 'request'>, result: RequestResult): void {
    const { service, key, request } = claim
    this.#pending.push({ service, key, request, outcome: result.outcome, answer: toStored(result) })
    this.#news.notify()
  }

  /**
   * Sends settlements until aborted.
   *
   * @param signal - ends the loop
   */
  async run (signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      if (this.#pending.length === 0) await this.#news.waitBeyond(this.#news.count, 1000, signal)
      else await this.#sendBatch()
    }
  }

  /** Sends what is left, for a planned stop. */
  async flush (): Promise<void> {
    for (let tries = 0; tries < 3 && this.#pending.length > 0; tries += 1) await this.#sendBatch()
  }

  async #sendBatch (): Promise<void> {
    const settlements = this.#pending.slice(0, MAX_BATCH)
    const sent = await this.#control.call((calls, signal) => calls.settle.mutate({ settlements }, { signal }), LIMITS)
    if (sent.isOk()) this.#pending = this.#pending.slice(settlements.length)
  }
}

function toStored (result: RequestResult): StoredAnswer | null {
  if (result.outcome !== 'answered' || !Buffer.isBuffer(result.body) || result.body.length > MAX_STORED_ANSWER_BYTES) return null
  const headers = Object.entries(passOnHeaders(result.headers)).map(([name, value]) => [name, String(value)] as const)
  return { status: result.status, headers: Object.fromEntries(headers), body: result.body.toString('base64') }
}
