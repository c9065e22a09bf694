import { expect } from 'chai'
import { isRunOver } from './index.js'

const REINCARNATED = { isLeaseExpired: true, isGone: true, isReincarnated: true, goneForMs: 100 }

describe('isRunOver', () => {
  it('waits for the end of the lease of a silent worker', () => {
    expect(isRunOver({ ...REINCARNATED, isLeaseExpired: false, isGone: false, isReincarnated: false }, 'listed')).to.equal(false)
    expect(isRunOver({ ...REINCARNATED, isGone: false, isReincarnated: false }, 'open')).to.equal(true)
  })

  it('gives up at once what ran on a life that is gone', () => {
    expect(isRunOver({ ...REINCARNATED, isReincarnated: false }, 'open')).to.equal(true)
    expect(isRunOver(REINCARNATED, 'listed')).to.equal(true)
  })

  it('keeps a run that a gone life never listed until the next life under its id has barred it', () => {
    expect(isRunOver(REINCARNATED, 'open')).to.equal(false)
    expect(isRunOver(REINCARNATED, 'barred')).to.equal(true)
  })

  it('waits no longer than the longest lease for a next life that is not reached', () => {
    expect(isRunOver({ ...REINCARNATED, goneForMs: 15_000 }, 'open')).to.equal(true)
  })
})
