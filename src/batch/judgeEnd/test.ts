import { expect } from 'chai'
import { createJob, createStep, createWorker } from '../fixtures/index.js'
import { BatchState } from '../state/index.js'
import type { BatchCommand, RunEnd } from '../state/records.js'
import { judgeEnd } from './index.js'

const ID = '00000000000000aa'
const TASK = `${ID}.0.0.0`

function createState (): { readonly state: BatchState, readonly end: (outcome: RunEnd['outcome']) => void } {
  const state = new BatchState()
  const apply = (command: BatchCommand): unknown => state.apply(0, command)
  apply({ type: 'enrol', at: 1, workers: [createWorker('w')] })
  apply({ type: 'accept', at: 1, jobs: [createJob(ID, { steps: [createStep({ count: 2 })] })] })
  apply({ type: 'place', at: 1, placements: [{ task: TASK, run: 1, worker: 'w@1' }] })
  return { state, end: (outcome) => { apply({ type: 'end', at: 2, ends: [{ task: TASK, run: 1, worker: 'w@1', outcome, checkpoint: '' }] }) } }
}

const done = (changes: Partial<RunEnd> = {}): RunEnd => ({ task: TASK, run: 1, worker: 'w@1', outcome: 'done', checkpoint: '', ...changes })

describe('judgeEnd', () => {
  it('records the end of a run that may be running', () => {
    expect(judgeEnd(createState().state.data, done())).to.equal('recorded')
  })

  it('tells why an end changes nothing', () => {
    const { state, end } = createState()
    expect(judgeEnd(state.data, done({ task: 'not a task' }))).to.equal('unknownTask')
    expect(judgeEnd(state.data, done({ task: `${ID}.0.0.7` }))).to.equal('unknownTask')
    expect(judgeEnd(state.data, done({ run: 2 }))).to.equal('neverPlaced')
    expect(judgeEnd(state.data, done({ worker: 'x@1' }))).to.equal('runOver')
    end('lapsed')
    expect(judgeEnd(state.data, done())).to.equal('runOver')
  })

  it('tells that the task is done or the job has ended', () => {
    const { state, end } = createState()
    end('done')
    expect(judgeEnd(state.data, done())).to.equal('taskDone')
    state.apply(0, { type: 'cancel', at: 3, ids: [ID] })
    expect(judgeEnd(state.data, done())).to.equal('jobEnded')
  })
})
