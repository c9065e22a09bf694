import { expect } from 'chai'
import { createJob, createStep } from '../fixtures/index.js'
import { forecastJob } from '../jobObjective/index.js'
import type { MeasuredJob } from '../measureDemand/index.js'
import { BatchState } from '../state/index.js'
import { createConfig, createQueue, createWorker } from '../fixtures/index.js'
import { WaitingWork } from './index.js'

const LAST = 1

const CAPACITY = { cpu: 4000, memory: 4000, accelerators: 0 }

function measure (changes: Parameters<typeof createJob>[1] = {}, placed = 0): MeasuredJob {
  const state = new BatchState()
  state.apply(1, { type: 'configure', at: 0, config: createConfig(1, [createQueue()]) })
  state.apply(2, { type: 'enrol', at: 0, workers: [createWorker('w')] })
  state.apply(3, { type: 'accept', at: 0, jobs: [createJob('00000000000000aa', { steps: [createStep({ count: 4, cpu: 2000, estimateMs: 1000 })], ...changes })] })
  state.apply(4, { type: 'place', at: 0, placements: Array.from({ length: placed }, (_, i) => ({ task: `00000000000000aa.0.0.${i}`, run: 1, worker: 'w@1' })) })
  const job = [...state.data.jobs.values()][0] as MeasuredJob['job']
  return { job, id: job.id, estimateCorrection: 1, priority: 1, isLasting: job.steps.some(({ isLasting }) => isLasting), isBeyondRate: false, acceptedAt: 0, forecast: forecastJob(job, job.occurrences.get(0) ?? null, createQueue(), 1), meanWork: 0 }
}

describe('WaitingWork', () => {
  it('counts the tasks that wait, and not those that run', () => {
    const work = new WaitingWork()
    work.addJob(measure({}, 1), CAPACITY, 0)
    expect(work.sumBefore(LAST)).to.equal(3 * 500)
  })

  it('leaves out jobs that can\'t be on time any more, since they run after the others', () => {
    const work = new WaitingWork()
    work.addJob(measure(), CAPACITY, 1300)
    expect(work.sumBefore(LAST)).to.equal(0)
    work.addJob(measure(), CAPACITY, 1200)
    expect([work.sumBefore(LAST), work.sumBefore(LAST, ''), work.sumBefore(LAST, 'studio')]).to.deep.equal([2000, 2000, 0])
  })

  it('counts jobs beyond the rate of their workspace only before others of this kind', () => {
    const work = new WaitingWork()
    work.addJob({ ...measure(), isBeyondRate: true }, CAPACITY, 0)
    work.add({ workspace: 'studio', priority: 3, load: 10 }, 400)
    expect([work.sumBefore(LAST), work.beforeBeyondRate]).to.deep.equal([0, 2010])
  })

  it('tells how long what waits may usually wait', () => {
    const work = new WaitingWork()
    expect(work.usualSlackMs).to.equal(Number.POSITIVE_INFINITY)
    work.addJob(measure(), CAPACITY, 0)
    work.add({ workspace: '', priority: 0, load: 1 }, 400)
    expect(work.usualSlackMs).to.equal((1200 + 400) / 2)
  })

  it('leaves out long-running and repeating jobs', () => {
    const work = new WaitingWork()
    work.addJob(measure({ steps: [createStep({ isLasting: true })] }), CAPACITY, 0)
    work.addJob(measure({ repeatCount: 2 }), CAPACITY, 0)
    expect(work.sumBefore(LAST)).to.equal(0)
  })

  it('sums what runs before a job: of its priority and above, of all or of one workspace', () => {
    const work = new WaitingWork()
    work.add({ workspace: 'studio', priority: 0, load: 100 }, 1000)
    work.add({ workspace: 'studio', priority: 1, load: 20 }, 1000)
    work.add({ workspace: 'library', priority: 1, load: 3 }, 1000)
    expect([work.sumBefore(0), work.sumBefore(1), work.sumBefore(1, 'studio'), work.sumBefore(0, 'library')]).to.deep.equal([100, 123, 120, 0])
    expect([...work.workspaces]).to.deep.equal(['studio', 'library'])
  })
})
