import { expect } from 'chai'
import { ManualClock, type Clock } from '../../clock/index.js'
import { TestGroup, type Node } from '../fuzz/group.js'
import type { Replica } from '../replica/index.js'
import { LeaderLease } from './index.js'

const ELECTION_MIN_MS = 150
const STEP_MS = 2

/** Advances a group in small steps and returns the most members that held the lease at the same moment. */
async function countHolders (group: TestGroup, leases: ReadonlyMap<Node, LeaderLease>, ms: number): Promise<number> {
  let most = 0
  for (let at = 0; at < ms; at += STEP_MS) {
    await group.clock.advance(STEP_MS)
    most = Math.max(most, [...leases.values()].filter((lease) => lease.isHeld()).length)
  }
  return most
}

async function startGroup (seed: number) {
  const group = new TestGroup(3, seed)
  await group.bootstrap(3)
  const leases = new Map(group.nodes.map((node) => [node, new LeaderLease(node.replica as Replica, group.clock, ELECTION_MIN_MS)]))
  const leader = group.leader() as Node
  return { group, leases, leader }
}

describe('LeaderLease', () => {
  it('is never held by two members while the leader hands over', async () => {
    for (let seed = 1; seed <= 20; seed++) {
      const { group, leases, leader } = await startGroup(seed)
      expect(leases.get(leader)?.isHeld()).to.equal(true)
      const { term } = leader.replica as Replica
      const successor = leader.replica?.resign()
      expect(leases.get(leader)?.isHeld(), 'held after resigning').to.equal(false)
      void group.nodes.find(({ id }) => id === successor?.id)?.replica?.startElectionNow(term)
      expect(await countHolders(group, leases, 1000), `seed ${seed}`).to.equal(1)
      expect(group.leader()).to.not.equal(leader)
      for (const node of group.nodes) await group.crash(node)
    }
  })

  it('is never held by two members while the leader is cut off and replaced', async () => {
    for (let seed = 1; seed <= 20; seed++) {
      const { group, leases, leader } = await startGroup(seed)
      for (const other of group.nodes) group.faults.cut.add(`${leader.id}>${other.id}`).add(`${other.id}>${leader.id}`)
      expect(await countHolders(group, leases, 1500), `seed ${seed}`).to.equal(1)
      expect(group.leader()).to.not.equal(leader)
      group.faults.cut.clear()
      expect(await countHolders(group, leases, 1000), `seed ${seed}, healed`).to.equal(1)
      for (const node of group.nodes) await group.crash(node)
    }
  })

  it('is not held after a pause of the process until a heartbeat sent since then is confirmed', () => {
    const monotonic = new ManualClock()
    let pausedMs = 0
    const clock = { now: () => monotonic.now(), wall: () => monotonic.now() + pausedMs } as Clock
    const replica = { confirmedAt: clock.now() }
    const lease = new LeaderLease(replica as Replica, clock, ELECTION_MIN_MS)
    expect(lease.isHeld()).to.equal(true)
    // The monotonic clock doesn't count the time for which a machine is suspended.
    pausedMs = 5000
    expect(lease.isHeld()).to.equal(false)
    expect(lease.isHeld(), 'asked again').to.equal(false)
    replica.confirmedAt = clock.now() + 1
    expect(lease.isHeld()).to.equal(true)
  })
})
