import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import type { GroupMembers } from '../groupMembers/index.js'
import type { Reply } from '../replies.js'
import { ControlClient, type ControlLink } from './index.js'

const LIMITS = { attemptMs: 500, totalMs: 3000 }

/** A control process: the members that it tells, and its reply. A process that is gone answers nothing. */
interface FakeProcess {
  readonly members?: readonly string[]
  readonly version?: number
  readonly reply: 'value' | 'silent' | 'refused' | { readonly leader: string | null }
}

/** Control processes by address, which a test replaces. */
class FakeGroup {
  readonly clock = new ManualClock()
  readonly calls: string[] = []
  readonly retired: string[] = []
  processes: Record<string, FakeProcess> = {}

  createClient (seeds: readonly string[]): ControlClient {
    return new ControlClient(seeds, undefined, this.clock, { createLink: (address, members) => this.#createLink(address, members) })
  }

  async call (client: ControlClient): Promise<unknown> {
    const called = client.call((() => {}) as never, LIMITS)
    await this.clock.advance(LIMITS.totalMs)
    const res = await called
    return res.isOk() ? res.value : res.error.kind
  }

  #createLink (address: string, members: GroupMembers): ControlLink {
    const call = async (_makeCall: unknown, timeoutMs: number): Promise<Reply<string>> => {
      this.calls.push(address)
      const { reply, members: addresses = [], version = 1 } = this.processes[address] ?? { reply: 'refused' }
      if (reply === 'silent') {
        await this.clock.sleep(timeoutMs)
        throw new Error('the call was not answered within its timeout')
      }
      if (reply === 'refused') throw new Error('connection refused')
      members.learn({ version, addresses, isLeader: reply === 'value' })
      return reply === 'value' ? { ok: true, value: address } : { ok: false, error: { kind: 'notLeader', leader: reply.leader, message: 'not the leader' } }
    }
    return { call: call as unknown as ControlLink['call'], retire: () => { this.retired.push(address) }, close: () => {} }
  }
}

describe('ControlClient', () => {
  it('follows a redirect, and calls the leader first from then on', async () => {
    const group = new FakeGroup()
    group.processes = { a: { reply: { leader: 'b' } }, b: { reply: 'value' } }
    const client = group.createClient(['a', 'b'])
    expect(await group.call(client)).to.equal('b')
    expect(await group.call(client)).to.equal('b')
    expect(group.calls).to.deep.equal(['a', 'b', 'b'])
  })

  it('finds the leader when all processes of its settings have been replaced', async () => {
    const group = new FakeGroup()
    const client = group.createClient(['a', 'b', 'c'])
    group.processes = { a: { reply: 'value', members: ['a', 'b', 'd'], version: 5 } }
    expect(await group.call(client)).to.equal('a')
    group.processes = { d: { reply: { leader: 'e' }, members: ['d', 'e', 'f'], version: 9 }, e: { reply: 'value', members: ['d', 'e', 'f'], version: 9 } }
    expect(await group.call(client)).to.equal('e')
    group.processes = { f: { reply: 'value', members: ['f', 'g', 'h'], version: 12 } }
    expect(await group.call(client)).to.equal('f')
    expect(client.members).to.deep.equal(['f', 'g', 'h'])
  })

  it('closes the links to replaced processes that the settings do not name', async () => {
    const group = new FakeGroup()
    const client = group.createClient(['a'])
    group.processes = { a: { reply: { leader: 'd' }, members: ['a', 'd'], version: 5 }, d: { reply: 'value', members: ['a', 'd'], version: 5 } }
    await group.call(client)
    group.processes = { a: { reply: { leader: 'e' }, members: ['a', 'e'], version: 9 }, e: { reply: 'value', members: ['a', 'e'], version: 9 } }
    expect(await group.call(client)).to.equal('e')
    expect(group.retired).to.deep.equal(['d'])
  })

  it('does not call a process that did not answer for a while when others answer', async () => {
    const group = new FakeGroup()
    group.processes = { a: { reply: 'silent' }, b: { reply: { leader: null } }, c: { reply: { leader: null } } }
    expect(await group.call(group.createClient(['a', 'b', 'c']))).to.equal('unreachable')
    expect(group.calls.filter((address) => address === 'a')).to.have.length(2)
  })

  it('finds a leader that left one call unanswered beside a process that knows none', async () => {
    const group = new FakeGroup()
    group.processes = { a: { reply: 'refused' }, b: { reply: { leader: null } } }
    const client = group.createClient(['a', 'b'])
    const called = client.call((() => {}) as never, LIMITS)
    await group.clock.advance(1000)
    group.processes = { a: { reply: 'value' }, b: { reply: { leader: null } } }
    await group.clock.advance(2000)
    expect((await called).isOk()).to.equal(true)
  })

  it('falls back to its settings when no known member answers', async () => {
    const group = new FakeGroup()
    const client = group.createClient(['a', 'b'])
    group.processes = { a: { reply: 'value', members: ['c', 'd'], version: 5 } }
    await group.call(client)
    group.processes = { b: { reply: 'value', members: ['b'], version: 9 } }
    expect(await group.call(client)).to.equal('b')
  })

  it('gives up when no process is known', async () => {
    const group = new FakeGroup()
    expect(await group.call(group.createClient([]))).to.equal('unreachable')
    expect(group.calls).to.deep.equal([])
  })
})
