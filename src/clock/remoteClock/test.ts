import { expect } from 'chai'
import fc from 'fast-check'
import { ManualClock } from '../index.js'
import { RemoteClock } from './index.js'

const DEADLINE_MS = 850

/** An answer: time since the one before, time on its way, and rate of the other clock until it is taken. */
const ANSWERS = fc.array(fc.record({ afterMs: fc.integer({ min: 0, max: 2000 }), delayMs: fc.integer({ min: 0, max: 5000 }), rate: fc.double({ min: 0.98, max: 1.02, noNaN: true }) }), { minLength: 1, maxLength: 40 })

describe('RemoteClock', () => {
  it('knows nothing of a process that has not answered', () => {
    expect(new RemoteClock(new ManualClock()).translate(0)).to.equal(null)
  })

  it('translates a time to the other clock, by the answer that was the fastest', async () => {
    const clock = new ManualClock(0)
    const remote = new RemoteClock(clock)
    const readings = [[0, 40], [100, 3], [200, 400]] as const
    for (const [sentAt, delayMs] of readings) {
      await clock.advance(sentAt + delayMs - clock.now())
      remote.record({ process: 1, ms: 70_000 + sentAt })
    }
    const { process, ms } = remote.translate(1000) ?? { process: 0, ms: 0 }
    expect(process).to.equal(1)
    expect(ms).to.be.within(70_970, 70_997)
  })

  it('follows a process that was restarted, whose clock begins anew', async () => {
    const clock = new ManualClock(0)
    const remote = new RemoteClock(clock)
    remote.record({ process: 1, ms: 70_000 })
    await clock.advance(1000)
    remote.record({ process: 2, ms: 300 })
    expect(remote.translate(clock.now())).to.deep.equal({ process: 2, ms: 300 })
  })

  it('never names a reading that the other clock reaches later, however answers are delayed and clocks drift', async () => {
    await fc.assert(fc.asyncProperty(ANSWERS, fc.double({ min: 0.98, max: 1, noNaN: true }), async (answers, slowRate) => {
      const clock = new ManualClock(0)
      const remote = new RemoteClock(clock)
      const deliveries: Array<{ at: number, ms: number }> = []
      let now = 0
      let other = 0
      for (const { afterMs, delayMs, rate } of answers) {
        now += afterMs
        other += afterMs * rate
        deliveries.push({ at: now + delayMs, ms: other })
      }
      deliveries.sort((a, b) => a.at - b.at)
      for (const { at, ms } of deliveries) {
        await clock.advance(at - clock.now())
        remote.record({ process: 1, ms })
      }
      const deadline = clock.now() + DEADLINE_MS
      const otherAtDeadline = other + (deadline - now) * slowRate
      expect(remote.translate(deadline)?.ms).to.be.at.most(otherAtDeadline + 1e-6)
    }), { seed: 48, numRuns: 200 })
  })
})
