import { expect } from 'chai'
import type { WorkerReport } from '../../batch/types.js'
import { ManualClock } from '../../clock/index.js'
import { ProcessClock } from '../../clock/processClock/index.js'
import { Notifier } from '../../clock/notifier/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { WorkerRelay } from '../../workers/relay/index.js'
import type { WorkerCalls } from '../../workers/types.js'
import { ControlMember, type ControlMemberDeps } from './index.js'

const MEMBERS = [{ id: 'a', instance: 'a', address: 'a:1' }, { id: 'b', instance: 'b', address: 'b:1' }]

/** Clock of a machine that can be suspended, which the monotonic clock does not count. */
class SuspendableClock extends ManualClock {
  suspendedMs = 0

  override wall (): number {
    return super.wall() + this.suspendedMs
  }
}

/** A member whose log names the leader that the test sets. */
function createHarness () {
  const clock = new SuspendableClock()
  const changed = new Notifier(clock)
  const learned: Array<string | null> = []
  const replica = {
    leader: null as { readonly address: string, readonly instance: string } | null,
    isReadyLeader: false,
    term: 1,
    lastLeaderContactAt: clock.now(),
    changed,
    start: () => Promise.resolve(0),
    onAppend: () => { replica.lastLeaderContactAt = clock.now() },
    status: () => ({ lastIndex: 0, leader: replica.leader, instance: 'own', members: MEMBERS, membersVersion: 1, memberAddresses: ['a:1', 'b:1'] })
  }
  const relay = { mayRelay: (_term: number): boolean => false }
  const processClock = new ProcessClock(clock)
  const made: string[] = []
  const connect = (): WorkerCalls => ({ start: ({ task }: { readonly task: string }) => { made.push(task); return Promise.resolve({ refusal: null, clockMs: 5 }) }, close: () => {} }) as unknown as WorkerCalls
  const createRelay = (mayRelay: (term: number) => boolean) => {
    relay.mayRelay = mayRelay
    return new WorkerRelay(clock, connect, mayRelay, processClock)
  }
  const loop = { run: () => Promise.resolve() }
  const deps = { address: 'own:1', isKnownReport: ({ id }: { readonly id: string }) => id === 'known', clock, replica, log: new EventLog('test', clock, { writableLength: 0, write: () => {} }), bootstrapper: loop, membershipManager: loop, createRelay, onLeader: (leader: string | null) => { learned.push(leader) } }
  const setLeader = async (address: string | null): Promise<void> => {
    replica.leader = address === null ? null : { address, instance: address }
    changed.notify()
    await clock.advance(1)
  }
  return { clock, replica, relay, processClock, made, member: new ControlMember(deps as unknown as ControlMemberDeps), learned, setLeader }
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

  it('relays calls only for the leader that it follows, and only while it hears from it', async () => {
    const { clock, replica, relay, member, setLeader } = createHarness()
    await member.start()
    expect(relay.mayRelay(1), 'no leader').to.equal(false)
    await setLeader('a:1')
    expect(relay.mayRelay(1)).to.equal(true)
    expect(relay.mayRelay(2), 'a leader that it does not know yet').to.equal(false)
    replica.term = 2
    expect(relay.mayRelay(1), 'an earlier leader').to.equal(false)
    await clock.advance(600)
    expect(relay.mayRelay(2), 'not heard for a while').to.equal(false)
    replica.lastLeaderContactAt = clock.now()
    expect(relay.mayRelay(2)).to.equal(true)
  })

  it('acknowledges a known report while it hears the leader, and takes the later ones as well', async () => {
    const { clock, member, setLeader } = createHarness()
    await member.start()
    await setLeader('a:1')
    const report = (id: string) => member.answer({ kind: 'report', report: { id } as WorkerReport })
    expect(await report('known')).to.deep.equal({ kind: 'accepted', reportTo: 'own:1' })
    expect((await report('new')).kind).to.equal('redirect')
    await clock.advance(600)
    expect((await report('known')).kind).to.equal('redirect')
  })

  it('names the leader, but not one that it has not heard for longer than an election takes to begin', async () => {
    const { clock, replica, member, setLeader } = createHarness()
    await member.start()
    await setLeader('a:1')
    const members = { members: ['a:1', 'b:1'], membersVersion: 1 }
    expect(await member.answer({ kind: 'ping' })).to.deep.equal({ kind: 'redirect', leader: 'a:1', ...members })
    await clock.advance(1000)
    expect(await member.answer({ kind: 'ping' })).to.deep.equal({ kind: 'redirect', leader: null, ...members })
    replica.lastLeaderContactAt = clock.now()
    expect(await member.answer({ kind: 'ping' })).to.deep.equal({ kind: 'redirect', leader: 'a:1', ...members })
  })

  it('relays no call after its machine was suspended until the leader is heard again', async () => {
    const { clock, replica, relay, member, setLeader } = createHarness()
    await member.start()
    await setLeader('a:1')
    expect(relay.mayRelay(1)).to.equal(true)
    clock.suspendedMs += 3000
    expect(relay.mayRelay(1)).to.equal(false)
    await clock.advance(10)
    replica.lastLeaderContactAt = clock.now()
    expect(relay.mayRelay(1)).to.equal(true)
  })

  it('makes no call of before a pause of its process that it reads after heartbeats which have waited as well', async () => {
    const { clock, processClock, made, member, setLeader } = createHarness()
    const { append, relay } = member.calls as Record<string, (input: unknown) => unknown>
    await member.start()
    await setLeader('a:1')
    const { process, ms } = processClock.read()
    const createStart = (task: string, sentAfterMs: number) => ({ worker: { id: 'w', address: 'w:1' }, term: 1, call: 'start', req: { token: 1, task }, timeoutMs: 700, deadline: { process, ms: ms + sentAfterMs + 850 } })
    await clock.advance(9000)
    append?.({})
    expect(await relay?.(createStart('old', 0))).to.include({ kind: 'expired' })
    expect(await relay?.(createStart('new', 8990))).to.include({ kind: 'answered' })
    expect(made).to.deep.equal(['new'])
  })
})
