import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { ProcessClock } from '../../clock/processClock/index.js'
import { RemoteClock } from '../../clock/remoteClock/index.js'
import { ConnectionLostError, NotConnectedError, type MsgpackLinks } from '../../links/msgpackLink/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { Metrics } from '../../metrics/index.js'
import { WorkerRelay } from '../relay/index.js'
import type { RelayAnswer, RelayRequest } from '../relay/types.js'
import { RelayRouter } from '../relayRouter/index.js'
import type { OrderAnswer, WorkerCalls } from '../types.js'
import { RelayedWorkerCalls } from './index.js'

const WORKER = { id: 'w', address: 'w:1' }
const STOP = { token: 3, task: 't', run: 1 }
const TIMEOUT_MS = 700
const DONE: OrderAnswer = { refusal: null, clockMs: 5 }

type Reply = () => Promise<RelayAnswer<'stop'>>

/** A client whose relays reply as the test sets. */
function createHarness () {
  const clock = new ManualClock()
  const made: string[] = []
  const state = { mayOrder: true, reply: (() => Promise.resolve({ kind: 'answered', answer: DONE })) as Reply }
  const sent: Array<RelayRequest<'stop'>> = []
  const relayClock = new RemoteClock(clock)
  const links = { to: (address: string) => ({ call: (_name: string, req: RelayRequest<'stop'>) => { made.push(address); sent.push(req); return state.reply() } }) } as unknown as MsgpackLinks
  const router = new RelayRouter(clock, new EventLog('test', clock, { writableLength: 0, write: () => {} }), () => ['a', 'b'].map((address) => ({ address, confirmedAt: clock.now(), clock: relayClock })))
  const connect = (): WorkerCalls => ({ stop: () => { made.push('direct'); return Promise.resolve(DONE) }, close: () => {} }) as unknown as WorkerCalls
  const calls = new RelayedWorkerCalls('w@1', WORKER, { clock, links, router, connect, mayOrder: () => state.mayOrder, metrics: new Metrics(), term: 3 })
  const stop = () => calls.stop(STOP, TIMEOUT_MS).catch((err: unknown) => err)
  return { clock, relayClock, sent, state, made, calls, stop }
}

describe('RelayedWorkerCalls', () => {
  it('calls the worker through a relay', async () => {
    const { made, stop } = createHarness()
    expect(await stop()).to.deep.equal(DONE)
    expect(made).to.deep.equal(['a'])
  })

  it('calls the worker through another relay when the first has certainly not made the call, and directly when that has not either', async () => {
    for (const reply of [() => Promise.reject(new NotConnectedError('refused')), () => Promise.resolve({ kind: 'refused', reason: 'another term' })] as Reply[]) {
      const { state, made, stop } = createHarness()
      const { reply: answered } = state
      state.reply = () => made.length === 1 ? reply() : answered()
      expect(await stop()).to.deep.equal(DONE)
      expect(made).to.deep.equal(['a', 'b'])
      made.length = 0
      state.reply = reply
      expect(await stop()).to.deep.equal(DONE)
      expect(made).to.deep.equal(['b', 'direct'])
    }
  })

  it('makes no call after its time-out, however long relays take that do not make it (TWICE)', async () => {
    const { clock, state, made, stop } = createHarness()
    state.reply = async () => {
      await clock.sleep(TIMEOUT_MS)
      throw new NotConnectedError('no connection')
    }
    const answer = stop()
    await clock.advance(3 * TIMEOUT_MS)
    expect(await answer).to.be.instanceOf(Error)
    expect(made).to.deep.equal(['a'])
  })

  it('does not call the worker directly when orders may no longer be sent', async () => {
    const { state, made, stop } = createHarness()
    state.reply = () => {
      state.mayOrder = false
      return Promise.resolve({ kind: 'refused', reason: 'another term' })
    }
    expect(await stop()).to.be.instanceOf(Error)
    expect(made).to.deep.equal(['a'])
  })

  it('does not repeat a call whose relay was lost or whose worker was silent, and makes the next one through another relay', async () => {
    for (const reply of [() => Promise.reject(new ConnectionLostError('reset')), () => Promise.resolve({ kind: 'unclear', reason: 'no answer' })] as Reply[]) {
      const { state, made, stop } = createHarness()
      const { reply: answered } = state
      state.reply = reply
      expect(await stop()).to.be.instanceOf(Error)
      expect(made).to.deep.equal(['a'])
      state.reply = answered
      expect(await stop()).to.deep.equal(DONE)
      expect(made).to.deep.equal(['a', 'b'])
    }
  })

  it('makes no call once it is closed', async () => {
    const { made, calls, stop } = createHarness()
    calls.close()
    expect(await stop()).to.be.instanceOf(Error)
    expect(made).to.deep.equal([])
  })

  it('is not carried out by a relay that has read the call long after it was given up', async () => {
    for (const { pausedMs, kind } of [{ pausedMs: 0, kind: 'answered' }, { pausedMs: 800, kind: 'answered' }, { pausedMs: 900, kind: 'expired' }, { pausedMs: 9000, kind: 'expired' }]) {
      const { clock, relayClock, sent, stop } = createHarness()
      let carriedOut = 0
      const relayProcessClock = new ProcessClock(clock)
      const relay = new WorkerRelay(clock, () => ({ stop: () => { carriedOut++; return Promise.resolve(DONE) }, close: () => {} }) as unknown as WorkerCalls, () => true, relayProcessClock)
      relayClock.record(relayProcessClock.read())
      await stop()
      await clock.advance(pausedMs)
      expect(await relay.make(sent[0] as RelayRequest<'stop'>), `paused for ${pausedMs} ms`).to.include({ kind })
      expect(carriedOut).to.equal(kind === 'answered' ? 1 : 0)
    }
  })

  it('repeats no call that has expired at its relay, and makes the next one of the worker through another relay', async () => {
    const { state, made, stop } = createHarness()
    state.reply = () => Promise.resolve({ kind: 'expired', reason: 'too late' })
    expect(await stop()).to.be.instanceOf(Error)
    expect(made).to.deep.equal(['a'])
    state.reply = () => Promise.resolve({ kind: 'answered', answer: DONE })
    expect(await stop()).to.deep.equal(DONE)
    expect(made).to.deep.equal(['a', 'b'])
  })

  it('names no deadline to a relay of an earlier build, which has told nothing about its clock', async () => {
    const { sent, stop } = createHarness()
    await stop()
    expect(sent[0]).not.to.have.property('deadline')
  })
})
