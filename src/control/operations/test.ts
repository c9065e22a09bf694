import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { DEFAULT_TIMINGS } from '../../consensus/constants.js'
import { TestGroup, type Node } from '../../consensus/fuzz/group.js'
import type { Replica } from '../../consensus/replica/index.js'
import { parseRules } from '../../contracts/rules/index.js'
import { createFleetData } from '../../state/types.js'
import { ControlDaemon, type ControlDeps } from '../daemon/index.js'
import type { LeaderSession } from '../session/index.js'
import { Operations, type ApplyRequest } from './index.js'

const VMS = ['a', 'b'].map((id) => ({ id, rack: 'r', zone: 'z', pool: 'p', cores: 1, memoryGb: 1, accelerators: 0 }))

function requestWith (pool: string): ApplyRequest {
  const { rules } = parseRules(`services:\n  s: { pools: [${pool}], budget: { maxDown: 1 } }\n`, 'rules')
  return { operation: 'o', expectedVersion: 0, by: 't', summary: '', vms: VMS, rules }
}

describe('Operations', () => {
  let isInForce: boolean
  let proposalCount: number
  let operations: Operations

  beforeEach(() => {
    isInForce = true
    proposalCount = 0
    const session = {
      signal: new AbortController().signal,
      propose: () => {
        proposalCount += 1
        return Promise.resolve({ status: 'accepted', version: 1, rev: 1 })
      },
      entries: { isInForce: () => isInForce, waitUntilInForce: () => Promise.resolve({ acknowledged: ['e1'], fenced: [] }) }
    }
    operations = new Operations({ leader: null } as Replica, session as unknown as LeaderSession, createFleetData(), new ManualClock())
  })

  it('reports that a change is in force, and on which entries', async () => {
    expect(await operations.apply(requestWith('p'))).to.deep.include({ status: 'accepted', inForce: { acknowledged: ['e1'], fenced: [] } })
  })

  it('throws NotLeaderError when leadership ends before the change is in force', async () => {
    isInForce = false
    const err = await operations.apply(requestWith('p')).then(() => null, (error: unknown) => error as Error)
    expect(err?.name).to.equal('NotLeaderError')
  })

  it('rejects rules that do not match the inventory before it proposes anything', async () => {
    const err = await operations.apply(requestWith('q')).then(() => null, (error: unknown) => error as Error)
    expect(err?.message).to.include('names pool q')
    expect(proposalCount).to.equal(0)
  })
})

describe('Operations.addMember', () => {
  interface Replacement { readonly group: TestGroup, readonly leader: Replica, readonly lost: Node, readonly spare: Node, readonly added: Promise<string> }

  /** Replaces one of three members, which are lost or not. */
  async function replaceOne (isLost: boolean): Promise<Replacement> {
    const group = new TestGroup(4, 1, { timings: DEFAULT_TIMINGS })
    await group.bootstrap(3)
    await group.advance(2000)
    const leaderNode = group.leader() as Node
    const leader = leaderNode.replica as Replica
    // The process decides when a learner of its group may become a voter.
    expect(new ControlDaemon({ clock: group.clock, replica: leader } as unknown as ControlDeps).replica).to.equal(leader)
    const [lost, spare] = [group.nodes.slice(0, 3).find((node) => node !== leaderNode) as Node, group.nodes[3] as Node]
    if (isLost) await group.crash(lost)
    await group.advance(2000)
    const session = { signal: new AbortController().signal } as unknown as LeaderSession
    const added = new Operations(leader, session, createFleetData(), group.clock).addMember({ id: spare.id, instance: spare.disk.instance, address: spare.id }, lost.id)
    return { group, leader, lost, spare, added }
  }

  const listVoters = (leader: Replica): string[] => leader.status().members.filter(({ role }) => role === 'voter').map(({ id }) => id)

  it('keeps a quorum when the new member is lost as soon as it is a voter in the place of a lost one', async () => {
    const { group, leader, spare, added } = await replaceOne(true)
    added.catch(() => {})
    for (let waitedMs = 0; waitedMs < 6000 && !listVoters(leader).includes(spare.id); waitedMs += 10) await group.advance(10)
    expect(listVoters(leader)).to.include(spare.id)
    await group.wipe(spare)
    await group.advance(3000)
    const committed = group.leader()?.replica?.propose('after the losses')
    await group.advance(1000)
    expect(await committed).to.equal(0)
  })

  it('adds the new member before it removes one that answers', async () => {
    const { group, leader, lost, spare, added } = await replaceOne(false)
    let fewestVoters = 3
    for (let waitedMs = 0; waitedMs < 3000; waitedMs += 10) {
      await group.advance(10)
      fewestVoters = Math.min(fewestVoters, listVoters(leader).length)
    }
    expect(await added).to.include(`has replaced ${lost.id}`)
    expect(listVoters(leader)).to.include(spare.id).and.not.to.include(lost.id)
    expect(fewestVoters).to.equal(3)
  })
})
