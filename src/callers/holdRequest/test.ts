import { expect } from 'chai'
import { holdTimes, retryAfterSeconds } from './index.js'

describe('holdTimes', () => {
  it('looks for a new leader for about half a second', () => {
    expect(holdTimes(100, 3000).refusableMs).to.equal(550)
  })

  it('sends callers away at once when there has been no leader for long', () => {
    expect(holdTimes(5000, 3000).refusableMs).to.equal(150)
  })

  it('asks for longer than a change of leader takes when a copy of the request may be carried out', () => {
    expect(holdTimes(100, 3000).unclearMs).to.be.above(1200)
    expect(holdTimes(5000, 3000).unclearMs).to.be.above(1200)
  })

  it('never goes beyond the time that the caller has', () => {
    expect(holdTimes(100, 80)).to.deep.equal({ refusableMs: 80, unclearMs: 80 })
  })
})

describe('retryAfterSeconds', () => {
  it('asks callers back after a change of leader, and later when control is down', () => {
    expect(retryAfterSeconds(300)).to.equal(1)
    expect(retryAfterSeconds(3000)).to.equal(2)
  })
})
