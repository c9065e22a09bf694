import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { MAX_RETRY_DELAY_MS, POLL_TIMEOUT_MS, POLL_WAIT_MS } from '../constants.js'
import { WorkerContact } from './index.js'

describe('WorkerContact', () => {
  it('counts a worker as unresponsive before its first answer', () => {
    expect(new WorkerContact(new ManualClock()).isResponsive).to.equal(false)
  })

  it('counts a worker as unresponsive once its long poll should have been answered', async () => {
    for (const waitMs of [POLL_WAIT_MS, 3 * POLL_WAIT_MS]) {
      const clock = new ManualClock()
      const contact = new WorkerContact(clock)
      contact.recordAnswer(contact.recordPoll(0))
      contact.recordPoll(waitMs)
      await clock.advance(waitMs + POLL_TIMEOUT_MS - 1)
      expect(contact.isResponsive).to.equal(true)
      await clock.advance(1)
      expect(contact.isResponsive).to.equal(false)
    }
  })

  it('counts a worker as unresponsive until it answers a long poll that is sent after a new answer was required', () => {
    const contact = new WorkerContact(new ManualClock())
    const before = contact.recordPoll(POLL_WAIT_MS)
    contact.requireNewAnswer()
    const since = contact.recordPoll(0)
    contact.recordAnswer(before)
    expect(contact).to.include({ isResponsive: false, isInDoubt: true })
    contact.recordAnswer(since)
    expect(contact).to.include({ isResponsive: true, isInDoubt: false })
  })

  it('doubts a worker that was not polled for so long that it may have restarted since, although no poll has failed', async () => {
    const clock = new ManualClock()
    const contact = new WorkerContact(clock)
    contact.recordAnswer(contact.recordPoll(POLL_WAIT_MS))
    expect(contact.isInDoubt).to.equal(false)
    await clock.advance(POLL_WAIT_MS + POLL_TIMEOUT_MS)
    expect(contact.isInDoubt).to.equal(true)
  })

  it('delays polls after failures, longer with each one, until the next answer', () => {
    const contact = new WorkerContact(new ManualClock())
    contact.recordFailure()
    const first = contact.retryDelayMs
    contact.recordFailure()
    expect(contact.retryDelayMs).to.be.above(first)
    for (let i = 0; i < 100; i++) contact.recordFailure()
    expect(contact.retryDelayMs).to.equal(MAX_RETRY_DELAY_MS)
    contact.recordAnswer(contact.recordPoll(0))
    expect(contact.consecutiveFailures).to.equal(0)
  })
})
