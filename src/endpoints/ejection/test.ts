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

  it('ejects an endpoint after five consecutive failures', () => {
    expect(recordFailures(5)).to.deep.equal([false, false, false, false, true])
    expect(ejection.isAvailable).to.equal(false)
  })

  it('resets the failure count after a success', () => {
    recordFailures(4)
    ejection.recordSuccess()
    recordFailures(4)
    expect(ejection.isAvailable).to.equal(true)
  })

  it('does not eject an endpoint while the cap is reached', () => {
    recordFailures(20, false)
    expect(ejection.isAvailable).to.equal(true)
  })

  it('allows one probe, and doubles the ejection time when it fails', async () => {
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

  it('allows another probe after a refused one', async () => {
    recordFailures(5)
    await clock.advance(1000)
    ejection.beginRequest()
    ejection.cancelProbe()
    expect(ejection.isAvailable).to.equal(true)
  })
})
