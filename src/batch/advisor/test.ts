import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { Advisor, type Advice } from './index.js'

const VALIDITY_MS = 3000

function createHarness () {
  const clock = new ManualClock()
  const asked: string[] = []
  const answers: { next: Advice | null } = { next: { tickets: new Map([['w', 'ticket']]), validityMs: VALIDITY_MS } }
  const calls = {
    advise: async (step: string) => {
      asked.push(step)
      await clock.sleep(50)
      if (answers.next === null) throw new Error('no answer')
      return answers.next
    }
  }
  const advisor = new Advisor(calls, clock, new EventLog('test', clock, { writableLength: 0, write: () => {} }), () => {})
  const createRequest = (stepKey: string) => ({ stepKey, workerIds: ['w', 'x'], decisionMs: 10, perWorkerMs: 1 })
  return { clock, advisor, asked, answers, createRequest }
}

describe('Advisor', () => {
  it('requests the advice on a step once and caches the tickets while they are valid', async () => {
    const { clock, advisor, asked, createRequest } = createHarness()
    expect(advisor.getTickets(createRequest('a.0.0'))).to.equal(undefined)
    expect(advisor.getTickets(createRequest('a.0.0'))).to.equal(undefined)
    await clock.advance(200)
    expect(advisor.getTickets(createRequest('a.0.0'))?.get('w')).to.equal('ticket')
    expect(advisor.getTicket('a.0.0', 'w')).to.equal('ticket')
    expect(advisor.getTicket('a.0.0', 'x')).to.equal(null)
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
})
