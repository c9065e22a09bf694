/** Finds the leader among the control processes and passes requests on to it. */
import type { Clock, Millis } from '../../clock/index.js'
import type { ControlAnswer, ControlRequest } from '../../batch/requests.js'
import type { HoldTimes } from '../../callers/holdRequest/index.js'
import { RemoteError, type MsgpackLinks } from '../msgpackLink/index.js'
import { CallTimeoutError } from '../timedPool/index.js'

/** Longest time for one attempt. */
const ATTEMPT_TIMEOUT_MS: Millis = 900

/** Longest time for a call that only keeps a connection open. */
const KEEP_OPEN_TIMEOUT_MS: Millis = 600

/** Pause after a round in which nobody knew a leader. */
const RETRY_PAUSE_MS: Millis = 60

/** Errors after which nothing can have been received. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

const HOLD_UNTIL_DEADLINE: HoldTimes = { refusableMs: Number.POSITIVE_INFINITY, unclearMs: Number.POSITIVE_INFINITY }

/** How a request ended that no leader has answered. */
export interface Unanswered {
  readonly kind: 'unanswered'
  /** No copy of the request can be carried out any more. */
  readonly isCertainlyNotDone: boolean
  /** Time since the last answer of a leader. */
  readonly sinceLastAnswerMs: Millis
  readonly reason: string
}

/** Another process leads; whether the one that was asked carries the request out is not known. */
class LeaderChangedError extends Error {}

interface PendingAttempt {
  readonly target: string
  readonly abandon: (err: Error) => void
}

/** Keeps what is known of the control processes. */
export class LeaderClient {
  readonly #links: MsgpackLinks
  readonly #clock: Clock
  readonly #seeds: () => readonly string[]
  #members: readonly string[] = []
  #leader: string | null = null
  #nextMemberIndex = 0
  readonly #pendingAttempts = new Set<PendingAttempt>()
  #lastAnswerAt: Millis = Number.NEGATIVE_INFINITY

  /**
   * @param links - shared links
   * @param clock - source of time
   * @param seeds - addresses from the settings, read again when the members are not reached
   */
  constructor (links: MsgpackLinks, clock: Clock, seeds: () => readonly string[]) {
    this.#links = links
    this.#clock = clock
    this.#seeds = seeds
  }

  /** Clock reading of the leader's last answer. */
  get lastAnswerAt (): Millis {
    return this.#lastAnswerAt
  }

  /** Address of the leader as far as it is known. */
  get leader (): string | null {
    return this.#leader
  }

  /**
   * Passes a request on until a leader answers or the time is over. Every request may be sent again.
   *
   * @param req - the request
   * @param deadline - clock reading at which an attempt under way is given up
   * @param hold - times after which no further attempt begins
   */
  async ask (req: ControlRequest, deadline: Millis, hold: HoldTimes = HOLD_UNTIL_DEADLINE): Promise<ControlAnswer | Unanswered> {
    const askedAt = this.#clock.now()
    let isCertainlyNotDone = true
    let reason = 'no control process is known'
    for (let attempt = 0; ; attempt++) {
      const remainingMs = deadline - this.#clock.now()
      const lastAttemptAt = askedAt + (isCertainlyNotDone ? hold.refusableMs : hold.unclearMs)
      if (remainingMs <= 0 || this.#clock.now() >= lastAttemptAt) return { kind: 'unanswered', isCertainlyNotDone, sinceLastAnswerMs: this.#clock.now() - this.#lastAnswerAt, reason }
      const target = this.#leader ?? this.#pickMember()
      if (target === null) {
        await this.#clock.sleep(Math.min(RETRY_PAUSE_MS, remainingMs))
        continue
      }
      try {
        const answer = await this.#attempt(target, req, Math.min(ATTEMPT_TIMEOUT_MS, remainingMs))
        if (answer.kind === 'redirect') {
          reason = `${target} does not lead`
          this.#followRedirect(answer, target)
          if (this.#leader === null) await this.#clock.sleep(Math.min(RETRY_PAUSE_MS, Math.max(0, deadline - this.#clock.now())))
        } else if (answer.kind === 'unclear') {
          reason = answer.reason
          isCertainlyNotDone = false
          await this.#clock.sleep(Math.min(RETRY_PAUSE_MS, Math.max(0, deadline - this.#clock.now())))
        } else {
          this.#setLeader(target)
          this.#lastAnswerAt = this.#clock.now()
          if (answer.kind === 'pong') this.#members = answer.members
          return answer
        }
      } catch (err) {
        reason = (err as Error).message
        if (!wasNotSent(err)) isCertainlyNotDone = false
        if (this.#leader === target) this.#setLeader(null)
        if (attempt > 0) await this.#clock.sleep(Math.min(RETRY_PAUSE_MS, Math.max(0, deadline - this.#clock.now())))
      }
    }
  }

  /**
   * Calls every process that may lead, so that a connection to the next leader is there when the present one is lost.
   *
   * @returns how many have answered
   */
  async keepConnectionsOpen (): Promise<number> {
    const answers = await Promise.allSettled(this.#listMembers().map((address) => this.#links.to(address).call('hello', {}, KEEP_OPEN_TIMEOUT_MS)))
    return answers.filter(({ status }) => status === 'fulfilled').length
  }

  #followRedirect ({ leader, members }: Extract<ControlAnswer, { readonly kind: 'redirect' }>, target: string): void {
    if (members.length > 0) this.#members = members
    this.#setLeader(leader === target ? null : leader)
  }

  #setLeader (leader: string | null): void {
    if (leader === this.#leader) return
    this.#leader = leader
    if (leader === null) return
    for (const { target, abandon } of this.#pendingAttempts) if (target !== leader) abandon(new LeaderChangedError(`${leader} leads now`))
  }

  /** An attempt is given up before its time when another process turns out to lead. */
  #attempt (target: string, req: ControlRequest, timeoutMs: Millis): Promise<ControlAnswer> {
    return new Promise((resolve, reject) => {
      const attempt = { target, abandon: reject }
      this.#pendingAttempts.add(attempt)
      const removeAttempt = (): void => { this.#pendingAttempts.delete(attempt) }
      this.#links.to(target).call<ControlAnswer>('ask', req, timeoutMs).finally(removeAttempt).then(resolve, reject)
    })
  }

  #listMembers (): string[] {
    return [...new Set([...this.#members, ...this.#seeds()])]
  }

  #pickMember (): string | null {
    const all = this.#listMembers()
    if (all.length === 0) return null
    this.#nextMemberIndex = (this.#nextMemberIndex + 1) % all.length
    return all[this.#nextMemberIndex] ?? null
  }
}

function wasNotSent (err: unknown): boolean {
  if (err instanceof RemoteError) return false
  if (err instanceof CallTimeoutError) return !err.wasSent
  const code = (err as { code?: unknown }).code
  return typeof code === 'string' && NOT_SENT_CODES.has(code)
}
