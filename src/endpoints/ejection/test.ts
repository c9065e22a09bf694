import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { Ejection } from './index.js'

describe('Ejection', () => {
  let clock: ManualClock
  let ejection: Ejection

  beforeEach(() => {
    clock = new ManualClock()
    ejection = new Ejection(clock)
  })

  function recordFailures (times: number, mayEject = true): boolean[] {
    return Array.from({ length: times }, () => ejection.recordFailure(mayEject))
  }

  it('takes five failures in a row', () => {
    expect(recordFailures(5)).to.deep.equal([false, false, false, false, true])
    expect(ejection.isAvailable).to.equal(false)
  })

  it('begins anew after a success', () => {
    recordFailures(4)
    ejection.recordSuccess()
    recordFailures(4)
    expect(ejection.isAvailable).to.equal(true)
  })

  it('ejects nobody while the cap has no room', () => {
    recordFailures(20, false)
    expect(ejection.isAvailable).to.equal(true)
  })

  it('lets one trial through, and waits longer when it fails', async () => {
    recordFailures(5)
    await clock.advance(1000)
    expect(ejection.isAvailable).to.equal(true)
    ejection.beginRequest()
    expect(ejection.isAvailable).to.equal(false)
    ejection.recordFailure(true)
    await clock.advance(1999)
    expect(ejection.isAvailable).to.equal(false)
    await clock.advance(1)
    ejection.beginRequest()
    ejection.recordSuccess()
    expect(ejection.isAvailable).to.equal(true)
  })

  it('takes a refused trial for none', async () => {
    recordFailures(5)
    await clock.advance(1000)
    ejection.beginRequest()
    ejection.cancelProbe()
    expect(ejection.isAvailable).to.equal(true)
  })
})
