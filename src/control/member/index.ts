/** A control process that serves jobs: its member of the group, and its term while it leads. */
import type { Clock } from '../../clock/index.js'
import { NotLeaderError } from '../../consensus/errors.js'
import type { Replica } from '../../consensus/replica/index.js'
import type { AppendRequest, Member, SnapshotChunk, VoteRequest } from '../../consensus/types.js'
import type { BatchLeader } from '../../batch/leader/index.js'
import type { ControlAnswer, ControlRequest } from '../../batch/requests.js'
import type { WorkerReport } from '../../batch/types.js'
import type { GroupFormer } from '../../group/former/index.js'
import type { GroupKeeper } from '../../group/keeper/index.js'
import type { EventLog } from '../../logs/eventLog/index.js'
import type { MsgpackHandlers } from '../../links/msgpackServer/index.js'
import type { MsgpackLinks } from '../../links/msgpackLink/index.js'

const JOIN_TIMEOUT_MS = 1000
const STAND_TIMEOUT_MS = 500
const WATCH_MS = 500

/** A follower that has heard its leader this lately acknowledges reports that say nothing new; three heartbeats. */
const IN_TOUCH_MS = 480

/** Parts of {@link ControlMember}. */
export interface ControlMemberDeps {
  readonly clock: Clock
  readonly log: EventLog
  readonly replica: Replica
  readonly links: MsgpackLinks
  readonly former: GroupFormer
  readonly keeper: GroupKeeper
  /** Whether a worker's report says nothing that the replicated state doesn't have. */
  readonly isKnownReport: (report: WorkerReport) => boolean
  /** Begins a term; called once this member is a ready leader. */
  readonly beginTerm: () => BatchLeader
}

/** Watches leadership, and answers calls of other processes. */
export class ControlMember {
  readonly #deps: ControlMemberDeps
  readonly #stop = new AbortController()
  #leader: BatchLeader | null = null
  /** Until the log is read, this member knows neither its term nor its vote, and must answer nobody. */
  #isRecovered = false

  /** @param deps - the process's parts */
  constructor (deps: ControlMemberDeps) {
    this.#deps = deps
  }

  /** Starts the member. */
  async start (): Promise<void> {
    const { log, replica, former, keeper } = this.#deps
    const tornBytes = await replica.start()
    this.#isRecovered = true
    log.info('log.recovered', { tornBytes, lastIndex: replica.status().lastIndex, term: replica.term })
    void former.run(this.#stop.signal)
    void keeper.run(this.#stop.signal)
    void this.#watchLeadership()
  }

  /** Hands leadership over if this member has it, and stops. */
  async stop (): Promise<void> {
    const { replica, links, log } = this.#deps
    this.#stop.abort()
    this.#leader?.end()
    const { term } = replica
    const successor = replica.resign()
    if (successor !== null) {
      log.info('leader.resigned', { term, successor: successor.id })
      await links.to(successor.address).call('stand', { term }, STAND_TIMEOUT_MS).catch((err: unknown) => {
        log.warn('leader.successorSilent', { successor: successor.id, reason: (err as Error).message })
      })
    }
    await replica.stop()
  }

  /** Calls that other processes may make. */
  get calls (): MsgpackHandlers {
    const { replica, former } = this.#deps
    const calls: MsgpackHandlers = {
      vote: (req: VoteRequest) => replica.onVote(req),
      append: (req: AppendRequest) => replica.onAppend(req),
      snapshot: (req: SnapshotChunk) => replica.onSnapshot(req),
      stand: async ({ term }: { readonly term: number }) => {
        await replica.standNow(term)
        return true
      },
      hello: () => former.hello(),
      join: (joining: Omit<Member, 'role'> & { readonly isForwarded?: boolean }) => this.#join(joining),
      ask: (req: ControlRequest) => this.answer(req)
    }
    return Object.fromEntries(Object.entries(calls).map(([name, handler]) => [name, (input: never) => {
      if (!this.#isRecovered) throw new Error('the log is being recovered')
      return handler?.(input)
    }]))
  }

  /**
   * Answers a request to the leader.
   *
   * @param req - the request
   * @returns `redirect` when this process does not lead
   */
  async answer (req: ControlRequest): Promise<ControlAnswer> {
    const { replica } = this.#deps
    const leader = this.#leader
    if (leader === null && req.kind === 'report' && this.#isInTouch() && this.#deps.isKnownReport(req.report)) return { kind: 'accepted' }
    if (leader === null || !replica.isReadyLeader || replica.term !== leader.term) return this.#redirect()
    try {
      return await leader.answer(req)
    } catch (err) {
      return err instanceof NotLeaderError ? this.#redirect() : { kind: 'unclear', reason: (err as Error).message }
    }
  }

  /** Whether a leader was heard of lately, so that the state here is hardly behind the leader's. */
  #isInTouch (): boolean {
    const { clock, replica } = this.#deps
    return replica.leader !== null && clock.now() - replica.heardAt < IN_TOUCH_MS
  }

  #redirect (): ControlAnswer {
    const { leader, members, instance } = this.#deps.replica.status()
    return { kind: 'redirect', leader: leader === null || leader.instance === instance ? null : leader.address, members: members.map(({ address }) => address) }
  }

  async #join (joining: Omit<Member, 'role'> & { readonly isForwarded?: boolean }): Promise<boolean> {
    const { keeper, replica, links } = this.#deps
    const { isForwarded, ...member } = joining
    if (replica.isLeader) {
      await keeper.join(member)
      return true
    }
    if (isForwarded === true || replica.leader === null) throw new NotLeaderError(replica.leader)
    return await links.to(replica.leader.address).call<boolean>('join', { ...member, isForwarded: true }, JOIN_TIMEOUT_MS)
  }

  async #watchLeadership (): Promise<void> {
    const { replica, beginTerm } = this.#deps
    while (!this.#stop.signal.aborted) {
      const seen = replica.changed.count
      if (this.#leader !== null && (!replica.isReadyLeader || replica.term !== this.#leader.term)) {
        this.#leader.end()
        this.#leader = null
      }
      if (this.#leader === null && replica.isReadyLeader) this.#leader = beginTerm()
      await replica.changed.waitBeyond(seen, WATCH_MS, this.#stop.signal)
    }
  }
}
