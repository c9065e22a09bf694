import { expect } from 'chai'
import { LeaseClock } from './index.js'

const LEASE_MS = 3000
const TIMEOUT_MS = 1200

describe('LeaseClock', () => {
  it('assumes until the worker answers that an earlier leader has just granted a full lease', () => {
    expect(new LeaseClock(LEASE_MS, 1000).expiresAt).to.be.within(1000 + LEASE_MS / 0.98, 1000 + LEASE_MS / 0.98 + 100)
  })

  it('waits longer than the lease, because the worker clock may be 2 % slow', () => {
    const lease = new LeaseClock(LEASE_MS, 0)
    lease.observe(500_000, 10)
    const expiryMs = lease.grant(10, LEASE_MS, TIMEOUT_MS)
    expect(expiryMs).to.equal(500_000 + LEASE_MS)
    expect(lease.expiresAt).to.be.above(10 + LEASE_MS / 0.98)
  })

  it('counts a lease that was sent but not answered', () => {
    const lease = new LeaseClock(LEASE_MS, 0)
    lease.observe(500_000, 0)
    lease.grant(1000, LEASE_MS, TIMEOUT_MS)
    lease.grant(2000, LEASE_MS, TIMEOUT_MS)
    expect(lease.expiresAt).to.be.above(2000 + LEASE_MS)
  })

  it('ignores a reading that a later answer has overtaken', () => {
    const lease = new LeaseClock(LEASE_MS, 0)
    lease.observe(500_000, 100)
    lease.observe(499_950, 120)
    expect(lease.estimate(120)).to.equal(500_020)
  })
})
