/** Client of the control group that finds the leader and follows its changes. */
import { err, ok, type Result } from 'neverthrow'
import type { Clock, Millis } from '../../clock/index.js'
import { GroupMembers } from '../groupMembers/index.js'
import { TrpcLink, type ControlCalls, type LinkTraffic } from '../trpcLink/index.js'
import type { Reply } from '../replies.js'

const RETRY_PAUSE_MS = 100

/** Redirects that are followed without a pause; more of them may lead in a circle. */
const MAX_CONSECUTIVE_REDIRECTS = 3

/** A process that did not answer is called again after this time, or earlier when all the others did not answer either. */
const UNRESPONSIVE_PAUSE_MS: Millis = 2000

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

/** What the client needs of a link to one control process. */
export type ControlLink = Pick<TrpcLink, 'call' | 'retire' | 'close'>

/** Options of a {@link ControlClient}. */
export interface ControlClientOptions {
  /** Receives the numbers of bytes sent and received. */
  readonly traffic?: LinkTraffic
  /** Creates the link to a control process; its answers update the members. */
  readonly createLink?: (address: string, members: GroupMembers) => ControlLink
}

interface KnownProcess {
  readonly link: ControlLink
  /** Number of the last attempt; 0 before the first one. */
  lastAttempt: number
  /** When the last attempt ended without an answer; minus infinity after an answer. */
  failedAt: Millis
}

/**
 * Calls the current leader. A call may arrive more than once, so it must be idempotent. The answers tell the members of the
 * group, so that the client finds the leader also when all processes from its settings have been replaced.
 */
export class ControlClient {
  readonly #seeds: readonly string[]
  readonly #members = new GroupMembers()
  readonly #createLink: (address: string) => ControlLink
  readonly #clock: Clock
  readonly #processes = new Map<string, KnownProcess>()
  #attempts = 0
  /** Address for the next attempt; null when it is to be picked. */
  #current: string | null = null

  /**
   * @param addresses - addresses of control processes from the settings
   * @param token - token sent with each call, if any
   * @param clock - source of time
   * @param options - what differs from the defaults
   */
  constructor (addresses: readonly string[], token: string | undefined, clock: Clock, { traffic, createLink }: ControlClientOptions = {}) {
    this.#seeds = addresses
    this.#clock = clock
    const create = createLink ?? ((address, members) => new TrpcLink(address, token, { members, ...(traffic === undefined ? {} : { traffic }) }))
    this.#createLink = (address) => create(address, this.#members)
  }

  /** Addresses of the members, as far as answers have told them. */
  get members (): readonly string[] {
    return this.#members.addresses
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
      const address = this.#current ?? this.#pickProcess()
      if (address === undefined) break
      this.#current = address
      const target = this.#processAt(address)
      target.lastAttempt = ++this.#attempts
      try {
        const reply = await target.link.call(makeCall, Math.max(1, Math.min(limits.attemptMs, deadline - this.#clock.now())))
        target.failedAt = Number.NEGATIVE_INFINITY
        this.#forgetReplaced()
        if (reply.ok) return ok(reply.value)
        if (reply.error.kind === 'refused') return err({ kind: 'refused', message: reply.error.message })
        message = reply.error.message
        const { leader } = reply.error
        if (leader !== null || this.#current === address) this.#current = leader
        if (leader !== null && redirects++ < MAX_CONSECUTIVE_REDIRECTS) continue
      } catch (error) {
        message = `${address}: ${(error as Error).message}`
        target.failedAt = this.#clock.now()
        if (this.#current === address) this.#current = null
      }
      if (this.#clock.now() < deadline) await this.#clock.sleep(Math.min(RETRY_PAUSE_MS, deadline - this.#clock.now()))
    } while (this.#clock.now() < deadline)
    return err({ kind: 'unreachable', message })
  }

  /** Closes all connections. */
  close (): void {
    for (const { link } of this.#processes.values()) link.close()
  }

  #processAt (address: string): KnownProcess {
    let known = this.#processes.get(address)
    if (known === undefined) {
      known = { link: this.#createLink(address), lastAttempt: 0, failedAt: Number.NEGATIVE_INFINITY }
      this.#processes.set(address, known)
    }
    return known
  }

  /** Picks the process whose last attempt is the longest ago, leaving out those that have just not answered while there are others. */
  #pickProcess (): string | undefined {
    const all = [...new Set([...this.#members.addresses, ...this.#seeds])]
    const responsive = all.filter((address) => this.#clock.now() - (this.#processes.get(address)?.failedAt ?? Number.NEGATIVE_INFINITY) >= UNRESPONSIVE_PAUSE_MS)
    const candidates = responsive.length > 0 ? responsive : all
    const lastAttemptAt = (address: string): number => this.#processes.get(address)?.lastAttempt ?? 0
    return candidates.sort((a, b) => lastAttemptAt(a) - lastAttemptAt(b))[0]
  }

  /** Closes the links to processes that neither the settings nor the members name any longer. */
  #forgetReplaced (): void {
    if (this.#members.addresses.length === 0) return
    const named = new Set([...this.#members.addresses, ...this.#seeds, this.#current])
    for (const [address, { link }] of this.#processes) {
      if (named.has(address)) continue
      link.retire()
      this.#processes.delete(address)
    }
  }
}
