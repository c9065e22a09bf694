import { expect } from 'chai'
import { MAX_FRAME_BYTES } from '../../links/frames/index.js'
import { REGIONAL_TIMINGS } from '../constants.js'
import { TestGroup, type Node } from '../fuzz/group.js'

/** 200 Mbit/s, the smallest link of a control machine. */
const BYTES_PER_MS = 25_000

/** A configuration with 1,700 queues. */
const LARGE_BYTES = 700_000

/** The platform's bound from the return of the machines to service. */
const RECOVERY_MS = 15_000

const createLarge = (i: number): string => `${i} `.padEnd(LARGE_BYTES, 'x')

/** A group on links of limited bandwidth that keeps all entries in its log. */
async function createGroup (size: number): Promise<{ readonly group: TestGroup, readonly leader: Node, readonly followers: readonly Node[] }> {
  const group = new TestGroup(size, 1, { timings: REGIONAL_TIMINGS, compactAfterEntries: 4096 })
  group.faults.bytesPerMs = BYTES_PER_MS
  group.faults.maxAppendBytes = MAX_FRAME_BYTES
  await group.bootstrap(size)
  await group.advance(1000)
  const leader = group.leader() as Node
  return { group, leader, followers: group.nodes.filter((node) => node !== leader) }
}

function cut (group: TestGroup, node: Node): void {
  for (const other of group.nodes) if (other !== node) group.faults.cut.add(`${node.id}>${other.id}`).add(`${other.id}>${node.id}`)
}

async function stop (group: TestGroup): Promise<void> {
  for (const node of group.nodes) await group.crash(node)
  expect(group.errors).to.deep.equal([])
}

/** Advances until a command is committed by whichever member leads, and returns the time that it took. */
async function commitAnything (group: TestGroup, boundMs: number): Promise<number> {
  const startedAt = group.clock.now()
  let isCommitted = false
  for (let i = 0; !isCommitted && group.clock.now() - startedAt < boundMs; i++) {
    group.leader()?.replica?.propose(`afterwards ${i}`).then(() => { isCommitted = true }, () => {})
    await group.advance(100)
  }
  return group.clock.now() - startedAt
}

describe('PeerReplication', () => {
  for (const missed of [20, 60]) {
    it(`lets a member that missed ${missed} large entries catch up while it is needed for the majority`, async () => {
      const { group, leader, followers: [lagging, lost] } = await createGroup(3)
      cut(group, lagging as Node)
      for (let i = 0; i < missed; i++) {
        const committed = leader.replica?.propose(createLarge(i))
        await group.advance(100)
        await committed
      }
      group.faults.cut.clear()
      await group.crash(lost as Node)
      expect(await commitAnything(group, RECOVERY_MS)).to.be.below(RECOVERY_MS)
      await stop(group)
    })
  }

  it('commits an entry of 2 MiB', async () => {
    const { group, leader } = await createGroup(5)
    const committed = leader.replica?.propose('y'.repeat(2 * 1024 * 1024))
    await group.advance(RECOVERY_MS)
    expect(await Promise.race([committed, Promise.resolve('pending')])).to.equal(0)
    await stop(group)
  })

  it('keeps the leader confirmed while followers receive large entries', async () => {
    const { group, leader, followers } = await createGroup(5)
    for (const node of followers.slice(0, 2)) cut(group, node)
    for (let i = 0; i < 20; i++) {
      const committed = leader.replica?.propose(createLarge(i))
      await group.advance(100)
      await committed
    }
    group.faults.cut.clear()
    const { term } = leader.replica as { term: number }
    for (const node of followers.slice(2)) await group.crash(node)
    await group.advance(5000)
    expect(leader.replica).to.include({ isLeader: true, term })
    await stop(group)
  })

  it('tells once that a peer leaves messages unanswered, until it has answered again', async () => {
    const group = new TestGroup(3, 1)
    await group.bootstrap(3)
    const leader = group.leader() as Node
    const [follower] = group.nodes.filter((node) => node !== leader) as [Node]
    const countSilences = (): number => group.silences.filter((id) => id === follower.id).length
    const before = countSilences()
    for (let i = 1; i <= 2; i++) {
      group.faults.cut.add(`${leader.id}>${follower.id}`)
      await group.advance(1000)
      expect(countSilences()).to.equal(before + i)
      group.faults.cut.clear()
      await group.advance(1000)
    }
    for (const node of group.nodes) await group.crash(node)
  })

  it('knows the clock of each peer that has confirmed the leader, and that of the new process after a restart', async () => {
    const { group, leader, followers } = await createGroup(3)
    const readClock = (node: Node) => leader.replica?.clockOf(node.disk.instance)?.translate(group.clock.now())
    const [follower] = followers as [Node]
    for (const node of followers) expect(readClock(node)?.ms).to.be.within(group.clock.now() - 10, group.clock.now())
    expect(leader.replica?.clockOf('unknown') ?? null).to.equal(null)
    expect(follower.replica?.clockOf(leader.disk.instance), 'of a member that does not lead').to.equal(null)
    const processBefore = readClock(follower)?.process
    await group.crash(follower)
    await group.start(follower)
    await group.advance(1000)
    expect(readClock(follower)?.process).not.to.equal(processBefore)
    expect(readClock(follower)?.ms).to.be.within(group.clock.now() - 10, group.clock.now())
    await stop(group)
  })

  it('knows the clock of each member that it may call through, at any moment after an election', async () => {
    const { group, leader } = await createGroup(3)
    await group.crash(leader)
    for (let i = 0; i < 300; i++) {
      await group.advance(10)
      const next = group.leader()?.replica
      for (const { instance, confirmedAt } of next?.status().members ?? []) {
        if (instance !== next?.status().instance && Number.isFinite(confirmedAt)) expect(next?.clockOf(instance)?.translate(0)).to.be.an('object')
      }
    }
    expect(group.leader()).not.to.equal(undefined)
    await stop(group)
  })
})
