import { expect } from 'chai'
import { createJob, createStep } from '../fixtures/index.js'
import type { JobRecord } from '../state/records.js'
import { computeLoad, measureDemand, computeDominantShare, type MeasuredJob } from './index.js'

const CAPACITY = { cpu: 16_000, memory: 32_000, accelerators: 0 }

function createMeasured (job: Partial<JobRecord>, isLasting = false): MeasuredJob {
  const record: JobRecord = { ...createJob('00000000000000aa'), acceptedAt: 0, isBeyondRate: false, state: 'active', hasStarted: false, isSuspect: false, endedAt: 0, occurrences: new Map(), doneOccurrences: 0, ...job }
  const forecast = { criticalPathMs: 1000, remainingCriticalPathMs: 1000, work: 1, remainingWork: 1, onTimeUntil: 3000, lateUntil: 9000 }
  return { job: record, id: record.id, estimateCorrection: 1, priority: 0, isLasting, isBeyondRate: false, acceptedAt: 0, forecast, meanWork: 1 }
}

describe('measureDemand', () => {
  it('returns the dominant share of a task, without processor capacity for fillers', () => {
    expect(computeDominantShare(createStep({ cpu: 1600, memory: 8000 }), CAPACITY)).to.equal(0.25)
    expect(computeDominantShare(createStep({ cpu: 8000, memory: 0 }), CAPACITY)).to.equal(0.5)
    expect(computeDominantShare(createStep({ cpu: 8000, memory: 3200, isFiller: true }), CAPACITY)).to.equal(0.1)
  })

  it('counts the remaining tasks with corrected estimates', () => {
    const steps = [createStep({ count: 4, cpu: 4000, estimateMs: 1000 })]
    expect(computeLoad({ steps, occurrences: new Map() }, CAPACITY, 2)).to.equal(2000)
    expect(computeLoad({ steps, occurrences: new Map([[0, [{ tasks: [], doneCount: 3 }]]]) }, CAPACITY, 2)).to.equal(500)
  })

  it('uses the deadline of a job that is on time and a fixed one for late jobs', () => {
    const { work } = measureDemand([createMeasured({})], CAPACITY, 0, 500)
    expect(work[0]?.dueInMs).to.equal(2500)
    expect(measureDemand([createMeasured({})], CAPACITY, 0, 2500).work[0]?.dueInMs).to.equal(5000)
  })

  it('counts long-running tasks as constant load, spread over as many machines as their limit requires', () => {
    const steps = [createStep({ count: 5, cpu: 1600, isLasting: true, maxPerWorker: 2 })]
    expect(measureDemand([createMeasured({ steps }, true)], CAPACITY, 0, 0)).to.deep.equal({ work: [], arrivalRate: 0, longRunningLoad: 0.5, longRunningSpread: 3 })
  })
})
