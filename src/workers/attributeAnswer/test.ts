import { expect } from 'chai'
import { attributeAnswer } from './index.js'

const READING = { workerClockMs: 5000, observedAt: 100_000 }

/** A call that is answered 5 ms after it was sent. */
const callAt = (sentAt: number) => ({ sentAt, receivedAt: sentAt + 5 })

describe('attributeAnswer', () => {
  it('attributes an answer whose clock has gone on to the incarnation that was called', () => {
    expect(attributeAnswer(5600, READING, callAt(100_600))).to.equal('same')
    expect(attributeAnswer(5550, READING, { sentAt: 100_000, receivedAt: 100_600 })).to.equal('same')
  })

  it('accepts the clock of the called incarnation when it is 2 % slow', () => {
    expect(attributeAnswer(5000 + 9800, READING, callAt(110_000))).to.equal('same')
  })

  it('attributes an answer whose clock is behind the last reading to another incarnation', () => {
    expect(attributeAnswer(300, READING, callAt(100_600))).to.equal('other')
    expect(attributeAnswer(4999, READING, callAt(100_000))).to.equal('other')
  })

  it('attributes no answer whose clock has begun anew on a young worker and is ahead of the last reading', () => {
    expect(attributeAnswer(400, { workerClockMs: 300, observedAt: 100_000 }, callAt(101_200))).to.equal('unclear')
  })

  it('attributes no answer whose clock is further ahead than the time that has passed', () => {
    expect(attributeAnswer(6000, READING, callAt(100_600))).to.equal('unclear')
  })

  it('attributes no answer without a reading, and none before the first list', () => {
    expect(attributeAnswer(null, READING, callAt(100_600))).to.equal('unclear')
    expect(attributeAnswer(5600, null, callAt(100_600))).to.equal('unclear')
  })
})
