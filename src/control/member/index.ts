/** A control process that serves jobs: takes part in the group, and runs a term while it leads. */
import type { Clock } from '../../clock/index.js'
import { SuspensionDetector } from '../../clock/suspensionDetector/index.js'
import { REGIONAL_TIMINGS } from '../../consensus/constants.js'
import { NotLeaderError } from '../../consensus/errors.js'
import type { Replica } from '../../consensus/replica/index.js'
import type { AppendRequest, Member, SnapshotChunk, VoteRequest } from '../../consensus/types.js'
import type { BatchLeader } from '../../batch/leader/index.js'
import type { ControlAnswer, ControlRequest } from '../../batch/requests.js'
import type { WorkerReport } from '../../batch/types.js'
import type { GroupBootstrapper } from '../../group/bootstrapper/index.js'
import type { MembershipManager } from '../../group/membershipManager/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import { tellMembers, type KnownMembers } from '../../links/groupMembers/index.js'
import type { MsgpackHandlers } from '../../links/msgpackServer/index.js'
import type { MsgpackLinks } from '../../links/msgpackLink/index.js'
import type { RelayRequest } from '../../workers/relay/types.js'
import type { WorkerRelay } from '../../workers/relay/index.js'
import { RELAY_CALL } from '../../workers/relayedCalls/index.js'

const JOIN_TIMEOUT_MS = 1000
const SUCCESSION_TIMEOUT_MS = 500
const LEADERSHIP_CHECK_INTERVAL_MS = 500

/** Maximum age of the last leader contact for a follower to act on it: three heartbeats. */
const MAX_LEADER_CONTACT_AGE_MS = 480

/**
 * Maximum age of the last leader contact for a follower to name that leader. After it the follower itself stands for election; one
 * that is cut off from the others and can't be elected would go on naming a leader that is gone.
 */
const MAX_NAMED_LEADER_AGE_MS = REGIONAL_TIMINGS.electionMaxMs

/** Dependencies of {@link ControlMember}. */
export interface ControlMemberDeps {
  /** Address of this process for the others. */
  readonly address: string
  readonly clock: Clock
  readonly log: EventLog
  readonly replica: Replica
  readonly links: MsgpackLinks
  readonly bootstrapper: GroupBootstrapper
  readonly membershipManager: MembershipManager
  /** Returns whether a worker's report contains nothing beyond the replicated state. */
  readonly isKnownReport: (report: WorkerReport) => boolean
  /** Called with the leader's address, or null while there is none, and the members, whenever the leader changes. */
  readonly onLeader: (leader: string | null, members: KnownMembers) => void
  /**
   * Creates the relay of this member.
   *
   * @param mayRelay - returns whether calls for the leader of a term may be made now
   */
  readonly createRelay: (mayRelay: (term: number) => boolean) => WorkerRelay
  /** Begins a term as leader; called once this member is a ready leader. */
  readonly beginTerm: () => BatchLeader
}

/** Begins and ends terms as leadership changes, and answers calls from other processes. */
export class ControlMember {
  readonly #deps: ControlMemberDeps
  readonly #stop = new AbortController()
  readonly #suspensionDetector: SuspensionDetector
  readonly #relay: WorkerRelay
  #leader: BatchLeader | null = null
  /** Whether the log has been recovered. Before, term and vote are unknown, so that no call may be answered. */
  #isRecovered = false

  /** @param deps - dependencies of the member */
  constructor (deps: ControlMemberDeps) {
    this.#deps = deps
    this.#suspensionDetector = new SuspensionDetector(deps.clock)
    this.#relay = deps.createRelay((term) => this.#mayRelay(term))
  }

  /** Recovers the log and starts the loops of the member. */
  async start (): Promise<void> {
    const { log, replica, bootstrapper, membershipManager } = this.#deps
    const tornBytes = await replica.start()
    this.#isRecovered = true
    log.info('log.recovered', { tornBytes, lastIndex: replica.status().lastIndex, term: replica.term })
    void bootstrapper.run(this.#stop.signal)
    void membershipManager.run(this.#stop.signal)
    void this.#watchLeadership()
  }

  /** Transfers leadership if this member leads, and stops. */
  async stop (): Promise<void> {
    const { replica, links, log } = this.#deps
    this.#stop.abort()
    this.#leader?.end()
    const { term } = replica
    const successor = replica.resign()
    if (successor !== null) {
      log.info('leader.resigned', { term, successor: successor.id })
      await links.to(successor.address).call('stand', { term }, SUCCESSION_TIMEOUT_MS).catch((err: unknown) => {
        log.warn('leader.successorSilent', { successor: successor.id, reason: (err as Error).message })
      })
    }
    await replica.stop()
    this.#relay.close()
  }

  /** Handlers of the calls that other processes may make. */
  get calls (): MsgpackHandlers {
    const { replica, bootstrapper } = this.#deps
    const calls: MsgpackHandlers = {
      vote: (req: VoteRequest) => replica.onVote(req),
      append: (req: AppendRequest) => replica.onAppend(req),
      snapshot: (req: SnapshotChunk) => replica.onSnapshot(req),
      stand: async ({ term }: { readonly term: number }) => {
        await replica.startElectionNow(term)
        return true
      },
      hello: () => bootstrapper.hello(),
      join: (req: Omit<Member, 'role'> & { readonly isForwarded?: boolean }) => this.#onJoin(req),
      ask: (req: ControlRequest) => this.answer(req),
      [RELAY_CALL]: (req: RelayRequest) => this.#relay.make(req)
    }
    return Object.fromEntries(Object.entries(calls).map(([name, handler]) => [name, (input: never) => {
      if (!this.#isRecovered) throw new Error('the log is still being recovered')
      return handler?.(input)
    }]))
  }

  /**
   * Answers a request to the leader.
   *
   * @param req - the request
   * @returns the leader's answer; `redirect` when this process does not lead, `unclear` when the outcome is unknown
   */
  async answer (req: ControlRequest): Promise<ControlAnswer> {
    const { replica } = this.#deps
    const leader = this.#leader
    if (leader === null && req.kind === 'report' && this.#isInContactWithLeader() && this.#deps.isKnownReport(req.report)) return { kind: 'accepted', reportTo: this.#deps.address }
    if (leader === null || !replica.isReadyLeader || replica.term !== leader.term) return this.#redirect()
    try {
      return await leader.answer(req)
    } catch (err) {
      return err instanceof NotLeaderError ? this.#redirect() : { kind: 'unclear', reason: (err as Error).message }
    }
  }

  /** Whether the last contact with a leader is recent, so that the local state lags behind the leader's only slightly. */
  #isInContactWithLeader (): boolean {
    const { clock, replica } = this.#deps
    const contactAt = replica.lastLeaderContactAt
    return replica.leader !== null && this.#suspensionDetector.isContinuousSince(contactAt) && clock.now() - contactAt < MAX_LEADER_CONTACT_AGE_MS
  }

  /** Whether calls to workers may be made for the leader of a term. A process that stops leaves them to others. */
  #mayRelay (term: number): boolean {
    return this.#leader === null && !this.#stop.signal.aborted && this.#deps.replica.term === term && this.#isInContactWithLeader()
  }

  #redirect (): ControlAnswer {
    const { replica, clock } = this.#deps
    const { leader, instance, membersVersion, memberAddresses } = replica.status()
    const mayLead = leader !== null && leader.instance !== instance && clock.now() - replica.lastLeaderContactAt <= MAX_NAMED_LEADER_AGE_MS
    return { kind: 'redirect', leader: mayLead ? leader.address : null, ...tellMembers({ version: membersVersion, addresses: memberAddresses }) }
  }

  async #onJoin (req: Omit<Member, 'role'> & { readonly isForwarded?: boolean }): Promise<boolean> {
    const { membershipManager, replica, links } = this.#deps
    const { isForwarded, ...member } = req
    if (replica.isLeader) {
      await membershipManager.join(member)
      return true
    }
    if (isForwarded === true || replica.leader === null) throw new NotLeaderError(replica.leader)
    return await links.to(replica.leader.address).call<boolean>('join', { ...member, isForwarded: true }, JOIN_TIMEOUT_MS)
  }

  async #watchLeadership (): Promise<void> {
    const { replica, beginTerm, onLeader } = this.#deps
    let knownLeader: string | null = null
    while (!this.#stop.signal.aborted) {
      const seen = replica.changed.count
      const leader = replica.leader?.address ?? null
      if (leader !== knownLeader) {
        knownLeader = leader
        const { membersVersion, memberAddresses } = replica.status()
        onLeader(leader, { version: membersVersion, addresses: memberAddresses })
      }
      if (this.#leader !== null && (!replica.isReadyLeader || replica.term !== this.#leader.term)) {
        this.#leader.end()
        this.#leader = null
      }
      if (this.#leader === null && replica.isReadyLeader) this.#leader = beginTerm()
      await replica.changed.waitBeyond(seen, LEADERSHIP_CHECK_INTERVAL_MS, this.#stop.signal)
    }
  }
}
