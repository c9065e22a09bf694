import { expect } from 'chai'
import { createJob, createStep } from '../fixtures/index.js'
import type { JobRecord } from '../state/records.js'
import { loadOf, measureDemand, shareOf, type MeasuredJob } from './index.js'

const ROOM = { cpu: 16_000, memory: 32_000, accelerators: 0 }

function createMeasured (job: Partial<JobRecord>, isLasting = false): MeasuredJob {
  const record: JobRecord = { ...createJob('00000000000000aa'), acceptedAt: 0, state: 'active', hasStarted: false, endedAt: 0, occurrences: new Map(), doneOccurrences: 0, ...job }
  const outlook = { chainMs: 1000, leftChainMs: 1000, work: 1, leftWork: 1, onTimeUntil: 3000, lateUntil: 9000 }
  return { job: record, id: record.id, correction: 1, priority: 0, isLasting, acceptedAt: 0, outlook, meanWork: 1 }
}

describe('measureDemand', () => {
  it('takes the share of what a task takes most of', () => {
    expect(shareOf(createStep({ cpu: 1600, memory: 8000 }), ROOM)).to.equal(0.25)
    expect(shareOf(createStep({ cpu: 8000, memory: 0 }), ROOM)).to.equal(0.5)
    expect(shareOf(createStep({ cpu: 8000, memory: 3200, isFiller: true }), ROOM)).to.equal(0.1)
  })

  it('counts the tasks that are left, with corrected estimates', () => {
    const steps = [createStep({ count: 4, cpu: 4000, estimateMs: 1000 })]
    expect(loadOf({ steps, occurrences: new Map() }, ROOM, 2)).to.equal(2000)
    expect(loadOf({ steps, occurrences: new Map([[0, [{ tasks: [], doneCount: 3 }]]]) }, ROOM, 2)).to.equal(500)
  })

  it('gives work on time its own bound and late work a longer one', () => {
    const { work } = measureDemand([createMeasured({})], ROOM, 0, 500)
    expect(work[0]?.dueInMs).to.equal(2500)
    expect(measureDemand([createMeasured({})], ROOM, 0, 2500).work[0]?.dueInMs).to.equal(5000)
  })

  it('counts tasks that last as room, over as many machines as their limit asks for', () => {
    const steps = [createStep({ count: 5, cpu: 1600, isLasting: true, maxPerWorker: 2 })]
    expect(measureDemand([createMeasured({ steps }, true)], ROOM, 0, 0)).to.deep.equal({ work: [], arrivalRate: 0, longRunningLoad: 0.5, longRunningSpread: 3 })
  })
})
