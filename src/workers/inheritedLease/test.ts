import { expect } from 'chai'
import { createWorker } from '../../batch/fixtures/index.js'
import { createStateHarness, JOB_ID } from '../../batch/fixtures/stateHarness.js'
import { LEASE_MS, MAX_LATE_CALL_MS } from '../constants.js'
import { computeInheritedLease } from './index.js'

const MAX_LEASE_MS = 10_000

/** A worker that has restarted under its id, and has got a task if that is asked for. */
function createHarness (hasPlacement: boolean) {
  const harness = createStateHarness()
  harness.accept()
  harness.apply('enrol', { workers: [createWorker('w', { born: 2 })] })
  if (hasPlacement) harness.place(`${JOB_ID}.0.0.0`, 1, 'w@2')
  const { data } = harness.state
  return { at: data.now, leaseAt: (wall: number, born = 2) => computeInheritedLease(data, { id: 'w', born }, wall, MAX_LEASE_MS), leaseOfOther: (wall: number) => computeInheritedLease(data, { id: 'x', born: 1 }, wall, MAX_LEASE_MS) }
}

describe('computeInheritedLease', () => {
  it('expects the leases of earlier leaders on a worker that has not restarted', () => {
    const { at, leaseOfOther } = createHarness(false)
    expect(leaseOfOther(at)).to.equal(LEASE_MS)
  })

  it('expects the longest lease on a worker that has restarted while late calls to its earlier incarnation may still reach it', () => {
    const { at, leaseAt } = createHarness(false)
    expect(leaseAt(at)).to.equal(MAX_LEASE_MS)
    expect(leaseAt(at + MAX_LATE_CALL_MS)).to.equal(MAX_LEASE_MS)
    expect(leaseAt(at + MAX_LATE_CALL_MS + MAX_LEASE_MS)).to.equal(LEASE_MS)
  })

  it('expects what is left of the longest lease since the first placement on the worker (LOST, tasks of a lost worker waited 12 s)', () => {
    const { at, leaseAt } = createHarness(true)
    expect(leaseAt(at)).to.equal(MAX_LEASE_MS)
    expect(leaseAt(at + 5000)).to.be.within(MAX_LEASE_MS - 5000, MAX_LEASE_MS - 4000)
    expect(leaseAt(at + MAX_LEASE_MS)).to.equal(LEASE_MS)
  })

  it('expects the longest lease when the wall clock was set back', () => {
    const { at, leaseAt } = createHarness(true)
    expect(leaseAt(at - 60_000)).to.equal(MAX_LEASE_MS)
  })
})
