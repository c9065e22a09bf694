import { expect } from 'chai'
import type { Clock } from '../index.js'
import { SuspensionDetector } from './index.js'

function createClocks (): { steady: number, wallNow: number, clock: Clock } {
  const clocks = { steady: 1000, wallNow: 50_000, clock: null as unknown as Clock }
  clocks.clock = { now: () => clocks.steady, wall: () => clocks.wallNow, sleep: () => Promise.resolve(), after: () => () => {} }
  return clocks
}

describe('SuspensionDetector', () => {
  it('reports continuity while both clocks advance together', () => {
    const clocks = createClocks()
    const detector = new SuspensionDetector(clocks.clock)
    clocks.steady += 500
    clocks.wallNow += 510
    expect(detector.isContinuousSince(1100)).to.equal(true)
  })

  it('reports a suspension for every reading before a gap of the monotonic clock', () => {
    const clocks = createClocks()
    const detector = new SuspensionDetector(clocks.clock)
    clocks.steady += 10
    clocks.wallNow += 4000
    expect(detector.isContinuousSince(1005)).to.equal(false)
    clocks.steady += 10
    clocks.wallNow += 10
    expect(detector.isContinuousSince(1005)).to.equal(false)
    expect(detector.isContinuousSince(1015)).to.equal(true)
  })

  it('sums the times of all suspensions', () => {
    const clocks = createClocks()
    const detector = new SuspensionDetector(clocks.clock)
    expect(detector.suspendedMs).to.equal(0)
    for (const suspendedMs of [4000, 500]) {
      clocks.steady += 10
      clocks.wallNow += 10 + suspendedMs
      detector.isContinuousSince(clocks.steady)
    }
    clocks.steady += 10
    clocks.wallNow -= 9000
    expect(detector.suspendedMs).to.equal(4500)
  })

  it('reports no suspension when the wall clock is set back', () => {
    const clocks = createClocks()
    const detector = new SuspensionDetector(clocks.clock)
    clocks.steady += 10
    clocks.wallNow -= 4000
    expect(detector.isContinuousSince(1000)).to.equal(true)
  })
})
