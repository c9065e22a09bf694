import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerCalls, WorkerPollRequest } from '../../workers/types.js'
import { createStep } from '../fixtures/index.js'
import { createTermContext } from '../fixtures/termContext.js'
import { createStateHarness, JOB_ID } from '../fixtures/stateHarness.js'
import { LostRuns } from '../lostRuns/index.js'
import { RunStats } from '../runStats/index.js'
import type { BatchCommandType } from '../state/records.js'
import { RunEndRecorder } from './index.js'

const TASK = `${JOB_ID}.0.0.0`

/** A term in which worker `w` has finished a run, and in which proposals of one type are rejected. */
function createHarness (rejected: BatchCommandType) {
  const clock = new ManualClock()
  const harness = createStateHarness()
  const acknowledged: number[] = []
  const failing = { isOver: false }
  harness.accept({ steps: [createStep()] })
  harness.place(TASK, 1)
  const connect = ({ id }: { readonly id: string }): WorkerCalls => ({
    poll: async ({ acknowledgedSeq, waitMs }: WorkerPollRequest) => {
      const ended = id === 'w' && acknowledgedSeq < 1 ? [{ seq: 1, task: TASK, run: 1, outcome: 'done', checkpoint: '' } as const] : []
      if (id === 'w') acknowledged.push(acknowledgedSeq)
      await clock.sleep(ended.length > 0 ? 5 : 5 + waitMs)
      return { refusal: null, clockMs: clock.now(), born: 1, running: [], ended, hasMoreEnds: false }
    },
    close: () => {}
  }) as unknown as WorkerCalls
  const context = createTermContext(clock, harness.state, {
    propose: async (type, input) => {
      if (type === rejected && !failing.isOver) throw new Error('the proposal was rejected')
      return harness.apply(type, input as never)
    }
  })
  const registry = new WorkerRegistry(context, { connect, countCallers: () => 1 }, () => {})
  const recorder = new RunEndRecorder(context, registry, new LostRuns(clock, harness.state, registry), new RunStats())
  return { clock, harness, registry, recorder, acknowledged, failing }
}

describe('RunEndRecorder', () => {
  // The ends of a failed round were dropped, and acknowledged with those of the next one.
  it('commits the ends of a round that failed before it acknowledges them (TWICE)', async () => {
    const { clock, harness, registry, recorder, acknowledged, failing } = createHarness('end')
    await clock.advance(100)
    let failure: unknown
    await recorder.record(false).catch((err: unknown) => { failure = err })
    expect(failure).to.be.an('error')
    failing.isOver = true
    await clock.advance(1000)
    expect(acknowledged.every((seq) => seq === 0), 'acknowledged before the commit').to.equal(true)
    await recorder.record(false)
    expect(harness.phase).to.equal('completed')
    await clock.advance(1000)
    expect(acknowledged.at(-1)).to.equal(1)
    registry.end()
  })

  it('keeps the ends when an earlier proposal of the round fails', async () => {
    const { clock, harness, registry, recorder, acknowledged, failing } = createHarness('enrol')
    await clock.advance(100)
    harness.state.data.unconfirmedCrashes.set('x@1', { id: 'x', machine: 'm-x', born: 1, tasks: [], at: 1 })
    await recorder.record(true).catch(() => {})
    failing.isOver = true
    await recorder.record(true)
    expect(harness.phase).to.equal('completed')
    await clock.advance(1000)
    expect(acknowledged.at(-1)).to.equal(1)
    registry.end()
  })
})
