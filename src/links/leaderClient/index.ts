/** Finds the leader among the control processes and sends requests to it. */
import type { Clock, Millis } from '../../clock/index.js'
import type { ControlAnswer, ControlRequest } from '../../batch/requests.js'
import type { HoldLimits } from '../../callers/holdRequest/index.js'
import { GroupMembers, readToldMembers, type KnownMembers } from '../groupMembers/index.js'
import { isCertainlyNotSent, PING, type MsgpackLinks } from '../msgpackLink/index.js'

const ATTEMPT_TIMEOUT_MS: Millis = 900

const KEEP_OPEN_TIMEOUT_MS: Millis = 600

/** Pause before the next attempt when no leader is known or an attempt has failed. */
const RETRY_PAUSE_MS: Millis = 60

/** A process that did not answer is asked again after this time, or earlier when all the others did not answer either. */
const UNRESPONSIVE_PAUSE_MS: Millis = 2000

const HOLD_UNTIL_DEADLINE: HoldLimits = { rejectableMs: Number.POSITIVE_INFINITY, outcomeUnknownMs: Number.POSITIVE_INFINITY }

/** Result of a request that no leader has answered in time. */
export interface Unanswered {
  readonly kind: 'unanswered'
  /** Whether it is certain that no copy of the request has been or will be carried out. */
  readonly isCertainlyNotDone: boolean
  /** Time since the last answer of a leader, in milliseconds; infinity when no leader has answered yet. */
  readonly sinceLastAnswerMs: Millis
  readonly reason: string
}

/** Ends an attempt when another process leads. Whether the called process carries the request out is unknown. */
class LeaderChangedError extends Error {}

interface PendingAttempt {
  readonly target: string
  readonly startedAt: Millis
  readonly abandon: (err: Error) => void
}

/** Sends requests to the leader, remembering the leader and the members of the group from their answers. */
export class LeaderClient {
  readonly #links: MsgpackLinks
  readonly #clock: Clock
  readonly #seeds: () => readonly string[]
  readonly #members = new GroupMembers()
  #leader: string | null = null
  #nextMemberIndex = 0
  readonly #pendingAttempts = new Set<PendingAttempt>()
  /** When the last attempt at a process failed; an answer removes it. */
  readonly #failedAt = new Map<string, Millis>()
  #lastAnswerAt: Millis = Number.NEGATIVE_INFINITY

  /**
   * @param links - links that other calls between processes may share
   * @param clock - source of time
   * @param seeds - returns the current addresses from the settings, which are tried in addition to the known members
   */
  constructor (links: MsgpackLinks, clock: Clock, seeds: () => readonly string[]) {
    this.#links = links
    this.#clock = clock
    this.#seeds = seeds
  }

  /** Clock reading of the leader's last answer, or minus infinity before the first one. */
  get lastAnswerAt (): Millis {
    return this.#lastAnswerAt
  }

  /** Clock reading at which the oldest attempt in flight began; infinity when none is in flight. */
  get waitingSince (): Millis {
    // The attempts are kept in the order in which they began.
    const oldest: PendingAttempt | undefined = this.#pendingAttempts.values().next().value
    return oldest?.startedAt ?? Number.POSITIVE_INFINITY
  }

  /** Index of the known membership in the replicated log; 0 before one is known. */
  get membersVersion (): number {
    return this.#members.version
  }

  /** Address of the last known leader, or null. */
  get leader (): string | null {
    return this.#leader
  }

  /**
   * Sends a request until a leader answers or time runs out. The request may arrive more than once, so it must be idempotent.
   *
   * @param req - request to send
   * @param deadline - clock reading at which an attempt under way is aborted
   * @param hold - times, counted from now, after which no further attempt begins
   * @returns the leader's answer, or why there is none
   */
  async ask (req: ControlRequest, deadline: Millis, hold: HoldLimits = HOLD_UNTIL_DEADLINE): Promise<ControlAnswer | Unanswered> {
    const askedAt = this.#clock.now()
    let isCertainlyNotDone = true
    let reason = 'no control process is known'
    for (let attempt = 0; ; attempt++) {
      const remainingMs = deadline - this.#clock.now()
      const lastAttemptAt = askedAt + (isCertainlyNotDone ? hold.rejectableMs : hold.outcomeUnknownMs)
      if (remainingMs <= 0 || this.#clock.now() >= lastAttemptAt) return { kind: 'unanswered', isCertainlyNotDone, sinceLastAnswerMs: this.#clock.now() - this.#lastAnswerAt, reason }
      const target = this.#leader ?? this.#pickMember()
      if (target === null) {
        await this.#clock.sleep(Math.min(RETRY_PAUSE_MS, remainingMs))
        continue
      }
      try {
        const answer = await this.#attempt(target, req, Math.min(ATTEMPT_TIMEOUT_MS, remainingMs))
        this.#failedAt.delete(target)
        if (answer.kind === 'redirect') {
          reason = `${target} is not the leader`
          this.#followRedirect(answer, target)
          if (this.#leader === null) await this.#clock.sleep(Math.min(RETRY_PAUSE_MS, Math.max(0, deadline - this.#clock.now())))
        } else if (answer.kind === 'unclear') {
          reason = answer.reason
          isCertainlyNotDone = false
          await this.#clock.sleep(Math.min(RETRY_PAUSE_MS, Math.max(0, deadline - this.#clock.now())))
        } else {
          this.#setLeader(target)
          this.#lastAnswerAt = this.#clock.now()
          if (answer.kind === 'pong') this.#members.learn({ ...readToldMembers(answer), isLeader: true })
          return answer
        }
      } catch (err) {
        reason = (err as Error).message
        if (!isCertainlyNotSent(err)) isCertainlyNotDone = false
        if (!(err instanceof LeaderChangedError)) this.#failedAt.set(target, this.#clock.now())
        if (this.#leader === target) this.#setLeader(null)
        if (attempt > 0) await this.#clock.sleep(Math.min(RETRY_PAUSE_MS, Math.max(0, deadline - this.#clock.now())))
      }
    }
  }

  /**
   * Takes note of the leader that another source knows, such as the log of a control process. Attempts at other processes end
   * at once.
   *
   * @param leader - address of the leader, or null while there is none
   * @param members - the group's members as that source knows them, if it does
   */
  learnLeader (leader: string | null, members?: KnownMembers): void {
    if (members !== undefined) this.#members.learn({ ...members, isLeader: false })
    this.#setLeader(leader)
  }

  /**
   * Uses the connection to every control process, so that the one to the next leader is open when the current one is lost.
   *
   * @returns how many processes have answered
   */
  async keepConnectionsOpen (): Promise<number> {
    const answers = await Promise.allSettled(this.#listMembers().map((address) => this.#links.to(address).call(PING, null, KEEP_OPEN_TIMEOUT_MS)))
    return answers.filter(({ status }) => status === 'fulfilled').length
  }

  #followRedirect (answer: Extract<ControlAnswer, { readonly kind: 'redirect' }>, target: string): void {
    this.learnLeader(answer.leader === target ? null : answer.leader, readToldMembers(answer))
  }

  #isUnresponsive (address: string): boolean {
    return this.#clock.now() - (this.#failedAt.get(address) ?? Number.NEGATIVE_INFINITY) < UNRESPONSIVE_PAUSE_MS
  }

  #setLeader (leader: string | null): void {
    if (leader === this.#leader) return
    this.#leader = leader
    if (leader === null) return
    for (const { target, abandon } of this.#pendingAttempts) if (target !== leader) abandon(new LeaderChangedError(`${leader} has become the leader`))
  }

  /** Makes one attempt, which ends early when another process turns out to lead. */
  #attempt (target: string, req: ControlRequest, timeoutMs: Millis): Promise<ControlAnswer> {
    return new Promise((resolve, reject) => {
      const attempt = { target, startedAt: this.#clock.now(), abandon: reject }
      this.#pendingAttempts.add(attempt)
      const removeAttempt = (): void => { this.#pendingAttempts.delete(attempt) }
      this.#links.to(target).call<ControlAnswer>('ask', req, timeoutMs).finally(removeAttempt).then(resolve, reject)
    })
  }

  #listMembers (): string[] {
    return [...new Set([...this.#members.addresses, ...this.#seeds()])]
  }

  /** Picks the members in turn, leaving out those that have just not answered while there are others. */
  #pickMember (): string | null {
    const all = this.#listMembers()
    const responsive = all.filter((address) => !this.#isUnresponsive(address))
    const candidates = responsive.length > 0 ? responsive : all
    if (candidates.length === 0) return null
    this.#nextMemberIndex = (this.#nextMemberIndex + 1) % candidates.length
    return candidates[this.#nextMemberIndex] ?? null
  }
}
