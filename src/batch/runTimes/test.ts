import { expect } from 'chai'
import fc from 'fast-check'
import { RunTimes, type CompletedRun } from './index.js'

function createRun (changes: Partial<CompletedRun> = {}): CompletedRun {
  return { stepKey: 'j.0.0', kind: 'q', estimateMs: 1000, durationMs: 600, isFar: false, ...changes }
}

describe('RunTimes', () => {
  it('assumes that estimates are too low until a run has ended', () => {
    expect(new RunTimes(2).forecast('j.0.0', 'q', 1000)).to.deep.equal({ meanMs: 1300, spread: 0.5 })
  })

  it('believes the runs of the same step more than its estimate', () => {
    const runTimes = new RunTimes(2)
    for (let i = 0; i < 4; i++) runTimes.observe(createRun())
    expect(runTimes.forecast('j.0.0', 'q', 1000).meanMs).to.be.within(600, 700)
    expect(runTimes.forecast('k.0.0', 'q', 1000).meanMs).to.be.within(1100, 1300)
  })

  it('learns how far the estimates of one kind are off, and leaves other kinds alone', () => {
    const runTimes = new RunTimes(2)
    for (let i = 0; i < 300; i++) runTimes.observe(createRun({ stepKey: `j${i}.0.0`, durationMs: 2500 }))
    expect(runTimes.forecast('k.0.0', 'q', 1000).meanMs).to.be.within(2400, 2600)
    expect(runTimes.forecast('k.0.0', 'other', 1000).meanMs).to.equal(1300)
  })

  it('narrows the spread while forecasts hold', () => {
    const runTimes = new RunTimes(2)
    for (let i = 0; i < 300; i++) runTimes.observe(createRun())
    expect(runTimes.forecast('j.0.0', 'q', 1000).spread).to.be.below(0.1)
  })

  it('learns the penalty from far and near runs of one step, and not from estimates', () => {
    const runTimes = new RunTimes(2)
    for (let i = 0; i < 20; i++) runTimes.observe(createRun({ stepKey: `far${i}.0.0`, isFar: true, durationMs: 9000 }))
    expect(runTimes.remotePenalty).to.equal(2)
    runTimes.observe(createRun())
    for (let i = 0; i < 60; i++) runTimes.observe(createRun({ isFar: true, durationMs: 1800 }))
    expect(runTimes.remotePenalty).to.be.within(2.9, 3.01)
    expect(runTimes.forecast('j.0.0', 'q', 1000).meanMs).to.be.below(1000)
  })

  it('forgets the oldest steps, so that its size has a bound', () => {
    const runTimes = new RunTimes(2)
    for (let i = 0; i < 2100; i++) runTimes.observe(createRun({ stepKey: `j${i}.0.0`, estimateMs: 500, durationMs: 500 }))
    expect(runTimes.forecast('j0.0.0', 'x', 1000).meanMs).to.equal(1300)
    expect(runTimes.forecast('j2099.0.0', 'x', 1000).meanMs).to.be.below(1300)
  })

  it('forecasts positive times and keeps the penalty within its bounds, whatever it observes', () => {
    const run = fc.record({ stepKey: fc.constantFrom('a', 'b'), kind: fc.constantFrom('q', 'r'), estimateMs: fc.integer({ min: 0, max: 10_000 }), durationMs: fc.integer({ min: -5, max: 100_000 }), isFar: fc.boolean() })
    fc.assert(fc.property(fc.array(run, { maxLength: 40 }), (runs) => {
      const runTimes = new RunTimes(3)
      for (const each of runs) runTimes.observe(each)
      const { meanMs, spread } = runTimes.forecast('a', 'q', 1000)
      expect(meanMs).to.be.above(0)
      expect(spread).to.be.within(0, 1)
      expect(runTimes.remotePenalty).to.be.within(1, 6)
    }), { seed: 41 })
  })
})
