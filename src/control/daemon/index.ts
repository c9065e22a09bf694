/** The control process: its member of the group, and its session while it leads. */
import type { Clock } from '../../clock/index.js'
import { NotLeaderError } from '../../consensus/errors.js'
import type { Replica } from '../../consensus/replica/index.js'
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

/** Watches leadership, and answers calls while it leads. */
export class ControlDaemon {
  readonly replica: Replica
  readonly #deps: ControlDeps
  readonly #stop = new AbortController()
  #session: LeaderSession | null = null
  #sessionTerm = 0

  /** @param deps - the process's parts */
  constructor (deps: ControlDeps) {
    this.#deps = deps
    this.replica = deps.replica
  }

  /** Starts the member and the watch over its leadership. */
  async start (): Promise<void> {
    const { log, replica } = this.#deps
    const tornBytes = await replica.start()
    if (tornBytes > 0) log.warn(`Cut ${tornBytes} bytes of an unfinished write from the end of the log.`)
    void this.#watchLeadership()
  }

  /** Stops everything. */
  async stop (): Promise<void> {
    this.#stop.abort()
    this.#session?.end()
    await this.replica.stop()
  }

  /** Whether this process takes part in a group that has a leader. */
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

  /** Returns the operations of the current session. */
  operations (): Operations {
    return new Operations(this.replica, this.session(), this.#deps.state.data)
  }

  /** Returns who this process is. */
  identity (): { readonly id: string, readonly instance: string } {
    const { id, instance } = this.replica.status()
    return { id, instance }
  }

  /**
   * Claims a request that may not be repeated.
   *
   * @param input - the claim
   * @returns what the entry may do; a claim whose entry is gone is unknown
   */
  async claim (input: CommandMap['claim']['input']): Promise<ClaimResult> {
    const session = this.session()
    const result = await session.propose('claim', input)
    if (result.status !== 'running' || session.entries.mayBeAlive(result.entry)) return result
    return { status: 'unknown', reason: 'the entry that ran an earlier request with this key is gone' }
  }

  /**
   * Explains one thing.
   *
   * @param kind - what it is
   * @param name - its name
   */
  async explain (kind: ExplainKind, name: string): Promise<string[]> {
    const session = this.session()
    await this.replica.confirmLeadership()
    return explain({ data: this.#deps.state.data, wall: this.#deps.clock.wall(), whyNotDrained: (vm) => session.drains.describeDrainBlocker(vm) }, kind, name)
  }

  async #watchLeadership (): Promise<void> {
    const { clock, log, replica } = this.#deps
    while (!this.#stop.signal.aborted) {
      const seen = replica.changed.count
      const leads = replica.isReadyLeader
      if (this.#session !== null && (!leads || replica.term !== this.#sessionTerm)) {
        log.info(`Leadership of term ${this.#sessionTerm} ended.`)
        this.#session.end()
        this.#session = null
      }
      if (this.#session === null && leads) {
        this.#sessionTerm = replica.term
        this.#session = new LeaderSession(this.#deps)
        log.info(`This process leads term ${replica.term}.`)
      }
      await replica.changed.waitBeyond(seen, 1000, this.#stop.signal)
      await clock.sleep(0)
    }
  }
}
