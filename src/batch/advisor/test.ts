import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { MAX_WORKERS_PER_CALL, type AdvisedWorker } from '../selectUnadvised/index.js'
import { Advisor, type Advice } from './index.js'

const VALIDITY_MS = 3000
const CYCLE_MS = 50

function createHarness () {
  const clock = new ManualClock()
  const asked: string[] = []
  const named: Array<readonly string[]> = []
  const answers: { next: Advice | null } = { next: { tickets: new Map([['w', 'ticket']]), validityMs: VALIDITY_MS } }
  const calls = {
    advise: async (step: string, workerIds: readonly string[]) => {
      asked.push(step)
      named.push(workerIds)
      await clock.sleep(50)
      if (answers.next === null) throw new Error('no answer')
      const { tickets, validityMs } = answers.next
      return { tickets: new Map([...tickets].filter(([id]) => workerIds.includes(id))), validityMs }
    }
  }
  const advisor = new Advisor(calls, clock, new EventLog('test', clock, { writableLength: 0, write: () => {} }), () => {})
  const allow = (...ids: string[]): void => { answers.next = { tickets: new Map(ids.map((id) => [id, `ticket-${id}`])), validityMs: VALIDITY_MS } }
  const createRequest = (stepKey: string, workers = [createIncarnation('w'), createIncarnation('x')]) => ({ stepKey, workers, decisionMs: 10, perWorkerMs: 1 })
  /** Requests the tickets for a step once in each cycle, as the scheduler does while a task of it waits. */
  const keepWaiting = async (stepKey: string, workers: AdvisedWorker[], ms: number): Promise<ReadonlyMap<string, string> | undefined> => {
    for (let waitedMs = 0; waitedMs < ms; waitedMs += CYCLE_MS) {
      advisor.getTickets(createRequest(stepKey, workers))
      await clock.advance(CYCLE_MS)
    }
    return advisor.getTickets(createRequest(stepKey, workers))
  }
  return { clock, advisor, asked, named, answers, allow, createRequest, keepWaiting }
}

function createIncarnation (id: string, born = 1): AdvisedWorker {
  return { key: `${id}@${born}`, id }
}

function createPool (size: number): AdvisedWorker[] {
  return Array.from({ length: size }, (_, i) => createIncarnation(`w${i + 1}`))
}

describe('Advisor', () => {
  it('requests the advice on a step once and caches the tickets while they are valid', async () => {
    const { clock, advisor, asked, createRequest } = createHarness()
    expect(advisor.getTickets(createRequest('a.0.0'))).to.equal(undefined)
    expect(advisor.getTickets(createRequest('a.0.0'))).to.equal(undefined)
    await clock.advance(200)
    expect(advisor.getTickets(createRequest('a.0.0'))?.get('w@1')).to.equal('ticket')
    expect(advisor.getTicket('a.0.0', 'w@1')).to.equal('ticket')
    expect(advisor.getTicket('a.0.0', 'x@1')).to.equal(null)
    expect(asked.filter((step) => step === 'a.0.0').length).to.be.at.most(2)
  })

  it('requests the advice on one step at a time', async () => {
    const { clock, advisor, asked, createRequest } = createHarness()
    advisor.getTickets(createRequest('a.0.0'))
    advisor.getTickets(createRequest('b.0.0'))
    expect(asked).to.deep.equal(['a.0.0'])
    await clock.advance(200)
    expect(asked).to.deep.equal(['a.0.0', 'b.0.0'])
  })

  it('renews tickets before they expire', async () => {
    const { clock, advisor, createRequest } = createHarness()
    advisor.getTickets(createRequest('a.0.0'))
    await clock.advance(VALIDITY_MS * 0.9)
    expect(advisor.getTickets(createRequest('a.0.0'))).to.equal(undefined)
  })

  it('retries after a call without an answer', async () => {
    const { clock, advisor, answers, createRequest } = createHarness()
    const { next } = answers
    answers.next = null
    advisor.getTickets(createRequest('a.0.0'))
    await clock.advance(400)
    answers.next = next
    expect(advisor.getTickets(createRequest('a.0.0'))).to.equal(undefined)
    await clock.advance(400)
    expect(advisor.getTickets(createRequest('a.0.0'))?.size).to.equal(1)
  })

  // The same first hundred workers were named in every call, so that a task never started on the others.
  it('asks about every worker of a large pool when none of the first ones is allowed (LOST, review case 9)', async () => {
    const { named, allow, keepWaiting } = createHarness()
    const pool = createPool(2 * MAX_WORKERS_PER_CALL + 30)
    allow(pool.at(-1)?.id as string)
    const tickets = await keepWaiting('a.0.0', pool, 1000)
    expect([...tickets?.keys() ?? []]).to.deep.equal([pool.at(-1)?.key])
    expect(named.map(({ length }) => length)).to.deep.equal([MAX_WORKERS_PER_CALL, MAX_WORKERS_PER_CALL, 30])
  })

  it('asks about the other workers of a large pool when a step still waits although some are allowed (LOST)', async () => {
    const { allow, keepWaiting } = createHarness()
    const pool = createPool(MAX_WORKERS_PER_CALL + 10)
    allow('w1', 'w105')
    expect([...await keepWaiting('a.0.0', pool, 1000) ?? []]).to.deep.equal([['w1@1', 'ticket-w1'], ['w105@1', 'ticket-w105']])
  })

  it('asks no more about a step that has started on the first allowed worker', async () => {
    const { clock, named, allow, keepWaiting } = createHarness()
    allow('w1')
    await keepWaiting('a.0.0', createPool(MAX_WORKERS_PER_CALL + 10), 100)
    await clock.advance(1000)
    expect(named.length).to.equal(1)
  })

  it('asks about a worker that has joined the pool although others are allowed (LOST)', async () => {
    const { allow, keepWaiting } = createHarness()
    const pool = createPool(3)
    allow('w1', 'w4')
    await keepWaiting('a.0.0', pool, 500)
    expect([...await keepWaiting('a.0.0', [...pool, createIncarnation('w4')], 500) ?? []].map(([key]) => key)).to.deep.equal(['w1@1', 'w4@1'])
  })

  it('asks again about a worker that has restarted, which refuses the ticket of its earlier incarnation', async () => {
    const { advisor, named, allow, keepWaiting } = createHarness()
    allow('w1')
    await keepWaiting('a.0.0', createPool(1), 500)
    await keepWaiting('a.0.0', [createIncarnation('w1', 2)], 500)
    expect(named).to.deep.equal([['w1'], ['w1']])
    expect(advisor.getTicket('a.0.0', 'w1@2')).to.equal('ticket-w1')
  })

  it('renews the tickets of the allowed workers only', async () => {
    const { named, allow, keepWaiting } = createHarness()
    allow('w1')
    await keepWaiting('a.0.0', createPool(3), VALIDITY_MS)
    expect(named).to.deep.equal([['w1', 'w2', 'w3'], ['w1']])
  })

  it('asks again about all workers of a pool that the advisor has allowed none of', async () => {
    const { named, allow, keepWaiting } = createHarness()
    allow()
    await keepWaiting('a.0.0', createPool(2), 500)
    allow('w2')
    expect([...await keepWaiting('a.0.0', createPool(2), VALIDITY_MS) ?? []].map(([key]) => key)).to.deep.equal(['w2@1'])
    expect(named.length).to.equal(2)
  })

  it('serves other steps between the calls for one large pool', async () => {
    const { clock, advisor, asked, allow, createRequest } = createHarness()
    allow()
    for (let i = 0; i < 20; i++) {
      advisor.getTickets(createRequest('a.0.0', createPool(3 * MAX_WORKERS_PER_CALL)))
      advisor.getTickets(createRequest('b.0.0', createPool(1)))
      await clock.advance(CYCLE_MS)
    }
    expect(asked.slice(0, 2)).to.deep.equal(['a.0.0', 'b.0.0'])
    expect(asked.filter((step) => step === 'a.0.0').length).to.be.at.least(3)
  })
})
