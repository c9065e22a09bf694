import { expect } from 'chai'
import { RunStats } from './index.js'

/** A failed run of a step of which other tasks are done. */
const PROVEN = { job: 'a', isStepProven: true }

describe('RunStats', () => {
  it('assumes that estimates are too low until it has observed runs', () => {
    const stats = new RunStats()
    expect(stats.getEstimateCorrection('q')).to.equal(1.3)
    for (let i = 0; i < 200; i++) stats.observeCompletedRun('q', 'w', 1000, 2000)
    expect(stats.getEstimateCorrection('q')).to.be.within(1.9, 2.1)
  })

  it('puts a worker on probation after consecutive failures, and ends the probation with a success', () => {
    const stats = new RunStats()
    stats.observeFailedRun('w', PROVEN, 0)
    expect(stats.countAllowedStarts('w', 10)).to.equal(Number.POSITIVE_INFINITY)
    stats.observeFailedRun('w', PROVEN, 20)
    expect(stats.countAllowedStarts('w', 30)).to.equal(0)
    expect(stats.countAllowedStarts('w', 700)).to.equal(1)
    stats.observePlacement('w', 700)
    expect(stats.countAllowedStarts('w', 701)).to.equal(0)
    stats.observeSoundRun('w')
    expect(stats.countAllowedStarts('w', 701)).to.equal(Number.POSITIVE_INFINITY)
  })

  it('ends the probation of a worker with a long-running task that is at work since its last failure, and with no earlier one', () => {
    const stats = new RunStats()
    for (const at of [0, 1]) stats.observeFailedRun('w', PROVEN, at)
    stats.observeSoundRun('w', 1)
    expect(stats.hasFailures('w')).to.equal(true)
    stats.observeSoundRun('w', 700)
    expect(stats.hasFailures('w')).to.equal(false)
    expect(stats.countAllowedStarts('w', 701)).to.equal(Number.POSITIVE_INFINITY)
  })

  it('allows another probe after 2 s when the last one neither ends nor fails, as a long-running task (LOST, worker closed for good)', () => {
    const stats = new RunStats()
    for (const at of [0, 1]) stats.observeFailedRun('w', PROVEN, at)
    stats.observePlacement('w', 700)
    expect(stats.countAllowedStarts('w', 2699)).to.equal(0)
    expect(stats.countAllowedStarts('w', 2700)).to.equal(1)
  })

  it('waits no longer for a probe that has failed', () => {
    const stats = new RunStats()
    for (const at of [0, 1]) stats.observeFailedRun('w', PROVEN, at)
    stats.observePlacement('w', 700)
    stats.observeFailedRun('w', PROVEN, 800)
    expect(stats.countAllowedStarts('w', 1999)).to.equal(0)
    expect(stats.countAllowedStarts('w', 2000)).to.equal(1)
  })

  it('backs off with each failed probe, up to a limit', () => {
    const stats = new RunStats()
    for (let i = 0; i < 20; i++) stats.observeFailedRun('w', PROVEN, 0)
    expect(stats.countAllowedStarts('w', 1999)).to.equal(0)
    expect(stats.countAllowedStarts('w', 2000)).to.equal(1)
  })

  it('puts a stalled worker on probation at once', () => {
    const stats = new RunStats()
    stats.observeUnhealthyWorker('w', 0)
    expect(stats.countAllowedStarts('w', 100)).to.equal(0)
  })

  it('does not put a worker on probation for the failures of one job that has failed everywhere', () => {
    const stats = new RunStats()
    for (let i = 0; i < 20; i++) stats.observeFailedRun('w', { job: 'a', isStepProven: false }, 0)
    expect(stats.countAllowedStarts('w', 1)).to.equal(Number.POSITIVE_INFINITY)
    stats.observeFailedRun('w', { job: 'b', isStepProven: false }, 2)
    expect(stats.countAllowedStarts('w', 3)).to.equal(0)
  })
})
