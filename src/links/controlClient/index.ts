/** Client of the control group that finds the leader and follows its changes. */
import { err, ok, type Result } from 'neverthrow'
import type { Clock, Millis } from '../../clock/index.js'
import { TrpcLink, type ControlCalls, type LinkTraffic } from '../trpcLink/index.js'
import type { Reply } from '../replies.js'

const RETRY_PAUSE_MS = 100

/** Redirects that are followed without a pause; more of them may lead in a circle. */
const MAX_CONSECUTIVE_REDIRECTS = 3

/** Why a call to control has failed permanently. */
export type ControlError =
  | { readonly kind: 'unreachable', readonly message: string }
  | { readonly kind: 'refused', readonly message: string }

/** Timeouts of a call. */
export interface CallLimits {
  /** Time for one attempt. */
  readonly attemptMs: Millis
  /** Time for all attempts together. */
  readonly totalMs: Millis
}

/** Calls the current leader. A call may arrive more than once, so it must be idempotent. */
export class ControlClient {
  readonly #links: TrpcLink[]
  readonly #token: string | undefined
  readonly #clock: Clock
  readonly #traffic: LinkTraffic
  #currentIndex = 0

  /**
   * @param addresses - addresses of control processes from the settings
   * @param token - token sent with each call, if any
   * @param clock - source of time
   * @param traffic - receives the numbers of bytes sent and received
   */
  constructor (addresses: readonly string[], token: string | undefined, clock: Clock, traffic: LinkTraffic = { sentBytes: 0, receivedBytes: 0 }) {
    this.#token = token
    this.#clock = clock
    this.#traffic = traffic
    this.#links = addresses.map((address) => new TrpcLink(address, token, traffic))
  }

  /**
   * Calls the leader, trying other processes until the total timeout ends.
   *
   * @param makeCall - makes the call with the given client and abort signal
   * @param limits - timeouts of one attempt and of all attempts
   * @returns the value, or the reason why there is none
   */
  async call<T> (makeCall: (calls: ControlCalls, signal: AbortSignal) => Promise<Reply<T>>, limits: CallLimits): Promise<Result<T, ControlError>> {
    const deadline = this.#clock.now() + limits.totalMs
    let message = 'no control process is known'
    let redirects = 0
    do {
      const link = this.#links[this.#currentIndex % this.#links.length]
      if (link === undefined) break
      try {
        const reply = await link.call(makeCall, Math.max(1, Math.min(limits.attemptMs, deadline - this.#clock.now())))
        if (reply.ok) return ok(reply.value)
        if (reply.error.kind === 'refused') return err({ kind: 'refused', message: reply.error.message })
        message = reply.error.message
        this.#followRedirect(reply.error.leader)
        if (reply.error.leader !== null && redirects++ < MAX_CONSECUTIVE_REDIRECTS) continue
      } catch (error) {
        message = `${link.address}: ${(error as Error).message}`
        this.#currentIndex += 1
      }
      if (this.#clock.now() < deadline) await this.#clock.sleep(Math.min(RETRY_PAUSE_MS, deadline - this.#clock.now()))
    } while (this.#clock.now() < deadline)
    return err({ kind: 'unreachable', message })
  }

  /** Closes all connections. */
  close (): void {
    for (const link of this.#links) link.close()
  }

  /** Selects the leader for the next attempt, or the next process when no leader is known. */
  #followRedirect (leader: string | null): void {
    const knownIndex = this.#links.findIndex((link) => link.address === leader)
    if (leader === null) this.#currentIndex += 1
    else if (knownIndex !== -1) this.#currentIndex = knownIndex
    else this.#currentIndex = this.#links.push(new TrpcLink(leader, this.#token, this.#traffic)) - 1
  }
}
