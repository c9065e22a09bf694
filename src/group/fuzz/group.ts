/** A simulated group whose members join, replace each other and return, for tests. */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformInt } from 'pure-rand/distribution/uniformInt'
import { REGIONAL_TIMINGS } from '../../consensus/constants.js'
import { TestGroup, type Node } from '../../consensus/fuzz/group.js'
import type { Replica } from '../../consensus/replica/index.js'
import type { Member } from '../../consensus/types.js'
import type { MsgpackLinks } from '../../links/msgpackLink/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { GroupBootstrapper } from '../bootstrapper/index.js'
import { MembershipManager } from '../membershipManager/index.js'

const PROPOSAL_INTERVAL_MS = 100

type JoinRequest = Omit<Member, 'role'> & { readonly isForwarded?: boolean }

interface Life {
  readonly manager: MembershipManager
  readonly bootstrapper: GroupBootstrapper
  readonly stop: AbortController
}

/** A {@link TestGroup} whose processes also form the group, join it and maintain its members. */
export class ChangingGroup {
  readonly group: TestGroup
  /** Positions of the acknowledged values. */
  readonly acknowledged = new Map<string, number>()
  readonly #lives = new Map<Node, Life>()
  readonly #seedsOf = new Map<Node, readonly string[]>()
  readonly #generator: ReturnType<typeof xoroshiro128plus>
  #nextValue = 0

  /**
   * @param size - number of machines, spare ones included
   * @param seed - seed of all random choices
   */
  constructor (size: number, seed: number) {
    this.group = new TestGroup(size, seed, { timings: REGIONAL_TIMINGS })
    this.#generator = xoroshiro128plus(seed)
  }

  /** Returns a random integer below a bound. */
  randomBelow (bound: number): number {
    return uniformInt(this.#generator, 0, bound - 1)
  }

  /** Machines whose processes run. */
  get running (): Node[] {
    return this.group.nodes.filter((node) => this.#lives.has(node))
  }

  /** Voters of the newest leader's membership. */
  get voters (): string[] {
    const members = this.group.leader()?.replica?.status().members ?? []
    return members.filter(({ role }) => role === 'voter').map(({ address }) => address)
  }

  /**
   * Starts the process of a machine.
   *
   * @param node - the machine
   * @param seeds - addresses in its settings
   * @param isFirstStart - whether the whole group starts for the first time
   */
  async start (node: Node, seeds: readonly string[], isFirstStart = false): Promise<void> {
    await this.group.start(node)
    const replica = node.replica as Replica
    const { clock } = this.group
    const log = new EventLog('test', clock, { writableLength: 0, write: () => {} })
    this.#seedsOf.set(node, seeds)
    const bootstrapper = new GroupBootstrapper({ replica, clock, links: this.#linksOf(node), log, id: node.id, address: node.id, isFirstStart, seeds: () => this.#seedsOf.get(node) ?? [] })
    const life: Life = { manager: new MembershipManager(replica, clock, log), bootstrapper, stop: new AbortController() }
    this.#lives.set(node, life)
    void bootstrapper.run(life.stop.signal)
    void life.manager.run(life.stop.signal)
  }

  /** Changes the addresses in the settings of a machine. */
  setSeeds (node: Node, seeds: readonly string[]): void {
    this.#seedsOf.set(node, seeds)
  }

  /**
   * Ends the process of a machine and keeps its disk.
   *
   * @param node - the machine
   * @param isGraceful - whether it hands its leadership over first
   */
  async stop (node: Node, isGraceful: boolean): Promise<void> {
    const term = node.replica?.term ?? 0
    const successor = isGraceful ? node.replica?.resign() : null
    this.#lives.get(node)?.stop.abort()
    this.#lives.delete(node)
    await this.group.crash(node)
    if (successor != null) void this.group.nodes.find(({ id }) => id === successor.address)?.replica?.startElectionNow(term)
  }

  /** Cuts a machine off from all others, or joins it with them again. */
  setCutOff (node: Node, isCutOff: boolean): void {
    const { cut } = this.group.faults
    for (const { id } of this.group.nodes) {
      for (const direction of [`${id}>${node.id}`, `${node.id}>${id}`]) {
        if (isCutOff) cut.add(direction)
        else cut.delete(direction)
      }
    }
  }

  /** Lets time pass while values are proposed to the leader. */
  async advance (ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += PROPOSAL_INTERVAL_MS) {
      const value = `v${this.#nextValue++}`
      this.group.leader()?.replica?.propose(value).then((position) => { this.acknowledged.set(value, position as number) }, () => {})
      await this.group.advance(Math.min(PROPOSAL_INTERVAL_MS, ms - elapsedMs))
    }
  }

  #linksOf (from: Node): MsgpackLinks {
    return { to: (address: string) => ({ call: (name: string, input: JoinRequest, timeoutMs: number) => this.#call(from, address, name, input, timeoutMs) }) } as unknown as MsgpackLinks
  }

  async #call (from: Node, address: string, name: string, input: JoinRequest, timeoutMs: number): Promise<unknown> {
    const to = this.group.nodes.find(({ id }) => id === address)
    const life = to === undefined ? undefined : this.#lives.get(to)
    const { clock, faults } = this.group
    if (to === undefined || life === undefined || faults.cut.has(`${from.id}>${address}`) || faults.cut.has(`${address}>${from.id}`)) {
      await clock.sleep(timeoutMs)
      throw new Error('the call was not answered within its timeout')
    }
    await clock.sleep(faults.maxDelayMs)
    return await (name === 'hello' ? life.bootstrapper.hello() : this.#join(to, life, input))
  }

  /** Handles a request to join as a control process does. */
  async #join (node: Node, { manager }: Life, { isForwarded, ...member }: JoinRequest): Promise<boolean> {
    const replica = node.replica as Replica
    if (replica.isLeader) {
      await manager.join(member)
      return true
    }
    if (isForwarded === true || replica.leader === null) throw new Error('not the leader')
    return await this.#call(node, replica.leader.address, 'join', { ...member, isForwarded: true }, 1000) as boolean
  }
}
