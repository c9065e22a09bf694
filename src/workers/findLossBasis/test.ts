import { expect } from 'chai'
import { findLossBasis } from './index.js'

const REINCARNATED = { isLeaseExpired: true, isGone: true, isReincarnated: true, goneForMs: 100 }

describe('findLossBasis', () => {
  it('waits until the lease of an unresponsive worker has expired', () => {
    expect(findLossBasis({ ...REINCARNATED, isLeaseExpired: false, isGone: false, isReincarnated: false }, 'listed')).to.equal(null)
    expect(findLossBasis({ ...REINCARNATED, isGone: false, isReincarnated: false }, 'open')).to.equal('leaseExpired')
  })

  it('ends the runs of an incarnation that is gone at once', () => {
    expect(findLossBasis({ ...REINCARNATED, isReincarnated: false }, 'open')).to.equal('workerGone')
    expect(findLossBasis(REINCARNATED, 'listed')).to.equal('listed')
  })

  it('keeps a run that a gone incarnation never listed until the next incarnation does not list it', () => {
    expect(findLossBasis(REINCARNATED, 'open')).to.equal(null)
    expect(findLossBasis(REINCARNATED, 'notListedNext')).to.equal('notListedNext')
  })

  it('waits no longer than the longest lease for a next incarnation that cannot be reached', () => {
    expect(findLossBasis({ ...REINCARNATED, goneForMs: 15_000 }, 'open')).to.equal('waited')
  })
})
