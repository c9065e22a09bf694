import { expect } from 'chai'
import { LEASE_MS, MAX_IDLE_POLL_WAIT_MS, POLL_TIMEOUT_MS, POLL_WAIT_MS } from '../constants.js'
import { computeIdlePollWait } from './index.js'

describe('computeIdlePollWait', () => {
  it('polls the idle workers of fleets of hundreds as often as the busy ones', () => {
    expect(computeIdlePollWait(35, 2)).to.equal(POLL_WAIT_MS)
    expect(computeIdlePollWait(378, 4)).to.equal(POLL_WAIT_MS)
    expect(computeIdlePollWait(250, 2)).to.equal(POLL_WAIT_MS)
  })

  it('polls the idle workers of fleets of thousands less often', () => {
    expect(computeIdlePollWait(995, 4)).to.equal(995)
    expect(computeIdlePollWait(3000, 4)).to.equal(MAX_IDLE_POLL_WAIT_MS)
    expect(computeIdlePollWait(378, 0)).to.be.within(POLL_WAIT_MS, MAX_IDLE_POLL_WAIT_MS)
  })

  it('renews the lease of a run that starts during the longest wait before it expires, also after one poll that is not answered', () => {
    expect(MAX_IDLE_POLL_WAIT_MS + POLL_TIMEOUT_MS).to.be.below(LEASE_MS * 0.98)
  })
})
