import { expect } from 'chai'
import { TestGroup, type Node } from '../fuzz/group.js'
import type { Replica } from './index.js'

/** Values that a field of a message must not have. */
const MALFORMED = [undefined, null, Number.NaN, -1, 1.5, '7', {}, [], Number.POSITIVE_INFINITY]

/** A quarter of the smallest disk of a control machine: the log is written again before the old one is removed. */
const MAX_LOG_BYTES = 128 * 1024 * 1024 / 4

type Message = Record<string, unknown>

function createMessages (target: string, term: number, leader: Node): Record<'onVote' | 'onAppend' | 'onSnapshot', Message> {
  const self = { id: leader.id, instance: leader.disk.instance, address: leader.id, role: 'voter' }
  return {
    onVote: { term, candidate: leader.disk.instance, target, lastIndex: 99, lastTerm: 99, pre: false },
    onAppend: { term, leader: self, target, prevIndex: 0, prevTerm: 0, entries: [], commitIndex: 0 },
    onSnapshot: { term, leader: self, target, index: 9, snapshotTerm: 1, members: [], offset: 0, total: 4, data: 'AAAA' }
  }
}

describe('Replica', () => {
  it('rejects malformed messages of peers and goes on with its term and log', async () => {
    const group = new TestGroup(3, 1)
    await group.bootstrap(3)
    const leader = group.leader() as Node
    const follower = group.nodes.find((node) => node !== leader) as Node
    const { term } = follower.replica as Replica
    for (const [call, message] of Object.entries(createMessages(follower.disk.instance, term + 3, leader))) {
      for (const field of Object.keys(message).filter((name) => name !== 'pre')) {
        for (const value of MALFORMED) {
          if (isAllowed(field, value)) continue
          const send = (follower.replica as unknown as Record<string, (req: unknown) => Promise<unknown>>)[call]?.bind(follower.replica)
          const answer = await Promise.race([Promise.resolve().then(() => send?.({ ...message, [field]: value })).then(() => 'answered', (err: Error) => err.name), group.clock.advance(40).then(() => 'answered')])
          // A message for another data folder is answered, since it may be a valid one for an earlier folder.
          if (field !== 'target') expect(answer, `${call}, ${field}: ${String(value)}`).to.equal('MalformedMessageError')
          expect(follower.replica?.term, `${call}, ${field}: ${String(value)}`).to.equal(term)
        }
      }
    }
    const committed = leader.replica?.propose('afterwards')
    await group.advance(500)
    expect(await committed).to.equal(0)
    expect(group.errors).to.deep.equal([])
    for (const node of group.nodes) await group.crash(node)
  })

  it('reports the failure of its storage while it follows, so that the process restarts and catches up', async () => {
    const group = new TestGroup(3, 1)
    await group.bootstrap(3)
    const follower = group.nodes.find((node) => node !== group.leader()) as Node
    const propose = async (value: string): Promise<void> => {
      const committed = group.leader()?.replica?.propose(value)
      await group.advance(1000)
      await committed
    }
    follower.disk.isFull = true
    await propose('while the disk is full')
    expect(group.errors).not.to.deep.equal([])
    await group.crash(follower)
    follower.disk.isFull = false
    await group.start(follower)
    await propose('afterwards')
    expect(follower.machine.history.slice(-2)).to.deep.equal(['while the disk is full', 'afterwards'])
    for (const node of group.nodes) await group.crash(node)
  })

  it('compacts its log by the size of its entries, so that hundreds of large ones do not fill memory and disk', async () => {
    const group = new TestGroup(3, 1, { compactAfterEntries: 4096 })
    await group.bootstrap(3)
    const leader = group.leader() as Node
    for (let i = 0; i < 200; i++) {
      const committed = leader.replica?.propose(`${i} `.padEnd(700_000, 'x'))
      await group.advance(40)
      await committed
      for (const { machine } of group.nodes) machine.history.splice(0, machine.history.length - 1)
    }
    await group.advance(500)
    for (const { disk } of group.nodes) {
      const bytes = disk.records.reduce((sum, record) => sum + (record.kind === 'entry' ? String(record.entry.data).length : 0), 0)
      expect(bytes).to.be.below(MAX_LOG_BYTES)
    }
    for (const node of group.nodes) await group.crash(node)
  })
})

/** Entries and members may be empty, and the data of a chunk and names are any text. */
function isAllowed (field: string, value: unknown): boolean {
  if (field === 'entries' || field === 'members') return Array.isArray(value)
  return (field === 'candidate' || field === 'target' || field === 'data') && typeof value === 'string'
}
