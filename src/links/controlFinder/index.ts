/** Finds the leader among the control processes and passes requests on to it. */
import type { Clock, Millis } from '../../clock/index.js'
import type { ControlAnswer, ControlRequest } from '../../batch/requests.js'
import type { HoldLimits } from '../../callers/holdRequest/index.js'
import { RemoteError, type PackLinks } from '../packLink/index.js'
import { CallTimeoutError } from '../timedPool/index.js'

/** Longest time for one attempt. */
const ATTEMPT_MS: Millis = 900

/** Longest time for a call that only keeps a connection open. */
const WARM_TIMEOUT_MS: Millis = 600

/** Pause after a round in which nobody knew a leader. */
const PAUSE_MS: Millis = 60

/** Errors after which nothing can have been received. */
const NOT_SENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'UND_ERR_CONNECT_TIMEOUT'])

const HOLD_UNTIL_DEADLINE: HoldLimits = { rejectableMs: Number.POSITIVE_INFINITY, outcomeUnknownMs: Number.POSITIVE_INFINITY }

/** How a request ended that no leader has answered. */
export interface Unanswered {
  readonly kind: 'unanswered'
  /** No copy of the request can be carried out any more. */
  readonly isCertainlyNotDone: boolean
  /** Time since the last answer of a leader. */
  readonly silentMs: Millis
  readonly reason: string
}

/** Another process leads; whether the one that was asked carries the request out is not known. */
class LeaderChangedError extends Error {}

interface PendingAttempt {
  readonly target: string
  readonly giveUp: (err: Error) => void
}

/** Keeps what is known of the control processes. */
export class ControlFinder {
  readonly #links: PackLinks
  readonly #clock: Clock
  readonly #seeds: () => readonly string[]
  #members: readonly string[] = []
  #leader: string | null = null
  #next = 0
  readonly #attempts = new Set<PendingAttempt>()
  #answeredAt: Millis = Number.NEGATIVE_INFINITY

  /**
   * @param links - shared links
   * @param clock - source of time
   * @param seeds - addresses from the settings, read again when the members are not reached
   */
  constructor (links: PackLinks, clock: Clock, seeds: () => readonly string[]) {
    this.#links = links
    this.#clock = clock
    this.#seeds = seeds
  }

  /** Clock reading of the leader's last answer. */
  get answeredAt (): Millis {
    return this.#answeredAt
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
  async ask (req: ControlRequest, deadline: Millis, hold: HoldLimits = HOLD_UNTIL_DEADLINE): Promise<ControlAnswer | Unanswered> {
    const askedAt = this.#clock.now()
    let isCertainlyNotDone = true
    let reason = 'no control process is known'
    for (let attempt = 0; ; attempt++) {
      const left = deadline - this.#clock.now()
      const lastStart = askedAt + (isCertainlyNotDone ? hold.rejectableMs : hold.outcomeUnknownMs)
      if (left <= 0 || this.#clock.now() >= lastStart) return { kind: 'unanswered', isCertainlyNotDone, silentMs: this.#clock.now() - this.#answeredAt, reason }
      const target = this.#leader ?? this.#pickMember()
      if (target === null) {
        await this.#clock.sleep(Math.min(PAUSE_MS, left))
        continue
      }
      try {
        const answer = await this.#attempt(target, req, Math.min(ATTEMPT_MS, left))
        if (answer.kind === 'redirect') {
          reason = `${target} does not lead`
          this.#follow(answer, target)
          if (this.#leader === null) await this.#clock.sleep(Math.min(PAUSE_MS, Math.max(0, deadline - this.#clock.now())))
        } else if (answer.kind === 'unclear') {
          reason = answer.reason
          isCertainlyNotDone = false
          await this.#clock.sleep(Math.min(PAUSE_MS, Math.max(0, deadline - this.#clock.now())))
        } else {
          this.#setLeader(target)
          this.#answeredAt = this.#clock.now()
          if (answer.kind === 'pong') this.#members = answer.members
          return answer
        }
      } catch (err) {
        reason = (err as Error).message
        if (!wasNotSent(err)) isCertainlyNotDone = false
        if (this.#leader === target) this.#setLeader(null)
        if (attempt > 0) await this.#clock.sleep(Math.min(PAUSE_MS, Math.max(0, deadline - this.#clock.now())))
      }
    }
  }

  /**
   * Calls every process that may lead, so that a connection to the next leader is there when the present one is lost.
   *
   * @returns how many have answered
   */
  async keepWarm (): Promise<number> {
    const answers = await Promise.allSettled(this.#listMembers().map((address) => this.#links.to(address).call('hello', {}, WARM_TIMEOUT_MS)))
    return answers.filter(({ status }) => status === 'fulfilled').length
  }

  #follow ({ leader, members }: Extract<ControlAnswer, { readonly kind: 'redirect' }>, target: string): void {
    if (members.length > 0) this.#members = members
    this.#setLeader(leader === target ? null : leader)
  }

  #setLeader (leader: string | null): void {
    if (leader === this.#leader) return
    this.#leader = leader
    if (leader === null) return
    for (const { target, giveUp } of this.#attempts) if (target !== leader) giveUp(new LeaderChangedError(`${leader} leads now`))
  }

  /** An attempt is given up before its time when another process turns out to lead. */
  #attempt (target: string, req: ControlRequest, timeoutMs: Millis): Promise<ControlAnswer> {
    return new Promise((resolve, reject) => {
      const attempt = { target, giveUp: reject }
      this.#attempts.add(attempt)
      const end = (): void => { this.#attempts.delete(attempt) }
      this.#links.to(target).call<ControlAnswer>('ask', req, timeoutMs).finally(end).then(resolve, reject)
    })
  }

  #listMembers (): string[] {
    return [...new Set([...this.#members, ...this.#seeds()])]
  }

  #pickMember (): string | null {
    const all = this.#listMembers()
    if (all.length === 0) return null
    this.#next = (this.#next + 1) % all.length
    return all[this.#next] ?? null
  }
}

function wasNotSent (err: unknown): boolean {
  if (err instanceof RemoteError) return false
  if (err instanceof CallTimeoutError) return !err.wasSent
  const code = (err as { code?: unknown }).code
  return typeof code === 'string' && NOT_SENT_CODES.has(code)
}
