import { expect } from 'chai'
import fc from 'fast-check'
import { countJob, type RateBucket } from './index.js'

/** Counts jobs at the given times, and returns which of them are within the rate. */
function play (ratePerSecond: number, times: readonly number[]): number[] {
  let bucket: RateBucket | undefined
  const within: number[] = []
  for (const at of times) {
    const decision = countJob(bucket, ratePerSecond, at)
    bucket = decision.bucket
    if (!decision.isBeyondRate) within.push(at)
  }
  return within
}

describe('countJob', () => {
  it('lets a burst of five seconds pass, and then the rate', () => {
    const burst = Array.from({ length: 30 }, () => 1000)
    expect(play(4, burst)).to.have.length(20)
    expect(play(4, [...burst, 1250, 1250, 1500])).to.deep.equal([...Array.from({ length: 20 }, () => 1000), 1250, 1500])
  })

  it('lets one job pass when the rate is below one in five seconds, and none more without a rate', () => {
    expect(play(0.1, [0, 0, 10_000])).to.deep.equal([0, 10_000])
    expect(play(0, [0, 0, 10_000])).to.deep.equal([0])
  })

  it('gains nothing from a clock that was set back', () => {
    expect(play(1, [60_000, 60_000, 60_000, 60_000, 60_000, 1000, 60_000])).to.have.length(5)
  })

  it('lets no span have more than a burst and the rate times the span, and never refuses a sender that stays below the rate', () => {
    fc.assert(fc.property(fc.integer({ min: 1, max: 40 }), fc.array(fc.integer({ min: 0, max: 400 }), { minLength: 1, maxLength: 200 }), (rate, gaps) => {
      let at = 0
      const times = gaps.map((gap) => (at += gap))
      const within = play(rate, times)
      within.forEach((from, i) => {
        within.slice(i).forEach((to, j) => { expect(j + 1).to.be.at.most(5 * rate + (to - from) * rate / 1000 + 1e-6) })
      })
      const steady = times.map((_, i) => Math.ceil(i * 1000 / rate))
      expect(play(rate, steady)).to.have.length(steady.length)
    }), { numRuns: 50 })
  })
})
