import { expect } from 'chai'
import { createStep } from '../fixtures/index.js'
import { createStateHarness as createHarness, JOB_ID as ID } from '../fixtures/stateHarness.js'
import type { BatchState } from '../state/index.js'
import type { RunEnd } from '../state/records.js'
import { judgeEnd } from './index.js'

const TASK = `${ID}.0.0.0`

function createState (): { readonly state: BatchState, readonly end: (outcome: RunEnd['outcome']) => void } {
  const harness = createHarness()
  harness.accept({ steps: [createStep({ count: 2 })] })
  harness.place(TASK, 1)
  return { state: harness.state, end: (outcome) => { harness.end(TASK, 1, outcome) } }
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
    expect(judgeEnd(state.data, done({ worker: 'x@1', outcome: 'stopped' }))).to.equal('runOver')
    end('lapsed')
    for (const outcome of ['lapsed', 'failed', 'stopped', 'broken', 'alone'] as const) expect(judgeEnd(state.data, done({ outcome }))).to.equal('runOver')
  })

  it('completes the task when the worker has finished a run that was recorded as over', () => {
    const { state, end } = createState()
    expect(judgeEnd(state.data, done({ worker: 'x@1' }))).to.equal('completed')
    end('lapsed')
    expect(judgeEnd(state.data, done())).to.equal('completed')
  })

  it('tells that the task is done or the job has ended', () => {
    const { state, end } = createState()
    end('done')
    expect(judgeEnd(state.data, done())).to.equal('taskDone')
    state.apply(0, { type: 'cancel', at: 3, ids: [ID] })
    expect(judgeEnd(state.data, done())).to.equal('jobEnded')
  })

  describe('when a worker reports a run as done that was recorded as over (TWICE)', () => {
    it('does not start the task again', () => {
      const harness = createHarness()
      harness.accept({ steps: [createStep({ count: 2 })] })
      harness.place(`${ID}.0.0.0`, 1)
      harness.end(`${ID}.0.0.0`, 1, 'lapsed')
      harness.end(`${ID}.0.0.0`, 1, 'done')
      expect(harness.place(`${ID}.0.0.0`, 2)).to.equal(false)
      expect(harness.phase).to.equal('active')
      harness.place(`${ID}.0.0.1`, 1)
      harness.end(`${ID}.0.0.1`, 1, 'done')
      expect(harness.phase).to.equal('completed')
    })

    it('takes the run back that was started since', () => {
      const harness = createHarness()
      harness.accept({ steps: [createStep({ count: 2 })] })
      harness.place(`${ID}.0.0.0`, 1)
      harness.end(`${ID}.0.0.0`, 1, 'lapsed')
      harness.place(`${ID}.0.0.0`, 2, 'x@1')
      harness.end(`${ID}.0.0.0`, 1, 'done')
      expect([...harness.state.unneededRuns].map(([{ run, worker }, task]) => ({ run, worker, task }))).to.deep.equal([{ run: 2, worker: 'x@1', task: `${ID}.0.0.0` }])
    })

    it('completes all tasks of a gang by one of its members', () => {
      const harness = createHarness()
      harness.accept({ steps: [createStep({ isGang: true, count: 3 })] })
      for (const index of [0, 1, 2]) {
        harness.place(`${ID}.0.0.${index}`, 1)
        harness.end(`${ID}.0.0.${index}`, 1, 'lapsed')
      }
      harness.end(`${ID}.0.0.1`, 1, 'done')
      expect(harness.phase).to.equal('completed')
    })

    it('completes one occurrence of a repeated job once', () => {
      const harness = createHarness()
      harness.accept({ repeatCount: 2, intervalMs: 1000 })
      harness.place(`${ID}.0.0.0`, 1)
      harness.end(`${ID}.0.0.0`, 1, 'lapsed')
      harness.end(`${ID}.0.0.0`, 1, 'done')
      harness.end(`${ID}.0.0.0`, 1, 'done')
      expect(harness.phase).to.equal('active')
      harness.place(`${ID}.1.0.0`, 1)
      harness.end(`${ID}.1.0.0`, 1, 'done')
      expect(harness.phase).to.equal('completed')
    })

    it('leaves a cancelled job cancelled, and restarts a long-running task', () => {
      const harness = createHarness()
      harness.accept({ steps: [createStep({ isLasting: true })] })
      harness.place(`${ID}.0.0.0`, 1)
      harness.end(`${ID}.0.0.0`, 1, 'lapsed')
      harness.end(`${ID}.0.0.0`, 1, 'done')
      expect(harness.place(`${ID}.0.0.0`, 2)).to.equal(true)
      harness.apply('cancel', { ids: [ID] })
      harness.end(`${ID}.0.0.0`, 1, 'done')
      expect(harness.phase).to.equal('cancelled')
    })
  })
})
