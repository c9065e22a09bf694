import { expect } from 'chai'
import { RunStats } from './index.js'

describe('RunStats', () => {
  it('assumes that estimates are too low until it has observed runs', () => {
    const stats = new RunStats()
    expect(stats.getEstimateCorrection('q')).to.equal(1.3)
    for (let i = 0; i < 200; i++) stats.observeCompletedRun('q', 'w', 1000, 2000)
    expect(stats.getEstimateCorrection('q')).to.be.within(1.9, 2.1)
  })

  it('puts a worker on probation after consecutive failures, and ends the probation with a success', () => {
    const stats = new RunStats()
    stats.observeFailedRun('w', 0)
    expect(stats.countAllowedStarts('w', 10, 0)).to.equal(Number.POSITIVE_INFINITY)
    stats.observeFailedRun('w', 20)
    expect(stats.countAllowedStarts('w', 30, 0)).to.equal(0)
    expect(stats.countAllowedStarts('w', 700, 0)).to.equal(1)
    expect(stats.countAllowedStarts('w', 700, 1)).to.equal(0)
    stats.observeCompletedRun('q', 'w', 1000, 1000)
    expect(stats.countAllowedStarts('w', 700, 0)).to.equal(Number.POSITIVE_INFINITY)
  })

  it('backs off with each failed probe, up to a limit', () => {
    const stats = new RunStats()
    for (let i = 0; i < 20; i++) stats.observeFailedRun('w', 0)
    expect(stats.countAllowedStarts('w', 4999, 0)).to.equal(0)
    expect(stats.countAllowedStarts('w', 5000, 0)).to.equal(1)
  })

  it('puts a stalled worker on probation at once', () => {
    const stats = new RunStats()
    stats.observeUnhealthyWorker('w', 0)
    expect(stats.countAllowedStarts('w', 100, 0)).to.equal(0)
  })
})
