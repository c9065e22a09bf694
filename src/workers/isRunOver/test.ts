import { expect } from 'chai'
import { isRunOver } from './index.js'

const REBORN = { isLeaseOver: true, isGone: true, isReborn: true, goneMs: 100 }

describe('isRunOver', () => {
  it('waits for the end of the lease of a silent worker', () => {
    expect(isRunOver({ ...REBORN, isLeaseOver: false, isGone: false, isReborn: false }, 'listed')).to.equal(false)
    expect(isRunOver({ ...REBORN, isGone: false, isReborn: false }, 'open')).to.equal(true)
  })

  it('gives up at once what ran on a life that is gone', () => {
    expect(isRunOver({ ...REBORN, isReborn: false }, 'open')).to.equal(true)
    expect(isRunOver(REBORN, 'listed')).to.equal(true)
  })

  it('keeps a run that a gone life never listed until the next life under its id has barred it', () => {
    expect(isRunOver(REBORN, 'open')).to.equal(false)
    expect(isRunOver(REBORN, 'barred')).to.equal(true)
  })

  it('waits no longer than the longest lease for a next life that is not reached', () => {
    expect(isRunOver({ ...REBORN, goneMs: 15_000 }, 'open')).to.equal(true)
  })
})
