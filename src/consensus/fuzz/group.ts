/** A group of replicas with a simulated network and simulated disks, for tests. */
import { randomBytes } from 'node:crypto'
import { Packr } from 'msgpackr/pack'
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus'
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64'
import { ManualClock } from '../../clock/index.js'
import { ProcessClock } from '../../clock/processClock/index.js'
import { MemoryDisk, MemoryStore } from '../memoryStore/index.js'
import { Replica } from '../replica/index.js'
import type { AppendRequest, AppendResponse, ConsensusTimings, Member, PeerTransport, StateMachine } from '../types.js'

const TIMINGS = { heartbeatMs: 50, electionMinMs: 150, electionMaxMs: 300 }
const CALL_TIMEOUT_MS = 120
/** Longer than most message deliveries, so that crashes occur while writes are not yet synced. */
const SYNC_DURATION_MS = 8

/** State machine that appends each new value to a history, which the tests compare between nodes. */
export class AppendMachine implements StateMachine {
  history: string[] = []

  apply (_index: number, command: unknown): unknown {
    const value = String(command)
    const knownPosition = this.history.indexOf(value)
    if (knownPosition !== -1) return knownPosition
    this.history.push(value)
    return this.history.length - 1
  }

  serialize (): Uint8Array {
    return new Packr().pack(this.history)
  }

  restore (data: Uint8Array): void {
    this.history = new Packr().unpack(data) as string[]
  }
}

/** A simulated node; its disk outlives its replica. */
export interface Node {
  readonly id: string
  disk: MemoryDisk
  store: MemoryStore | null
  replica: Replica | null
  machine: AppendMachine
}

/** Faults of the network between the nodes. */
export interface NetworkFaults {
  lossRate: number
  duplicateRate: number
  maxDelayMs: number
  /** Pairs `from>to` between which all messages are lost. */
  readonly cut: Set<string>
  /** Bandwidth of the link of each node for the appends that it sends, in bytes per millisecond. */
  bytesPerMs: number
  /** Appends of more bytes are not sent. */
  maxAppendBytes: number
}

/** Options of a {@link TestGroup}. */
export interface TestGroupOptions {
  readonly timings?: ConsensusTimings
  /** Applied entries after which a snapshot is taken. */
  readonly compactAfterEntries?: number
}

/** A simulated group and its network. */
export class TestGroup {
  readonly clock = new ManualClock()
  readonly nodes: Node[] = []
  readonly faults: NetworkFaults = { lossRate: 0, duplicateRate: 0, maxDelayMs: 3, cut: new Set(), bytesPerMs: Number.POSITIVE_INFINITY, maxAppendBytes: Number.POSITIVE_INFINITY }
  readonly leadersByTerm = new Map<number, string>()
  readonly errors: unknown[] = []
  /** Ids of the peers that have left messages of a leader unanswered. */
  readonly silences: string[] = []
  #processCount = 0
  readonly #random: () => number
  readonly #options: Required<TestGroupOptions>
  /** When the last append of a node has been transferred, by id of the node. */
  readonly #linkFreeAt = new Map<string, number>()

  /**
   * @param size - number of nodes
   * @param seed - seed of all random choices
   * @param options - timings and compaction
   */
  constructor (size: number, seed: number, { timings = TIMINGS, compactAfterEntries = 8 }: TestGroupOptions = {}) {
    this.#options = { timings, compactAfterEntries }
    const generator = xoroshiro128plus(seed)
    this.#random = () => uniformFloat64(generator)
    for (let i = 0; i < size; i += 1) this.nodes.push(this.#createNode(`c${i}`))
  }

  /** Starts all nodes and bootstraps a group whose voters are the first ones. */
  async bootstrap (voters: number): Promise<void> {
    for (const node of this.nodes) await this.start(node)
    const members = this.nodes.slice(0, voters).map((node) => ({ id: node.id, instance: node.disk.instance, address: node.id }))
    const bootstrapped = this.nodes[0]?.replica?.bootstrap(members)
    await this.clock.advance(1000)
    await bootstrapped
  }

  async start (node: Node): Promise<void> {
    if (node.replica !== null) return
    node.machine = new AppendMachine()
    node.store = new MemoryStore(node.disk, this.clock, SYNC_DURATION_MS)
    node.replica = new Replica({
      id: node.id,
      address: node.id,
      store: node.store,
      machine: node.machine,
      clock: this.clock,
      processClock: new ProcessClock(this.clock, ++this.#processCount),
      timings: this.#options.timings,
      compaction: { afterEntries: this.#options.compactAfterEntries, afterBytes: 16 * 1024 * 1024, keepEntries: 2, keepBytes: 4 * 1024 * 1024 },
      random: this.#random,
      transport: this.#transportOf(node),
      onFatal: (err) => { this.errors.push(err) },
      onPeerSilent: (peer) => { this.silences.push(peer.id) }
    })
    await node.replica.start()
  }

  async crash (node: Node): Promise<void> {
    const replica = node.replica
    node.replica = null
    node.store?.crash()
    await replica?.stop()
  }

  async wipe (node: Node): Promise<void> {
    await this.crash(node)
    node.disk = new MemoryDisk(randomBytes(4).toString('hex'))
  }

  /** Returns the leader of the highest term, if any node leads. */
  leader (): Node | undefined {
    const leaders = this.nodes.filter((node) => node.replica?.isReadyLeader === true)
    return leaders.sort((a, b) => (b.replica?.term ?? 0) - (a.replica?.term ?? 0))[0]
  }

  /** Records the leader of each term, and an error when a term has two leaders. */
  checkLeaders (): void {
    for (const node of this.nodes) {
      if (node.replica?.isLeader !== true) continue
      const { term } = node.replica
      const knownLeader = this.leadersByTerm.get(term) ?? node.disk.instance
      if (knownLeader !== node.disk.instance) this.errors.push(new Error(`two leaders in term ${term}`))
      this.leadersByTerm.set(term, knownLeader)
    }
  }

  async advance (ms: number): Promise<void> {
    for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += 10) {
      await this.clock.advance(10)
      this.checkLeaders()
    }
  }

  heal (): void {
    this.faults.cut.clear()
    this.faults.lossRate = 0
    this.faults.duplicateRate = 0
    this.faults.maxDelayMs = 3
  }

  #createNode (id: string): Node {
    return { id, disk: new MemoryDisk(randomBytes(4).toString('hex')), store: null, replica: null, machine: new AppendMachine() }
  }

  #transportOf (from: Node): PeerTransport {
    return {
      vote: (peer, req) => this.#call(from, peer, (to) => to.onVote(req)),
      append: (peer, req, timeoutMs) => this.#append(from, peer, req, timeoutMs),
      snapshot: (peer, req) => this.#call(from, peer, (to) => to.onSnapshot(req))
    }
  }

  /** Sends an append, which takes its time on a link of limited bandwidth, also after the sender has given the call up. */
  #append (from: Node, peer: Member, req: AppendRequest, timeoutMs: number): Promise<AppendResponse> {
    const { bytesPerMs, maxAppendBytes } = this.faults
    const handle = (to: Replica): Promise<AppendResponse> => to.onAppend(structuredClone(req))
    // A connection that is cut carries nothing and does not hold the others up.
    if (bytesPerMs === Number.POSITIVE_INFINITY || this.faults.cut.has(`${from.id}>${peer.address}`)) return this.#call(from, peer, handle, bytesPerMs === Number.POSITIVE_INFINITY ? CALL_TIMEOUT_MS : timeoutMs)
    const bytes = new Packr({ useRecords: false }).pack(req).length
    if (bytes > maxAppendBytes) return Promise.reject(new Error(`an append of ${bytes} bytes is too large`))
    const transferredAt = Math.max(this.clock.now(), this.#linkFreeAt.get(from.id) ?? 0) + bytes / bytesPerMs
    this.#linkFreeAt.set(from.id, transferredAt)
    return this.#call(from, peer, async (to) => {
      await this.clock.sleep(Math.max(0, transferredAt - this.clock.now()))
      return await handle(to)
    }, timeoutMs)
  }

  #call<T> (from: Node, peer: Member, handle: (to: Replica) => Promise<T>, timeoutMs = CALL_TIMEOUT_MS): Promise<T> {
    const sender = from.replica
    return new Promise((resolve, reject) => {
      void this.clock.sleep(timeoutMs).then(() => { reject(new Error('timeout')) })
      const deliveries = this.#random() < this.faults.duplicateRate ? 2 : 1
      for (let i = 0; i < deliveries; i += 1) {
        void this.#deliver(from, peer, handle).then((res) => {
          if (res !== undefined && from.replica === sender) resolve(res)
        })
      }
    })
  }

  async #deliver<T> (from: Node, peer: Member, handle: (to: Replica) => Promise<T>): Promise<T | undefined> {
    const to = this.nodes.find((node) => node.id === peer.address)
    if (to === undefined || !await this.#crossesNetwork(from, to) || to.replica === null) return undefined
    const res = await handle(to.replica)
    if (!await this.#crossesNetwork(to, from)) return undefined
    return structuredClone(res)
  }

  async #crossesNetwork (from: Node, to: Node): Promise<boolean> {
    await this.clock.sleep(this.#random() * this.faults.maxDelayMs)
    return !this.faults.cut.has(`${from.id}>${to.id}`) && this.#random() >= this.faults.lossRate
  }
}
