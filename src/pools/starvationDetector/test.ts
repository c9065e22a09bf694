import { expect } from 'chai'
import { StarvationDetector } from './index.js'

const WAITING = { isWaiting: true, starts: 0 }

describe('StarvationDetector', () => {
  it('reports a service whose tasks wait for more than a second without a start', () => {
    const meter = new StarvationDetector()
    for (const now of [0, 500, 1200]) meter.observe('a', WAITING, now)
    expect(meter.isStarved('a', 900)).to.equal(false)
    expect(meter.isStarved('a', 1200)).to.equal(true)
  })

  it('counts anew after a start, and when nothing waits', () => {
    for (const plan of [{ isWaiting: true, starts: 1 }, { isWaiting: false, starts: 0 }]) {
      const meter = new StarvationDetector()
      meter.observe('a', WAITING, 0)
      meter.observe('a', plan, 900)
      meter.observe('a', WAITING, 1000)
      expect(meter.isStarved('a', 1500)).to.equal(false)
    }
  })

  it('does not report an unknown service', () => {
    expect(new StarvationDetector().isStarved('a', 10_000)).to.equal(false)
  })
})
