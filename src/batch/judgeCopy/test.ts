import { expect } from 'chai'
import fc from 'fast-check'
import { judgeCopy, type ObservedRun } from './index.js'

const RUN: ObservedRun = { isWorkerSilent: false, ranMs: 2000, percent: 20, unchangedMs: 0, usualMs: 600 }

describe('judgeCopy', () => {
  it('copies a run whose worker has stopped answering, whatever its progress', () => {
    expect(judgeCopy({ ...RUN, isWorkerSilent: true, percent: 99 })).to.equal('silentWorker')
    expect(judgeCopy({ ...RUN, isWorkerSilent: true, percent: -1, usualMs: null })).to.equal('silentWorker')
  })

  it('copies a run that will take several times as long as the others of its step', () => {
    expect(judgeCopy(RUN)).to.equal('straggler')
    expect(judgeCopy({ ...RUN, percent: 0, unchangedMs: 2000 })).to.equal('straggler')
  })

  it('leaves a run alone that will end before a copy could', () => {
    expect(judgeCopy({ ...RUN, percent: 80 })).to.equal(null)
    expect(judgeCopy({ ...RUN, percent: 100 })).to.equal(null)
  })

  it('leaves a run alone while too little is known', () => {
    expect(judgeCopy({ ...RUN, usualMs: null })).to.equal(null)
    expect(judgeCopy({ ...RUN, percent: -1 })).to.equal(null)
    expect(judgeCopy({ ...RUN, ranMs: 700 })).to.equal(null)
  })

  it('never copies a run of a responsive worker that has run for less than the usual time', () => {
    const run = fc.record({ isWorkerSilent: fc.constant(false), ranMs: fc.nat(5000), percent: fc.integer({ min: -1, max: 100 }), unchangedMs: fc.nat(5000), usualMs: fc.nat(5000) })
    fc.assert(fc.property(run, (observed) => {
      if (observed.ranMs < observed.usualMs) expect(judgeCopy(observed)).to.equal(null)
    }))
  })
})
