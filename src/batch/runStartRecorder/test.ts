/** Tests of what the state and its readers tell about jobs whose runs were placed and have not begun; from the scheduler down to the calls. */
import { expect } from 'chai'
import { createJob, createStep } from '../fixtures/index.js'
import { createSchedulerHarness } from '../fixtures/schedulerHarness.js'
import { createStateHarness, JOB_ID } from '../fixtures/stateHarness.js'
import { getJobPhase } from '../requestHandler/index.js'
import { BatchState } from '../state/index.js'
import type { JobRecord, RunEnd } from '../state/records.js'

const QUEUE = 'studio.example /cleanup/'
const TASK = `${JOB_ID}.0.0.0`
const PLACED = { task: TASK, run: 1, worker: 'w@1' }

const getJob = (state: BatchState): JobRecord => state.data.jobs.get(JOB_ID) as JobRecord

describe('starts of runs in the replicated state', () => {
  // Clients were told that jobs had started which were placed on silent workers and had begun nowhere.
  it('counts a job as pending until one of its runs has begun (MIXED, review case 10)', () => {
    const { state, accept, apply } = bind()
    accept()
    apply('place', { placements: [PLACED], recordsStarts: true })
    expect([state.getPendingCount(QUEUE), getJobPhase(getJob(state))]).to.deep.equal([1, 'queued'])
    apply('place', { placements: [], recordsStarts: true, started: [PLACED] })
    expect([state.getPendingCount(QUEUE), getJobPhase(getJob(state))]).to.deep.equal([0, 'running'])
    expect(state.runsOn('w@1').get(TASK)).to.include({ run: 1, hasBegun: true })
  })

  for (const { outcome, isPending, evidence } of [
    { outcome: 'refused', isPending: true },
    { outcome: 'lost', isPending: true, evidence: null },
    { outcome: 'lapsed', isPending: true, evidence: null },
    { outcome: 'lapsed', isPending: false },
    { outcome: 'stopped', isPending: false },
    { outcome: 'failed', isPending: false }
  ] as ReadonlyArray<Pick<RunEnd, 'outcome' | 'evidence'> & { isPending: boolean }>) {
    it(`counts a job as ${isPending ? 'pending' : 'started'} whose run the ${evidence === null || outcome === 'refused' ? 'leader' : 'worker'} ended as ${outcome} before its start was recorded`, () => {
      const { state, accept, apply } = bind()
      accept()
      apply('place', { placements: [PLACED], recordsStarts: true })
      apply('end', { ends: [{ ...PLACED, outcome, checkpoint: '', ...(evidence === undefined ? {} : { evidence }) }] })
      expect(state.getPendingCount(QUEUE)).to.equal(isPending ? 1 : 0)
      apply('place', { placements: [], recordsStarts: true, started: [PLACED] })
      expect(state.getPendingCount(QUEUE), 'after a start that comes too late').to.equal(isPending ? 1 : 0)
    })
  }

  it('stops counting a job that ends before it has started', () => {
    const { state, accept, apply } = bind()
    accept()
    apply('place', { placements: [PLACED], recordsStarts: true })
    apply('cancel', { ids: [JOB_ID] })
    apply('place', { placements: [], recordsStarts: true, started: [PLACED] })
    expect(state.getPendingCount(QUEUE)).to.equal(0)
  })

  it('takes a run that an earlier build has placed for begun, since that build never tells', () => {
    const { state, accept, apply } = bind()
    accept()
    apply('place', { placements: [PLACED] })
    expect(state.getPendingCount(QUEUE)).to.equal(0)
  })

  it('restores the same count from a snapshot', () => {
    const { state, accept, apply } = bind()
    accept()
    apply('accept', { jobs: [createJob('00000000000000bb')] })
    apply('place', { placements: [PLACED, { ...PLACED, task: '00000000000000bb.0.0.0' }], recordsStarts: true })
    apply('place', { placements: [], recordsStarts: true, started: [PLACED] })
    const copy = new BatchState()
    copy.restore(state.serialize())
    expect(copy.getPendingCount(QUEUE)).to.equal(1)
    expect(copy.data).to.deep.equal(state.data)
  })
})

describe('RunStartRecorder', () => {
  it('records a start soon after the worker has answered it', async () => {
    const { clock, state, submit, stop } = createSchedulerHarness(1)
    await clock.advance(100)
    submit(JOB_ID)
    await clock.advance(1000)
    expect(state.getPendingCount(QUEUE)).to.equal(0)
    expect(getJobPhase(getJob(state))).to.equal('running')
    stop()
  })

  it('records a start whose answer was lost once the worker lists the run', async () => {
    const { clock, state, workers, submit, stop } = createSchedulerHarness(1)
    await clock.advance(100)
    const worker = workers.get('booth-0')
    if (worker === undefined) throw new Error('no worker')
    worker.startDelayMs = 650
    submit(JOB_ID)
    await clock.advance(600)
    expect(state.getPendingCount(QUEUE)).to.equal(1)
    await clock.advance(1500)
    expect(state.getPendingCount(QUEUE)).to.equal(0)
    stop()
  })

  it('records no start on a worker that is silent, and that of the run that follows elsewhere (MIXED)', async () => {
    const { clock, state, workers, submit, stop } = createSchedulerHarness(1)
    await clock.advance(100)
    const worker = workers.get('booth-0')
    if (worker === undefined) throw new Error('no worker')
    worker.isSilent = true
    submit(JOB_ID)
    await clock.advance(5000)
    expect([...state.runsOn('booth-0@1').keys()], 'placed').to.deep.equal([TASK])
    expect(state.getPendingCount(QUEUE)).to.equal(1)
    worker.isSilent = false
    await clock.advance(4000)
    expect(state.getPendingCount(QUEUE)).to.equal(0)
    stop()
  })

  it('records every start of a long-running task, and the first one of other jobs only', async () => {
    const { clock, state, submit, stop } = createSchedulerHarness(2)
    await clock.advance(100)
    submit(JOB_ID, { steps: [createStep({ count: 2, isLasting: true })] })
    submit('00000000000000bb', { steps: [createStep({ count: 2 }), createStep({ after: [0] })] })
    await clock.advance(1000)
    const listBegun = (job: string) => [0, 1].map((index) => state.data.jobs.get(job)?.occurrences.get(0)?.[0]?.tasks[index]?.active[0]?.hasBegun)
    expect(listBegun(JOB_ID)).to.deep.equal([true, true])
    expect(state.data.jobs.get('00000000000000bb')?.hasStarted).to.equal(true)
    stop()
  })
})

function bind () {
  const harness = createStateHarness()
  return { state: harness.state, accept: () => harness.accept(), apply: harness.apply.bind(harness) as typeof harness.apply }
}
