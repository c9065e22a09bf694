import { expect } from 'chai'
import { createConfig, createJob, createQueue, createStep, createWorker } from '../fixtures/index.js'
import { BatchState } from '../state/index.js'
import { RunOrders } from '../../workers/runOrder/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import { explainBatch, type BatchExplainContext } from './index.js'

const ID = '00000000000000aa'

function createContext (sessions: readonly Partial<WorkerSession>[] = []): BatchExplainContext & { readonly state: BatchState } {
  const state = new BatchState()
  state.apply(1, { type: 'configure', at: 1000, config: createConfig(7, [createQueue()]) })
  state.apply(2, { type: 'enrol', at: 1000, workers: [createWorker('w')] })
  state.apply(3, { type: 'accept', at: 1000, jobs: [createJob(ID, { steps: [createStep({ count: 3 }), createStep({ after: [0] })] })] })
  return { state, sessions: sessions as readonly WorkerSession[], relayOf: () => null, waitOf: () => null, wall: 3500 }
}

function createSession (changes: Partial<WorkerSession> = {}): Partial<WorkerSession> {
  return { key: 'w@1', record: createWorker('w'), isLive: true, goneReason: null, orders: new RunOrders(), consecutiveRefusals: 0, contact: { unresponsiveMs: 10 }, ...changes } as Partial<WorkerSession>
}

describe('explainBatch', () => {
  it('explains that no task of a job has started, and whether its service has workers', () => {
    const lines = explainBatch(createContext([createSession()]), 'job', ID)
    expect(lines[0]).to.equal(`Job ${ID} is active, was accepted 2.5 s ago in queue cleanup, and runs on booth.`)
    expect(lines.slice(1)).to.deep.equal(['None of its tasks has started.', 'Service booth has 1 workers: 1 responsive, 0 of them draining.'])
  })

  it('lists the progress of each step', () => {
    const context = createContext()
    context.state.apply(4, { type: 'place', at: 2000, placements: [{ task: `${ID}.0.0.0`, run: 1, worker: 'w@1' }, { task: `${ID}.0.0.1`, run: 1, worker: 'w@1' }] })
    context.state.apply(5, { type: 'end', at: 2000, ends: [{ task: `${ID}.0.0.0`, run: 1, worker: 'w@1', outcome: 'done', checkpoint: '' }] })
    expect(explainBatch(context, 'job', ID).slice(1)).to.deep.equal([
      'Step 0.0: 3 tasks, 1 done, 1 running or being started, 0 failures.',
      'Step 0.1: 1 tasks, 0 done, 0 running or being started, 0 failures, depends on step 0.'
    ])
  })

  it('names the worker of a run and tells that it is unresponsive', () => {
    const context = createContext([createSession({ isLive: false, contact: { unresponsiveMs: 1800 } } as Partial<WorkerSession>)])
    context.state.apply(4, { type: 'place', at: 2000, placements: [{ task: `${ID}.0.0.0`, run: 1, worker: 'w@1' }] })
    expect(explainBatch(context, 'task', `${ID}.0.0.0`)[1]).to.equal('Run 1 was placed on w@1 1.5 s ago: the worker has not answered for 1800 ms, and the leader waits for its lease to expire.')
  })

  it('lists the workers on which a task has failed, and how long it has been waiting', () => {
    const context = createContext()
    context.state.apply(4, { type: 'place', at: 2000, placements: [{ task: `${ID}.0.0.0`, run: 1, worker: 'w@1' }] })
    context.state.apply(5, { type: 'end', at: 2500, ends: [{ task: `${ID}.0.0.0`, run: 1, worker: 'w@1', outcome: 'failed', checkpoint: '' }] })
    expect(explainBatch(context, 'task', `${ID}.0.0.0`)).to.include.members(['It failed on w@1.', 'It has been waiting since its last run ended 1.0 s ago.'])
  })

  it('tells that a task waits for a near place, and until when', () => {
    const waitOf = (task: string) => task === `${ID}.0.0.0` ? { rack: 'r1', sinceWall: 3200, untilWall: 4000 } : null
    const context = { ...createContext(), waitOf }
    context.state.apply(4, { type: 'place', at: 2000, placements: [{ task: `${ID}.0.0.1`, run: 1, worker: 'w@1' }] })
    expect(explainBatch(context, 'task', `${ID}.0.0.0`)).to.include('It has waited 0.3 s for a place on rack r1, near its data, and starts elsewhere in 0.5 s at the latest.')
    expect(explainBatch(context, 'task', `${ID}.0.0.2`).join(' ')).not.to.include('place on rack')
    const gang = { ...context, waitOf: () => ({ rack: '', sinceWall: 3200, untilWall: 4000 }) }
    expect(explainBatch(gang, 'task', `${ID}.0.0.0`).join(' ')).to.include('for a rack with room for its whole gang')
  })

  it('finds a worker by its machine', () => {
    expect(explainBatch(createContext([createSession()]), 'worker', 'm-w')[0]).to.include('Worker w@1 on machine m-w, service booth, availability zone a, is responsive.')
  })

  it('counts the jobs of a queue', () => {
    expect(explainBatch(createContext(), 'queue', 'cleanup')).to.include('1 jobs are active, of which 1 have not started.')
  })

  it('lists the progress of a wave', () => {
    const context = createContext()
    context.state.apply(4, { type: 'startWave', at: 3000, wave: { id: 2, machines: ['m', 'n'], deadlineMs: 20_000, cap: 1 } })
    expect(explainBatch(context, 'wave', '2')).to.deep.equal(['Wave 2 of 2 machines, at most 1 at once, is running, 20 s before its deadline.', 'Machines: 2 waiting.', 'm: waiting.', 'n: waiting.'])
  })

  it('names the configuration version in force', () => {
    expect(explainBatch(createContext(), 'config', '')[0]).to.include('Configuration version 7 is in force')
  })

  it('reports that an object does not exist', () => {
    expect(explainBatch(createContext(), 'job', 'x')).to.deep.equal(['There is no job x.'])
  })
})
