import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { ProcessClock } from '../../clock/processClock/index.js'
import type { WorkerCalls } from '../types.js'
import { WorkerRelay } from './index.js'
import type { RelayRequest } from './types.js'

const WORKER = { id: 'w', address: 'w:1' }
const STOP: RelayRequest<'stop'> = { worker: WORKER, call: 'stop', req: { token: 3, task: 't', run: 1 }, timeoutMs: 700 }

function createHarness () {
  const clock = new ManualClock()
  const calls: string[] = []
  const connected: string[] = []
  const closed: string[] = []
  const state = { term: 3, isWorkerSilent: false }
  const connect = ({ address }: typeof WORKER): WorkerCalls => {
    connected.push(address)
    return {
      stop: ({ task, run }: { readonly task: string, readonly run: number }) => {
        calls.push(`${address} stop ${task} ${run}`)
        return state.isWorkerSilent ? Promise.reject(new Error('no answer')) : Promise.resolve({ refusal: null, clockMs: 5 })
      },
      close: () => { closed.push(address) }
    } as unknown as WorkerCalls
  }
  const processClock = new ProcessClock(clock)
  const deadlineIn = (ms: number) => ({ ...processClock.read(), ms: processClock.read().ms + ms })
  return { clock, calls, connected, closed, state, deadlineIn, relay: new WorkerRelay(clock, connect, (term) => term === state.term, processClock) }
}

describe('WorkerRelay', () => {
  it('makes a call for the leader and returns the answer', async () => {
    const { relay, calls } = createHarness()
    expect(await relay.make(STOP)).to.deep.equal({ kind: 'answered', answer: { refusal: null, clockMs: 5 } })
    expect(calls).to.deep.equal(['w:1 stop t 1'])
  })

  it('makes no call for a leader that it does not follow, and says so', async () => {
    const { relay, calls, state } = createHarness()
    state.term = 4
    expect(await relay.make(STOP)).to.include({ kind: 'refused' })
    expect(calls).to.deep.equal([])
  })

  it('follows the term of the leader, not the token of the call', async () => {
    const { relay, calls } = createHarness()
    expect(await relay.make({ ...STOP, term: 3, req: { ...STOP.req, token: 5 } })).to.include({ kind: 'answered' })
    expect(await relay.make({ ...STOP, term: 2 })).to.include({ kind: 'refused' })
    expect(calls).to.have.length(1)
  })

  it('makes no call that its process has read only after the leader had given it up', async () => {
    const { clock, relay, calls, deadlineIn } = createHarness()
    const deadline = deadlineIn(850)
    await clock.advance(849)
    expect(await relay.make({ ...STOP, deadline })).to.include({ kind: 'answered' })
    await clock.advance(1)
    expect(await relay.make({ ...STOP, deadline })).to.include({ kind: 'expired' })
    expect(calls).to.have.length(1)
  })

  it('gives a call that it has read late only the time that is left', async () => {
    const clock = new ManualClock()
    const processClock = new ProcessClock(clock)
    const timeouts: number[] = []
    const connect = (): WorkerCalls => ({ stop: async (_req: unknown, timeoutMs: number) => { timeouts.push(timeoutMs); return { refusal: null, clockMs: 5 } }, close: () => {} }) as unknown as WorkerCalls
    const relay = new WorkerRelay(clock, connect, () => true, processClock)
    const { process, ms } = processClock.read()
    const deadline = { process, ms: ms + 850 }
    await relay.make({ ...STOP, deadline })
    await clock.advance(600)
    await relay.make({ ...STOP, deadline })
    expect(timeouts).to.deep.equal([700, 250])
  })

  it('makes no call whose deadline it can not judge, since it was restarted at its address', async () => {
    const { relay, calls, deadlineIn } = createHarness()
    const { process, ms } = deadlineIn(850)
    expect(await relay.make({ ...STOP, deadline: { process: process + 1, ms } })).to.include({ kind: 'expired' })
    expect(await relay.make({ ...STOP, deadline: { process, ms: Number.NaN } })).to.include({ kind: 'expired' })
    expect(calls).to.deep.equal([])
  })

  it('makes the calls of leaders of earlier builds, which name no deadline', async () => {
    const { clock, relay } = createHarness()
    await clock.advance(60_000)
    expect(await relay.make(STOP)).to.include({ kind: 'answered' })
  })

  it('says that the outcome is unknown when the worker does not answer', async () => {
    const { relay, state } = createHarness()
    state.isWorkerSilent = true
    expect(await relay.make(STOP)).to.deep.equal({ kind: 'unclear', reason: 'no answer' })
  })

  it('refuses a call that it does not know', async () => {
    const { relay, calls } = createHarness()
    expect(await relay.make({ ...STOP, call: 'toString' } as unknown as RelayRequest)).to.include({ kind: 'refused' })
    expect(calls).to.deep.equal([])
  })

  it('keeps the connections to a worker while it is called, and closes those of others', async () => {
    const { clock, relay, connected, closed } = createHarness()
    await relay.make({ ...STOP, worker: { id: 'v', address: 'v:1' } })
    for (let i = 0; i < 30; i++) {
      await relay.make(STOP)
      await clock.advance(1000)
    }
    expect(connected).to.deep.equal(['v:1', 'w:1'])
    expect(closed).to.deep.equal(['v:1'])
    expect(relay.workerCount).to.equal(1)
  })
})
