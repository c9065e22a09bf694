import { expect } from 'chai'
import type { ControlAnswer } from '../../batch/requests.js'
import { ManualClock } from '../../clock/index.js'
import { NotConnectedError, type MsgpackLinks } from '../msgpackLink/index.js'
import { CallTimeoutError } from '../callTimeoutError/index.js'
import { LeaderClient } from './index.js'

type Reply = () => Promise<ControlAnswer>

const HOLD = { rejectableMs: 500, outcomeUnknownMs: 1700 }
const DEADLINE_MS = 3000
const REQUEST = { kind: 'ping' } as const

/** Links to control processes whose replies the test sets. */
class FakeLinks {
  readonly replies = new Map<string, Reply>()
  readonly calls: string[] = []

  to (address: string) {
    return {
      call: () => {
        this.calls.push(address)
        return (this.replies.get(address) as Reply)()
      }
    }
  }
}

const refuse: Reply = () => Promise.reject(new NotConnectedError('refused'))
const redirect = (leader: string | null, version = 0, addresses: readonly string[] = []): Reply => () => Promise.resolve({ kind: 'redirect', leader, members: addresses, membersVersion: version })
const pong = (version: number, addresses: readonly string[]): Reply => () => Promise.resolve({ kind: 'pong', members: addresses, membersVersion: version })
const accept: Reply = () => Promise.resolve({ kind: 'accepted' })

function createFixture (replies: Record<string, Reply>, seeds: readonly string[] = Object.keys(replies)) {
  const clock = new ManualClock()
  const links = new FakeLinks()
  for (const [address, reply] of Object.entries(replies)) links.replies.set(address, reply)
  const leaderClient = new LeaderClient(links as unknown as MsgpackLinks, clock, () => seeds)
  const startedAt = clock.now()
  const ask = () => leaderClient.ask(REQUEST, startedAt + DEADLINE_MS, HOLD).then((answer) => ({ answer, tookMs: clock.now() - startedAt }))
  return { clock, links, leaderClient, ask }
}

describe('LeaderClient', () => {
  it('follows a redirect to the leader and sends the next request there first', async () => {
    const { clock, links, ask } = createFixture({ a: redirect('b'), b: accept })
    const first = ask()
    await clock.advance(200)
    expect((await first).answer.kind).to.equal('accepted')
    await ask()
    expect(links.calls.at(-1)).to.equal('b')
    expect(links.calls.filter((address) => address === 'a').length).to.be.at.most(1)
  })

  it('stops trying early when no copy of the request can have been carried out', async () => {
    const { clock, ask } = createFixture({ a: refuse, b: redirect(null) })
    const asked = ask()
    await clock.advance(DEADLINE_MS)
    const { answer, tookMs } = await asked
    expect(answer).to.include({ kind: 'unanswered', isCertainlyNotDone: true })
    expect(tookMs).to.be.within(HOLD.rejectableMs, HOLD.rejectableMs + 100)
  })

  it('treats a call that never got a connection as certainly not carried out', async () => {
    const { clock, ask } = createFixture({ a: () => Promise.reject(new CallTimeoutError(false)) })
    const asked = ask()
    await clock.advance(DEADLINE_MS)
    expect((await asked).answer).to.include({ kind: 'unanswered', isCertainlyNotDone: true })
  })

  it('keeps trying while a copy may have been carried out, until a new leader answers', async () => {
    const { clock, links, ask } = createFixture({ a: () => Promise.reject(new Error('the connection was reset')), b: redirect(null) })
    const asked = ask()
    await clock.advance(HOLD.rejectableMs + 600)
    links.replies.set('b', accept)
    await clock.advance(200)
    const { answer, tookMs } = await asked
    expect(answer.kind).to.equal('accepted')
    expect(tookMs).to.be.above(HOLD.rejectableMs)
  })

  it('aborts an attempt as soon as another process turns out to lead', async () => {
    const { clock, links, ask } = createFixture({ a: accept, b: redirect('a'), c: redirect('a') })
    const first = ask()
    await clock.advance(10)
    await first
    links.replies.set('a', () => new Promise(() => {}))
    links.replies.set('b', redirect('c'))
    links.replies.set('c', accept)
    const asked = [ask(), ask()]
    await clock.advance(200)
    links.replies.set('a', () => Promise.reject(new Error('the connection was reset')))
    asked.push(ask())
    await clock.advance(200)
    for (const { answer, tookMs } of await Promise.all(asked)) {
      expect(answer.kind).to.equal('accepted')
      expect(tookMs).to.be.below(500)
    }
  })

  it('aborts an attempt at the former leader when told that another process leads', async () => {
    const { clock, leaderClient, ask } = createFixture({ a: () => new Promise(() => {}), b: accept })
    leaderClient.learnLeader('a')
    const asked = ask()
    await clock.advance(100)
    leaderClient.learnLeader('b')
    await clock.advance(100)
    const { answer, tookMs } = await asked
    expect(answer.kind).to.equal('accepted')
    expect(tookMs).to.be.within(100, 200)
  })

  it('asks a process that has just not answered again only when no other is left', async () => {
    const { clock, links, ask } = createFixture({ a: refuse, b: redirect(null), c: redirect(null) })
    const asked = ask()
    await clock.advance(DEADLINE_MS)
    await asked
    expect(links.calls.filter((address) => address === 'a').length).to.equal(1)
    expect(links.calls.length).to.be.above(4)
  })

  it('calls every control process to keep the connection to each open', async () => {
    const { links, leaderClient } = createFixture({ a: accept, b: refuse })
    expect(await leaderClient.keepConnectionsOpen()).to.equal(1)
    for (const address of ['a', 'b']) expect(links.calls.filter((called) => called === address).length).to.equal(1)
  })

  it('finds the leader when all processes of its settings have been replaced', async () => {
    const { clock, links, ask } = createFixture({ a: pong(5, ['a', 'd', 'e']), d: redirect('f', 9, ['d', 'e', 'f']), e: redirect('f', 9, ['d', 'e', 'f']), f: accept }, ['a'])
    expect((await ask()).answer.kind).to.equal('pong')
    links.replies.set('a', refuse)
    const asked = ask()
    await clock.advance(DEADLINE_MS)
    expect((await asked).answer.kind).to.equal('accepted')
  })

  it('keeps the members that it knows when a removed process tells those of its time', async () => {
    const { clock, links, ask } = createFixture({ a: redirect('d', 9, ['d', 'e']), d: accept, e: redirect('d', 9, ['d', 'e']) }, ['a'])
    await ask()
    links.replies.set('a', redirect(null, 3, ['a', 'b', 'c']))
    for (const gone of ['b', 'c', 'd']) links.replies.set(gone, refuse)
    links.replies.set('e', accept)
    const asked = ask()
    await clock.advance(DEADLINE_MS)
    expect((await asked).answer.kind).to.equal('accepted')
  })

  it('reports the outcome as unknown when no leader is found in time and a copy may have been carried out', async () => {
    const { clock, ask } = createFixture({ a: () => Promise.reject(new Error('the connection was reset')), b: redirect(null) })
    const asked = ask()
    await clock.advance(DEADLINE_MS)
    const { answer, tookMs } = await asked
    expect(answer).to.include({ kind: 'unanswered', isCertainlyNotDone: false })
    expect(tookMs).to.be.within(HOLD.outcomeUnknownMs, HOLD.outcomeUnknownMs + 100)
  })
})
