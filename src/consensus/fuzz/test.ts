import { expect } from 'chai'
import fc from 'fast-check'
import { TestGroup, type Node } from './group.js'

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 60)
const SEED = Number(process.env['SEED'] ?? 7)

type FuzzAction =
  | { kind: 'propose', node: number, times: number }
  | { kind: 'crash' | 'start' | 'wipe' | 'isolate', node: number }
  | { kind: 'cut', from: number, to: number }
  | { kind: 'network', loss: number, duplicate: number, delay: number }
  | { kind: 'heal' | 'crashLeader' | 'powerLoss' }
  | { kind: 'split', side: readonly boolean[] }
  | { kind: 'wait', ms: number }
  | { kind: 'remove', node: number }
  | { kind: 'add', node: number }

const node = fc.nat(4)
const actionArbitrary: fc.Arbitrary<FuzzAction> = fc.oneof(
  { weight: 8, arbitrary: fc.record({ kind: fc.constant('propose' as const), node, times: fc.integer({ min: 1, max: 8 }) }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constantFrom('crash' as const, 'start' as const, 'start' as const, 'isolate' as const), node }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('wipe' as const), node }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('cut' as const), from: node, to: node }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('network' as const), loss: fc.constantFrom(0, 0.1, 0.3), duplicate: fc.constantFrom(0, 0.3), delay: fc.constantFrom(3, 40, 150) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constantFrom('heal' as const, 'crashLeader' as const, 'powerLoss' as const) }) },
  { weight: 2, arbitrary: fc.record({ kind: fc.constant('split' as const), side: fc.array(fc.boolean(), { minLength: 5, maxLength: 5 }) }) },
  { weight: 5, arbitrary: fc.record({ kind: fc.constant('wait' as const), ms: fc.constantFrom(10, 10, 20, 50, 100, 300, 600) }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constantFrom('remove' as const, 'add' as const), node }) }
)

/** Runs actions on a group and records the acknowledged commands. */
class FuzzDriver {
  readonly group: TestGroup
  readonly acknowledged = new Map<string, number>()
  readonly wiped = new Set<Node>()
  #nextValue = 0

  constructor (seed: number) {
    this.group = new TestGroup(5, seed)
  }

  async run (actions: readonly FuzzAction[]): Promise<void> {
    await this.group.bootstrap(3)
    for (const action of actions) await this.#perform(action)
    this.group.heal()
    for (const each of this.group.nodes) await this.group.start(each)
    await this.group.advance(6000)
  }

  #nodeAt (index: number): Node {
    return this.group.nodes[index % this.group.nodes.length] as Node
  }

  async #perform (action: FuzzAction): Promise<void> {
    switch (action.kind) {
      case 'propose': { this.#propose(this.#nodeAt(action.node), action.times); break }
      case 'crash': { await this.group.crash(this.#nodeAt(action.node)); break }
      case 'start': { await this.group.start(this.#nodeAt(action.node)); break }
      case 'wipe': { await this.#wipe(this.#nodeAt(action.node)); break }
      case 'isolate': { this.#isolate(this.#nodeAt(action.node)); break }
      case 'cut': { this.group.faults.cut.add(`c${action.from}>c${action.to}`); break }
      case 'network': { Object.assign(this.group.faults, { lossRate: action.loss, duplicateRate: action.duplicate, maxDelayMs: action.delay }); break }
      case 'heal': { this.group.heal(); break }
      case 'crashLeader': { await this.#crashLeader(); break }
      case 'powerLoss': { await this.#losePower(); break }
      case 'split': { this.#split(action.side); break }
      case 'wait': { await this.group.advance(action.ms); break }
      case 'remove': { this.group.leader()?.replica?.removeMember(this.#nodeAt(action.node).id).catch(() => {}); break }
      case 'add': { this.#add(this.#nodeAt(action.node)); break }
    }
    this.group.checkLeaders()
  }

  /** Proposes values to the leader if there is one, otherwise to the given node. */
  #propose (fallback: Node, times: number): void {
    const target = this.group.leader() ?? fallback
    for (let i = 0; i < times; i += 1) {
      const value = `v${this.#nextValue++}`
      target.replica?.propose(value).then((position) => { this.acknowledged.set(value, position as number) }, () => {})
    }
  }

  /** Wipes at most one data folder per run: the group does not guarantee to survive the loss of two disks of three. */
  async #wipe (target: Node): Promise<void> {
    if (this.wiped.size > 0) return
    this.wiped.add(target)
    await this.group.wipe(target)
    await this.group.start(target)
  }

  #isolate (target: Node): void {
    for (const other of this.group.nodes) {
      this.group.faults.cut.add(`${target.id}>${other.id}`)
      this.group.faults.cut.add(`${other.id}>${target.id}`)
    }
  }

  async #crashLeader (): Promise<void> {
    const leader = this.group.leader()
    if (leader !== undefined) await this.group.crash(leader)
  }

  /** Crashes all nodes at once, so that they lose unsynced writes, and restarts them. */
  async #losePower (): Promise<void> {
    for (const each of this.group.nodes) await this.group.crash(each)
    for (const each of this.group.nodes) await this.group.start(each)
  }

  #split (side: readonly boolean[]): void {
    this.group.faults.cut.clear()
    for (const from of this.group.nodes.keys()) {
      for (const to of this.group.nodes.keys()) {
        if (side[from] !== side[to]) this.group.faults.cut.add(`c${from}>c${to}`)
      }
    }
  }

  #add (target: Node): void {
    this.group.leader()?.replica?.addMember({ id: target.id, instance: target.disk.instance, address: target.id }).catch(() => {})
  }
}

/** Checks that all histories agree and hold every acknowledged command at its position. */
function expectConsistentHistories (driver: FuzzDriver): void {
  const { group, acknowledged } = driver
  expect(group.errors).to.deep.equal([])
  const histories = group.nodes.map((each) => each.machine.history)
  const longest = histories.reduce((a, b) => b.length > a.length ? b : a, [])
  for (const history of histories) expect(history).to.deep.equal(longest.slice(0, history.length))
  // Without a lost disk the group must have a leader again. With one, a removal may have left too few voters for a quorum.
  const isAvailable = group.leader() !== undefined
  if (driver.wiped.size === 0) expect(isAvailable, 'a leader at the end').to.equal(true)
  if (!isAvailable) return
  for (const [value, position] of acknowledged) expect(longest[position], value).to.equal(value)
}

describe('replicated log under faults', () => {
  it('fuzz: keeps all acknowledged commands, unchanged and in order, and has at most one leader per term', async function () {
    this.timeout(RUNS * 2000)
    await fc.assert(fc.asyncProperty(fc.nat(), fc.array(actionArbitrary, { minLength: 10, maxLength: 80, size: 'max' }), async (seed, actions) => {
      const driver = new FuzzDriver(seed)
      await driver.run(actions)
      expectConsistentHistories(driver)
      for (const each of driver.group.nodes) await driver.group.crash(each)
    }), { numRuns: RUNS, seed: SEED })
  })

  it('elects a new leader and commits after a minority has crashed', async () => {
    const driver = new FuzzDriver(1)
    const { group } = driver
    await group.bootstrap(5)
    for (const lost of [0, 1]) {
      await group.crash(group.nodes[lost] as Node)
      await group.advance(2000)
      const committed = group.leader()?.replica?.propose(`after-${lost}`)
      await group.advance(500)
      expect(await committed).to.equal(lost)
    }
  })

  it('ignores the vote of a member whose data folder was emptied', async () => {
    const { group } = new FuzzDriver(2)
    await group.bootstrap(3)
    const [first, second, third] = group.nodes as [Node, Node, Node]
    await group.crash(first)
    await group.wipe(second)
    await group.start(second)
    await group.advance(3000)
    expect(third.replica?.isLeader).to.equal(false)
    expect(second.replica?.isLeader).to.equal(false)
  })

  it('replaces a lost member and tolerates the loss of a second one right afterwards', async () => {
    const { group } = new FuzzDriver(3)
    await group.bootstrap(3)
    const leader = group.leader() as Node
    const [lost, next] = group.nodes.slice(0, 3).filter((each) => each !== leader) as [Node, Node]
    const spare = group.nodes[3] as Node
    await group.crash(lost)
    const added = leader.replica?.addMember({ id: spare.id, instance: spare.disk.instance, address: spare.id })
    await group.advance(500)
    await added
    const removed = leader.replica?.removeMember(lost.id)
    await group.advance(500)
    await removed
    await group.crash(next)
    await group.advance(2000)
    const committed = group.leader()?.replica?.propose('after repair')
    await group.advance(500)
    expect(await committed).to.equal(0)
  })

  it('does not confirm leadership while partitioned, and steps down', async () => {
    const { group } = new FuzzDriver(4)
    await group.bootstrap(3)
    const leader = group.leader() as Node
    for (const other of group.nodes) {
      group.faults.cut.add(`${leader.id}>${other.id}`)
      group.faults.cut.add(`${other.id}>${leader.id}`)
    }
    const read = leader.replica?.confirmLeadership().then(() => 'confirmed', () => 'refused')
    await group.advance(1000)
    expect(await read).to.equal('refused')
    expect(leader.replica?.isLeader).to.equal(false)
  })

  it('grants a vote only once it is durable, and keeps a granted vote after a crash', async () => {
    const { group } = new FuzzDriver(5)
    await group.bootstrap(3)
    const voter = group.nodes[2] as Node
    for (const other of group.nodes.slice(0, 2)) await group.crash(other)
    const requestVote = (candidate: string, term: number): Promise<boolean> | undefined => voter.replica?.onVote({ term, candidate, target: voter.disk.instance, lastIndex: 99, lastTerm: 99, pre: false }).then((res) => res.granted)
    let isAnswered = false
    void requestVote('a', 50)?.then(() => { isAnswered = true })
    await group.clock.advance(2)
    expect(isAnswered).to.equal(false)
    await group.crash(voter)
    await group.start(voter)
    const first = requestVote('b', 50)
    await group.clock.advance(40)
    expect(await first).to.equal(true)
    await group.crash(voter)
    await group.start(voter)
    const second = requestVote('c', 50)
    await group.clock.advance(40)
    expect(await second).to.equal(false)
  })
})
