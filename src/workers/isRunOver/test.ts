import { expect } from 'chai'
import { isRunOver } from './index.js'

const REINCARNATED = { isLeaseExpired: true, isGone: true, isReincarnated: true, goneForMs: 100 }

describe('isRunOver', () => {
  it('waits until the lease of an unresponsive worker has expired', () => {
    expect(isRunOver({ ...REINCARNATED, isLeaseExpired: false, isGone: false, isReincarnated: false }, 'listed')).to.equal(false)
    expect(isRunOver({ ...REINCARNATED, isGone: false, isReincarnated: false }, 'open')).to.equal(true)
  })

  it('ends the runs of an incarnation that is gone at once', () => {
    expect(isRunOver({ ...REINCARNATED, isReincarnated: false }, 'open')).to.equal(true)
    expect(isRunOver(REINCARNATED, 'listed')).to.equal(true)
  })

  it('keeps a run that a gone incarnation never listed until the next incarnation has revoked it', () => {
    expect(isRunOver(REINCARNATED, 'open')).to.equal(false)
    expect(isRunOver(REINCARNATED, 'revoked')).to.equal(true)
  })

  it('waits no longer than the longest lease for a next incarnation that cannot be reached', () => {
    expect(isRunOver({ ...REINCARNATED, goneForMs: 15_000 }, 'open')).to.equal(true)
  })
})
