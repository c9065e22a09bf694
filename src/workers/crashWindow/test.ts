import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { POLL_TIMEOUT_MS } from '../constants.js'
import { CrashWindow } from './index.js'

const WAIT_MS = 200

function createHarness () {
  const clock = new ManualClock()
  return { clock, window: new CrashWindow(clock), began: clock.now() }
}

describe('CrashWindow', () => {
  it('knows nothing before a poll has failed', async () => {
    const { clock, window } = createHarness()
    window.open(WAIT_MS)
    await clock.advance(WAIT_MS)
    expect(window.crashedBy).to.equal(Number.POSITIVE_INFINITY)
  })

  it('takes the moment at which a connection breaks for the latest moment of the crash', async () => {
    const { clock, window, began } = createHarness()
    const poll = window.open(WAIT_MS)
    await clock.advance(10)
    window.recordFailure(poll)
    await clock.advance(1000)
    expect(window.crashedBy).to.equal(began + 10)
  })

  it('does not conclude from a single missing answer that the worker was gone when it was due', async () => {
    const { clock, window } = createHarness()
    const poll = window.open(WAIT_MS)
    await clock.advance(WAIT_MS + POLL_TIMEOUT_MS)
    window.recordFailure(poll)
    expect(window.crashedBy).to.equal(Number.POSITIVE_INFINITY)
  })

  it('concludes from two missing answers that the worker was gone when the second was due', async () => {
    const { clock, window, began } = createHarness()
    const first = window.open(0)
    await clock.advance(50)
    window.open(0)
    await clock.advance(POLL_TIMEOUT_MS - 50)
    window.recordFailure(first)
    expect(window.crashedBy).to.equal(began + 50)
  })

  it('forgets missing answers once the worker answers', async () => {
    const { clock, window } = createHarness()
    const polls = [window.open(0), window.open(0), window.open(POLL_TIMEOUT_MS)] as const
    await clock.advance(POLL_TIMEOUT_MS)
    window.recordFailure(polls[0])
    window.recordFailure(polls[1])
    window.recordAnswer(polls[2])
    expect(window.crashedBy).to.equal(Number.POSITIVE_INFINITY)
  })
})
