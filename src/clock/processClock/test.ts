import { expect } from 'chai'
import { ManualClock } from '../index.js'
import { ProcessClock } from './index.js'

/** Clock of a machine that can be suspended, which the monotonic clock does not count. */
class SuspendableClock extends ManualClock {
  suspendedMs = 0

  override wall (): number {
    return super.wall() + this.suspendedMs
  }
}

describe('ProcessClock', () => {
  it('advances with the monotonic clock', async () => {
    const clock = new SuspendableClock()
    const processClock = new ProcessClock(clock, 7)
    const { process, ms } = processClock.read()
    await clock.advance(500)
    expect(processClock.read()).to.deep.equal({ process, ms: ms + 500 })
  })

  it('reaches a deadline also while the machine is suspended', async () => {
    const clock = new SuspendableClock()
    const processClock = new ProcessClock(clock)
    const { process, ms } = processClock.read()
    const deadline = { process, ms: ms + 850 }
    expect(processClock.timeLeft(deadline)).to.equal(850)
    clock.suspendedMs += 600
    await clock.advance(10)
    expect(processClock.timeLeft(deadline)).to.equal(240)
    clock.suspendedMs += 600
    expect(processClock.timeLeft(deadline)).to.equal(0)
    expect(processClock.read().ms).to.equal(ms + 1210)
  })

  it('leaves no time until a reading of another process', () => {
    const clock = new ManualClock()
    const { process, ms } = new ProcessClock(clock, 1).read()
    expect(new ProcessClock(clock, 2).timeLeft({ process, ms: ms + 850 })).to.equal(0)
  })
})
