import { expect } from 'chai'
import { computeHoldLimits, computeRetryAfterSeconds } from './index.js'

describe('computeHoldLimits', () => {
  it('holds a request for about half a second right after the loss of the leader', () => {
    expect(computeHoldLimits(100, 3000).rejectableMs).to.equal(550)
  })

  it('rejects callers early when there has been no leader for long', () => {
    expect(computeHoldLimits(5000, 3000).rejectableMs).to.equal(150)
  })

  it('holds a request for longer than a change of leader when a copy of it may have been executed', () => {
    expect(computeHoldLimits(100, 3000).outcomeUnknownMs).to.be.above(1200)
    expect(computeHoldLimits(5000, 3000).outcomeUnknownMs).to.be.above(1200)
  })

  it('never holds a request beyond the caller\'s deadline', () => {
    expect(computeHoldLimits(100, 80)).to.deep.equal({ rejectableMs: 80, outcomeUnknownMs: 80 })
  })
})

describe('computeRetryAfterSeconds', () => {
  it('lets callers retry after a change of leader, and later when the control group is down', () => {
    expect(computeRetryAfterSeconds(300)).to.equal(1)
    expect(computeRetryAfterSeconds(3000)).to.equal(2)
  })
})
