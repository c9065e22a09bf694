/** Serves one caller's request from its arrival to its outcome. */
import type { Clock, Millis } from '../../clock/index.js'
import { KEY_RETENTION_MS, MAX_KEY_CLOCK_SKEW_MS } from '../../contracts/constants.js'
import { ATTEMPT_HEADER, DEADLINE_HEADER, KEY_CREATED_HEADER, KEY_HEADER, SERVICE_HEADER } from '../../contracts/headers/index.js'
import type { ServiceRules } from '../../contracts/rules/index.js'
import type { AttemptResult, EndpointLink } from '../../endpoints/link/index.js'
import type { ControlClient } from '../../links/controlClient/index.js'
import type { FleetView } from '../../machines/fleetView/index.js'
import type { ClaimResult } from '../../state/commands.js'
import type { Dispatcher, ShedReason, SlotGrant } from '../dispatcher/index.js'
import type { RequestResult } from '../outcomes/index.js'
import { RetryBudget } from '../retryBudget/index.js'
import type { Settler } from '../settler/index.js'
import type { CallerRequest } from './types.js'

export type { CallerRequest } from './types.js'

/** Most attempts for one request that may be repeated. */
const MAX_ATTEMPTS = 4

/** Most refusals that one request takes before it is told that it was not run. */
const MAX_REFUSALS = 50

/** Pause before asking again how an earlier request with the same key has ended, in milliseconds. */
const IN_PROGRESS_POLL_MS = 100

/** Most of a service's endpoints that may be ejected at once, as a share. */
const MAX_EJECTED_SHARE = 0.34

const SHED_MESSAGES: Readonly<Record<ShedReason, string>> = {
  staleView: 'This entry has no fresh view of the fleet.',
  noEndpoint: 'No endpoint serves the service at the moment.',
  queueFull: 'The queue of the service is full.',
  deadline: 'No slot would become free before the deadline.'
}

/** Dependencies of {@link RequestRunner}. */
export interface RunnerDeps {
  readonly entry: string
  readonly clock: Clock
  readonly view: FleetView
  readonly dispatcher: Dispatcher
  readonly control: ControlClient
  readonly settler: Settler
  readonly onEjected: (vm: string) => void
}

/** Result of a request with the number of attempts it took. */
export interface FinishedRequest {
  readonly result: RequestResult
  readonly attempts: number
}

interface Progress {
  attempts: number
  refusals: number
  readonly triedVms: string[]
  /** Whether the claim is committed; it then must be settled. */
  isClaimed: boolean
  last: RequestResult | null
}

/** Runs requests: claim, slot, attempts and retries. */
export class RequestRunner {
  readonly #deps: RunnerDeps
  readonly #budgets = new Map<string, RetryBudget>()

  /** @param deps - the entry's parts */
  constructor (deps: RunnerDeps) {
    this.#deps = deps
  }

  /**
   * Runs a request.
   *
   * @param req - the request
   * @returns its outcome; it never rejects
   */
  async run (req: CallerRequest): Promise<FinishedRequest> {
    const progress: Progress = { attempts: 0, refusals: 0, triedVms: [], isClaimed: false, last: null }
    const service = this.#deps.view.service(req.service)
    if (service === undefined) return { result: this.#refuseUnknownService(req.service), attempts: 0 }
    const isRepeatable = (service.repeatable as readonly string[]).includes(req.method)
    const wrong = isRepeatable ? null : this.#checkKey(req)
    if (wrong !== null) return { result: wrong, attempts: 0 }
    const result = isRepeatable ? await this.#runRepeatable(req, service, progress) : await this.#runOnce(req, service, progress)
    return { result, attempts: progress.attempts }
  }

  /** Tries until there is a good answer, time or budget is over. */
  async #runRepeatable (req: CallerRequest, service: ServiceRules, progress: Progress): Promise<RequestResult> {
    for (;;) {
      const result = await this.#tryOnce(req, service, progress)
      const isGood = result.outcome === 'answered' && result.status < 500
      if (isGood) this.#budgetOf(req.service).earn()
      // A shed request keeps what an earlier attempt has brought: that one may have run.
      if (result.outcome === 'notRun') return progress.last ?? result
      if (isGood || !this.#mayRetry(req, progress)) return result
      progress.last = result
    }
  }

  /** Sends at most one request that an endpoint may run, under a claim. */
  async #runOnce (req: CallerRequest, service: ServiceRules, progress: Progress): Promise<RequestResult> {
    const result = await this.#tryOnce(req, service, progress)
    if (progress.isClaimed) this.#deps.settler.settle({ service: req.service, key: req.key ?? '', request: req.id }, result)
    return result
  }

  /** Takes slots until an endpoint does not refuse, and sends the request there. */
  async #tryOnce (req: CallerRequest, service: ServiceRules, progress: Progress): Promise<RequestResult> {
    for (;;) {
      const grant = await this.#acquire(req, progress)
      if (!grant.ok) return shed(grant)
      const isRepeatable = (service.repeatable as readonly string[]).includes(req.method)
      const claim = isRepeatable || progress.isClaimed ? GRANTED : await this.#claim(req)
      if (claim?.status !== 'granted') {
        this.#giveBack(req.service, grant.link)
        if (claim?.status === 'running' && await this.#waitForEarlier(req)) continue
        return this.#endClaim(req, claim)
      }
      progress.isClaimed = !isRepeatable
      const result = await this.#attempt(req, service, grant.link, progress)
      if (result.kind === 'answer') return { outcome: 'answered', status: result.status, headers: result.headers, body: result.body }
      if (result.kind === 'unknown') return { outcome: 'unknown', reason: 'attemptFailed', message: `VM ${grant.link.vm}: ${result.message}` }
      progress.refusals += 1
      if (result.kind === 'notSent') progress.triedVms.push(grant.link.vm)
      if (progress.refusals >= MAX_REFUSALS) return { outcome: 'notRun', reason: result.kind, message: 'No endpoint took the request.', retryAfterMs: 1000 }
    }
  }

  async #acquire (req: CallerRequest, progress: Progress): Promise<SlotGrant> {
    const { dispatcher } = this.#deps
    const { service, team, deadline } = req
    return await dispatcher.acquire({ service, team, class: req.class, deadline, triedVms: progress.triedVms })
  }

  async #attempt (req: CallerRequest, service: ServiceRules, link: EndpointLink, progress: Progress): Promise<AttemptResult> {
    const { clock, dispatcher, view } = this.#deps
    const startedAt = clock.now()
    const left = req.deadline - startedAt
    // The view may have gone stale while the claim was committed.
    const mayStart = (): boolean => view.isFresh && view.vm(link.vm)?.phase === 'serving'
    if (left <= 0 || !mayStart()) {
      this.#giveBack(req.service, link)
      return { kind: 'notSent', message: left <= 0 ? 'the deadline has passed' : 'the view of the fleet has changed' }
    }
    progress.attempts += 1
    const attempt = `${req.id}.${progress.attempts + progress.refusals}`
    const result = await link.send({
      service: req.service,
      attempt,
      method: req.method,
      path: req.path,
      headers: { ...req.headers, [ATTEMPT_HEADER]: attempt, [SERVICE_HEADER]: req.service, [DEADLINE_HEADER]: String(Math.max(1, Math.floor(left))) },
      body: req.body,
      timeoutMs: Math.min(left, service.attemptTimeoutMs),
      mayStart
    })
    dispatcher.release(link, req.service, result.kind === 'answer' ? clock.now() - startedAt : null)
    if (result.kind === 'refused' || result.kind === 'notSent') progress.attempts -= 1
    else progress.triedVms.push(link.vm)
    this.#judge(req.service, link, result)
    return result
  }

  /** Lets the result count for or against the endpoint. */
  #judge (service: string, link: EndpointLink, result: AttemptResult): void {
    if (result.kind === 'refused') return
    if (result.kind === 'answer' && result.status < 500) {
      link.ejection.succeed()
      return
    }
    const { own, spare } = this.#deps.view.candidates(service)
    const all = [...own, ...spare]
    const ejected = all.filter((each) => each.ejection.isEjected).length
    if (link.ejection.fail(ejected + 1 <= Math.max(1, all.length * MAX_EJECTED_SHARE))) this.#deps.onEjected(link.vm)
  }

  /** Commits the claim; null when control did not answer in time. */
  async #claim (req: CallerRequest): Promise<ClaimResult | null> {
    const { clock, control, entry } = this.#deps
    const left = Math.max(1, req.deadline - clock.now())
    const input = { service: req.service, key: req.key ?? '', created: req.keyCreated ?? 0, request: req.id, entry }
    const claimed = await control.call((calls, signal) => calls.claim.mutate(input, { signal }), { tryMs: Math.min(1000, left), totalMs: left })
    return claimed.unwrapOr(null)
  }

  /** Waits a little for an earlier request with the same key; returns whether there is time to ask again. */
  async #waitForEarlier (req: CallerRequest): Promise<boolean> {
    const { clock } = this.#deps
    await clock.sleep(Math.min(IN_PROGRESS_POLL_MS, Math.max(0, req.deadline - clock.now())))
    return clock.now() < req.deadline
  }

  /** Gives a slot back that was not used. */
  #giveBack (service: string, link: EndpointLink): void {
    this.#deps.dispatcher.release(link, service, null)
    link.ejection.cancelTrial()
  }

  #endClaim (req: CallerRequest, claim: ClaimResult | null): RequestResult {
    if (claim === null) {
      // The claim may be committed all the same: releasing it lets the caller resend the key.
      this.#deps.settler.settle({ service: req.service, key: req.key ?? '', request: req.id }, { outcome: 'notRun', reason: 'claimFailed', message: '' })
      return { outcome: 'notRun', reason: 'claimFailed', message: 'Control could not record the request in time.', retryAfterMs: 1000 }
    }
    return CLAIM_ENDS[claim.status](claim as never)
  }

  #mayRetry (req: CallerRequest, progress: Progress): boolean {
    if (progress.attempts >= MAX_ATTEMPTS || this.#deps.clock.now() >= req.deadline) return false
    return this.#budgetOf(req.service).spend()
  }

  #budgetOf (service: string): RetryBudget {
    let budget = this.#budgets.get(service)
    if (budget === undefined) {
      budget = new RetryBudget()
      this.#budgets.set(service, budget)
    }
    return budget
  }

  #refuseUnknownService (service: string): RequestResult {
    if (!this.#deps.view.isFresh) return { outcome: 'notRun', reason: 'staleView', message: SHED_MESSAGES.staleView, retryAfterMs: 1000 }
    return { outcome: 'notRun', reason: 'unknownService', message: `There is no service ${service}.` }
  }

  /** A request that may not be repeated needs a key whose age is known. */
  #checkKey (req: CallerRequest): RequestResult | null {
    const now: Millis = this.#deps.clock.wall()
    if (req.key === null) return badRequest(`${KEY_HEADER}: is required, since ${req.method} of ${req.service} may not be repeated`)
    if (req.keyCreated === null) return badRequest(`${KEY_CREATED_HEADER}: is required unless the key is a version 7 UUID`)
    if (req.keyCreated > now + MAX_KEY_CLOCK_SKEW_MS) return badRequest(`${KEY_CREATED_HEADER}: lies ${Math.round((req.keyCreated - now) / 1000)} s in the future`)
    return req.keyCreated < now - KEY_RETENTION_MS ? CLAIM_ENDS.expired() : null
  }
}

const GRANTED: ClaimResult = { status: 'granted' }

type ClaimEnds = { readonly [S in Exclude<ClaimResult['status'], 'granted'>]: (claim: Extract<ClaimResult, { status: S }>) => RequestResult } & { readonly granted: () => RequestResult, readonly expired: () => RequestResult }

const CLAIM_ENDS: ClaimEnds = {
  granted: () => ({ outcome: 'notRun', reason: 'claimFailed', message: 'The request was not sent.' }),
  running: () => ({ outcome: 'unknown', reason: 'inProgress', message: 'An earlier request with this key is still under way.' }),
  unknown: ({ reason }) => ({ outcome: 'unknown', reason: 'keyUsed', message: `Not run again: ${reason}.` }),
  expired: () => ({ outcome: 'unknown', reason: 'keyExpired', message: 'Not run: the key is older than its retention, so an earlier request with it may have run.' }),
  answered: ({ answer }) => ({ outcome: 'answered', status: answer.status, headers: answer.headers, body: Buffer.from(answer.body, 'base64') })
}

function shed (grant: Extract<SlotGrant, { ok: false }>): RequestResult {
  return { outcome: 'notRun', reason: grant.reason, message: SHED_MESSAGES[grant.reason], retryAfterMs: grant.retryAfterMs }
}

function badRequest (message: string): RequestResult {
  return { outcome: 'notRun', reason: 'badRequest', message }
}
