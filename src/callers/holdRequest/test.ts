import { expect } from 'chai'
import { computeHoldLimits, computeRetryAfterSeconds } from './index.js'

describe('holdTimes', () => {
  it('looks for a new leader for about half a second', () => {
    expect(computeHoldLimits(100, 3000).rejectableMs).to.equal(550)
  })

  it('sends callers away at once when there has been no leader for long', () => {
    expect(computeHoldLimits(5000, 3000).rejectableMs).to.equal(150)
  })

  it('asks for longer than a change of leader takes when a copy of the request may be carried out', () => {
    expect(computeHoldLimits(100, 3000).outcomeUnknownMs).to.be.above(1200)
    expect(computeHoldLimits(5000, 3000).outcomeUnknownMs).to.be.above(1200)
  })

  it('never goes beyond the time that the caller has', () => {
    expect(computeHoldLimits(100, 80)).to.deep.equal({ rejectableMs: 80, outcomeUnknownMs: 80 })
  })
})

describe('retryAfterSeconds', () => {
  it('asks callers back after a change of leader, and later when control is down', () => {
    expect(computeRetryAfterSeconds(300)).to.equal(1)
    expect(computeRetryAfterSeconds(3000)).to.equal(2)
  })
})
