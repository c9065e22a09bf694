import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { ControlMember, type ControlMemberDeps } from './index.js'

const MEMBERS = [{ id: 'a', instance: 'a', address: 'a:1' }, { id: 'b', instance: 'b', address: 'b:1' }]

/** A member whose log names the leader that the test sets. */
function createHarness () {
  const clock = new ManualClock()
  const changed = new Notifier(clock)
  const learned: Array<string | null> = []
  const replica = {
    leader: null as { readonly address: string } | null,
    isReadyLeader: false,
    term: 1,
    changed,
    start: () => Promise.resolve(0),
    status: () => ({ lastIndex: 0, members: MEMBERS })
  }
  const loop = { run: () => Promise.resolve() }
  const deps = { clock, replica, log: new EventLog('test', clock, { writableLength: 0, write: () => {} }), bootstrapper: loop, membershipManager: loop, onLeader: (leader: string | null) => { learned.push(leader) } }
  const setLeader = async (address: string | null): Promise<void> => {
    replica.leader = address === null ? null : { address }
    changed.notify()
    await clock.advance(1)
  }
  return { member: new ControlMember(deps as unknown as ControlMemberDeps), learned, setLeader }
}

describe('ControlMember', () => {
  it('tells each change of the leader that its log knows, so that requests are passed on to it at once', async () => {
    const { member, learned, setLeader } = createHarness()
    await member.start()
    await setLeader('a:1')
    await setLeader('a:1')
    await setLeader(null)
    await setLeader('b:1')
    expect(learned).to.deep.equal(['a:1', null, 'b:1'])
  })
})
