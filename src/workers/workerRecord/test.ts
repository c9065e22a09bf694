import { expect } from 'chai'
import { createWorker } from '../../batch/fixtures/index.js'
import { workerKey, type WorkerReport } from '../../batch/types.js'
import { isKnownReport, toRecord } from './index.js'

function createReport (changes: Partial<WorkerReport> = {}): WorkerReport {
  const { isDraining: _, ...record } = createWorker('w')
  return { ...record, state: 'ready', drainLeftMs: null, sequence: 4, ...changes }
}

const known = createWorker('w')
const workers = new Map([[workerKey(known), known]])

describe('isKnownReport', () => {
  it('recognises a report that repeats the state', () => {
    expect(isKnownReport(createReport({ sequence: 5 }), workers)).to.equal(true)
  })

  it('does not recognise a report that starts a drain, or a report of a draining worker', () => {
    expect(isKnownReport(createReport({ state: 'draining', drainLeftMs: 2000 }), workers)).to.equal(false)
    const draining = { ...known, isDraining: true }
    expect(isKnownReport(createReport(), new Map([[workerKey(draining), draining]]))).to.equal(false)
  })

  it('does not recognise another incarnation, address or capacity', () => {
    expect(isKnownReport(createReport({ born: 2 }), workers)).to.equal(false)
    expect(isKnownReport(createReport({ address: 'other:1' }), workers)).to.equal(false)
    expect(isKnownReport(createReport({ room: { cpu: 1, memory: 1, accelerators: 0 } }), workers)).to.equal(false)
  })
})

describe('toRecord', () => {
  it('keeps a draining worker draining', () => {
    expect(toRecord(createReport(), { ...known, isDraining: true }).isDraining).to.equal(true)
  })
})
