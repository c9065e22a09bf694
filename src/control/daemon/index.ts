/** Control process: takes part in the group, and runs a session while it leads. */
import type { Clock } from '../../clock/index.js'
import { DEFAULT_TIMINGS } from '../../consensus/constants.js'
import { NotLeaderError } from '../../consensus/errors.js'
import type { Replica } from '../../consensus/replica/index.js'
import { canPromote } from '../../group/membershipManager/index.js'
import type { MembersInfo } from '../../links/groupMembers/index.js'
import type { Logger } from '../../logs/index.js'
import type { PlatformClient } from '../../platform/client/index.js'
import type { ClaimResult, CommandMap } from '../../state/commands.js'
import type { FleetState } from '../../state/index.js'
import { explain, type ExplainKind } from '../explain/index.js'
import { Operations } from '../operations/index.js'
import { LeaderSession } from '../session/index.js'

/** Dependencies of {@link ControlDaemon}. */
export interface ControlDeps {
  readonly clock: Clock
  readonly replica: Replica
  readonly state: FleetState
  readonly platform: PlatformClient
  readonly log: Logger
}

/** Begins and ends sessions as leadership changes, and answers calls while this process leads. */
export class ControlDaemon {
  readonly replica: Replica
  readonly #deps: ControlDeps
  readonly #stop = new AbortController()
  #session: LeaderSession | null = null
  #sessionTerm = 0

  /** @param deps - dependencies of the process */
  constructor (deps: ControlDeps) {
    this.#deps = deps
    const { clock, replica } = deps
    this.replica = replica
    replica.mayPromote = (learner) => canPromote(learner, replica.status().members, clock.now(), DEFAULT_TIMINGS.heartbeatMs)
  }

  /** Starts the member and the monitoring of its leadership. */
  async start (): Promise<void> {
    const { log, replica } = this.#deps
    const tornBytes = await replica.start()
    if (tornBytes > 0) log.warn(`Truncated ${tornBytes} bytes of an incomplete write from the end of the log.`)
    void this.#watchLeadership()
  }

  /** Ends the session and stops the member. */
  async stop (): Promise<void> {
    this.#stop.abort()
    this.#session?.end()
    await this.replica.stop()
  }

  /** Whether the leader of the group is known. */
  get isReady (): boolean {
    return this.replica.leader !== null
  }

  /**
   * Returns the current session.
   *
   * @throws NotLeaderError when this process does not lead
   */
  session (): LeaderSession {
    if (this.#session === null || !this.replica.isReadyLeader || this.replica.term !== this.#sessionTerm) throw new NotLeaderError(this.replica.leader)
    return this.#session
  }

  /**
   * Returns the operations of the current session.
   *
   * @throws NotLeaderError when this process does not lead
   */
  operations (): Operations {
    return new Operations(this.replica, this.session(), this.#deps.state.data, this.#deps.clock)
  }

  /** Returns the name and the instance of this process. */
  identity (): { readonly id: string, readonly instance: string } {
    const { id, instance } = this.replica.status()
    return { id, instance }
  }

  /** Members of the group as this process knows them. */
  get members (): MembersInfo {
    const { membersVersion, memberAddresses } = this.replica.status()
    return { version: membersVersion, addresses: memberAddresses, isLeader: this.replica.isReadyLeader }
  }

  /**
   * Claims a request that must not be executed twice.
   *
   * @param input - the claim
   * @returns whether the entry may execute it; `unknown` when the entry that claimed it earlier is gone
   */
  async claim (input: CommandMap['claim']['input']): Promise<ClaimResult> {
    const session = this.session()
    const result = await session.propose('claim', input)
    if (result.status !== 'running' || session.entries.mayHoldLease(result.entry)) return result
    return { status: 'unknown', reason: 'the entry that executed an earlier request with this key is no longer alive' }
  }

  /**
   * Explains the state of an object.
   *
   * @param kind - kind of the object
   * @param name - name of the object
   * @returns sentences
   */
  async explain (kind: ExplainKind, name: string): Promise<string[]> {
    const session = this.session()
    await this.replica.confirmLeadership()
    return explain({ data: this.#deps.state.data, wall: this.#deps.clock.wall(), describeDrainBlocker: (vm) => session.drainRunner.describeDrainBlocker(vm) }, kind, name)
  }

  async #watchLeadership (): Promise<void> {
    const { clock, log, replica } = this.#deps
    while (!this.#stop.signal.aborted) {
      const seen = replica.changed.count
      const isLeading = replica.isReadyLeader
      if (this.#session !== null && (!isLeading || replica.term !== this.#sessionTerm)) {
        log.info(`Leadership of term ${this.#sessionTerm} ended.`)
        this.#session.end()
        this.#session = null
      }
      if (this.#session === null && isLeading) {
        this.#sessionTerm = replica.term
        this.#session = new LeaderSession(this.#deps)
        log.info(`This process is the leader of term ${replica.term}.`)
      }
      await replica.changed.waitBeyond(seen, 1000, this.#stop.signal)
      await clock.sleep(0)
    }
  }
}
