import { expect } from 'chai'
import { TestGroup, type Node } from '../../consensus/fuzz/group.js'
import type { MemberRole } from '../../consensus/types.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { canPromote, findLostMember, MembershipManager } from './index.js'

const NOW = 10_000
const LONG_AGO = 5000

function createMember (id: string, confirmedAt: number | null, changes: { role?: MemberRole, address?: string, matchIndex?: number } = {}) {
  return { id, instance: `i-${id}`, address: `${id}:7000`, role: 'voter' as MemberRole, matchIndex: 1, confirmedAt, ...changes }
}

/** Last index of the leader's log; learners are far behind it unless a test says otherwise. */
const LAST_INDEX = 100

function find (members: ReadonlyArray<ReturnType<typeof createMember>>, since = 0): string | undefined {
  return findLostMember({ members, lastIndex: LAST_INDEX }, NOW, () => since)?.id
}

describe('findLostMember', () => {
  const completeGroup = [createMember('a', NOW), createMember('b', NOW), createMember('c', NOW)]

  it('finds no member when all respond', () => {
    expect(find(completeGroup)).to.equal(undefined)
  })

  it('keeps an unresponsive voter while no new member has joined', () => {
    expect(find([createMember('a', NOW), createMember('b', NOW), createMember('c', LONG_AGO)])).to.equal(undefined)
  })

  it('finds the unresponsive voter once a new voter has joined', () => {
    expect(find([createMember('a', NOW), createMember('b', NOW), createMember('c', LONG_AGO), createMember('d', NOW)])).to.equal('c')
  })

  it('finds the unresponsive voter of an odd number once a learner has caught up', () => {
    const members = (matchIndex: number) => [createMember('a', NOW), createMember('b', NOW), createMember('c', LONG_AGO), createMember('d', NOW, { role: 'learner', matchIndex })]
    expect(find(members(1)), 'behind').to.equal(undefined)
    expect(find(members(LAST_INDEX))).to.equal('c')
  })

  it('finds the voter that has been unresponsive for longest', () => {
    expect(find([createMember('a', NOW), createMember('b', LONG_AGO), createMember('c', LONG_AGO - 1000), createMember('d', NOW), createMember('e', NOW), createMember('f', NOW)])).to.equal('c')
  })

  it('keeps two voters, one of which is unresponsive', () => {
    expect(find([createMember('a', NOW), createMember('b', LONG_AGO), createMember('c', NOW, { role: 'learner', matchIndex: LAST_INDEX })])).to.equal(undefined)
  })

  it('finds a member whose address has another data folder once the new member is a voter', () => {
    const replacedMember = createMember('c', LONG_AGO, { address: 'x:7000' })
    expect(find([...completeGroup.slice(0, 2), replacedMember, createMember('d', NOW, { address: 'x:7000', role: 'learner' })])).to.equal(undefined)
    expect(find([...completeGroup.slice(0, 2), replacedMember, createMember('d', NOW, { address: 'x:7000' })])).to.equal('c')
  })

  it('finds a member whose address has another data folder before the new member, once caught up, is a voter', () => {
    const members = [...completeGroup.slice(0, 2), createMember('c', NOW - 1000, { address: 'x:7000' }), createMember('d', NOW, { address: 'x:7000', role: 'learner', matchIndex: LAST_INDEX })]
    expect(find(members)).to.equal('c')
  })

  it('gives each member time to answer a new leader', () => {
    const members = [...completeGroup, createMember('d', null)]
    expect(find(members, NOW - 1000)).to.equal(undefined)
    expect(find(members, NOW - 2000)).to.equal('d')
  })

  it('finds an unresponsive learner', () => {
    expect(find([...completeGroup, createMember('d', LONG_AGO, { role: 'learner' })])).to.equal('d')
  })
})

describe('canPromote', () => {
  const learner = createMember('d', NOW, { role: 'learner' })

  it('promotes a learner while it and all voters answer', () => {
    expect(canPromote(learner, [createMember('a', NOW), createMember('b', NOW), createMember('c', NOW - 200), learner], NOW, 160)).to.equal(true)
  })

  it('holds a learner that no longer answers', () => {
    const silentLearner = createMember('d', NOW - 1000, { role: 'learner' })
    expect(canPromote(silentLearner, [createMember('a', NOW), createMember('b', NOW), createMember('c', NOW), silentLearner], NOW, 160)).to.equal(false)
  })

  it('holds it while the quorum would grow and a voter is quiet, or has never answered this leader', () => {
    for (const confirmedAt of [NOW - 1000, null]) expect(canPromote(learner, [createMember('a', NOW), createMember('b', NOW), createMember('c', confirmedAt), learner], NOW, 160)).to.equal(false)
  })

  it('promotes it beside a quiet voter while the quorum does not grow', () => {
    expect(canPromote(learner, [createMember('a', NOW), createMember('b', NOW), createMember('c', NOW), createMember('e', LONG_AGO), learner], NOW, 160)).to.equal(true)
  })
})

describe('MembershipManager', () => {
  /** Loses members for good, lets one new member join, and loses that one as soon as it is a voter. */
  async function loseNewVoter (size: number, lostCount: number, lines: string[] = []): Promise<TestGroup> {
    const group = new TestGroup(size + 1, size)
    await group.bootstrap(size)
    const leader = group.leader() as Node
    const replica = leader.replica as NonNullable<Node['replica']>
    const manager = new MembershipManager(replica, group.clock, new EventLog('test', group.clock, { writableLength: 0, write: (line: string) => { lines.push(line) } }))
    const stop = new AbortController()
    void manager.run(stop.signal)
    for (const lost of group.nodes.filter((node) => node !== leader).slice(0, lostCount)) await group.crash(lost)
    await group.advance(1000)
    const newNode = group.nodes[size] as Node
    const isVoter = (): boolean => replica.status().members.some(({ id, role }) => id === newNode.id && role === 'voter')
    void manager.join({ id: newNode.id, instance: newNode.disk.instance, address: newNode.id })
    for (let waitedMs = 0; waitedMs < 6000 && !isVoter(); waitedMs += 10) await group.advance(10)
    expect(isVoter(), 'a new voter within 6 s').to.equal(true)
    await group.wipe(newNode)
    await group.advance(3000)
    stop.abort()
    return group
  }

  for (const [size, lostCount] of [[3, 1], [5, 1], [5, 2]] as const) {
    it(`keeps a quorum when ${lostCount} of ${size} members and then the replacement right after it has joined are lost`, async () => {
      const group = await loseNewVoter(size, lostCount)
      const committed = group.leader()?.replica?.propose('after the losses')
      await group.advance(500)
      expect(await committed).to.equal(0)
    })
  }

  it('logs that it holds a learner back and for whom, then the removal and the promotion', async () => {
    const lines: string[] = []
    await loseNewVoter(3, 1, lines)
    const events = lines.map((line) => JSON.parse(line) as { event: string, quiet?: string[], voters?: number })
    expect(events.map(({ event }) => event).slice(0, 4)).to.have.members(['group.held', 'group.joined', 'group.removed', 'group.promoted'])
    expect(events.find(({ event }) => event === 'group.held')?.quiet).to.have.length(1)
    expect(events.find(({ event }) => event === 'group.removed')?.voters).to.equal(2)
  })

  it('gives a new member time to answer, also when this process has led for long', async () => {
    const group = new TestGroup(4, 1)
    await group.bootstrap(3)
    await group.advance(3000)
    const replica = group.leader()?.replica as NonNullable<Node['replica']>
    const lines: string[] = []
    const manager = new MembershipManager(replica, group.clock, new EventLog('test', group.clock, { writableLength: 0, write: (line: string) => { lines.push(line) } }))
    const stop = new AbortController()
    void manager.run(stop.signal)
    await group.advance(500)
    const newNode = group.nodes[3] as Node
    for (const { id } of group.nodes) group.faults.cut.add(`${id}>${newNode.id}`)
    void manager.join({ id: newNode.id, instance: newNode.disk.instance, address: newNode.id })
    await group.advance(900)
    group.heal()
    await group.advance(1000)
    stop.abort()
    expect(lines.filter((line) => line.includes('group.removed'))).to.deep.equal([])
    expect(replica.status().members.find(({ id }) => id === newNode.id)?.role).to.equal('voter')
  })
})
