import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { MAX_WORKER_LEASE_MS } from '../../workers/constants.js'
import { WorkerRegistry } from '../../workers/registry/index.js'
import type { WorkerCalls, WorkerPollRequest } from '../../workers/types.js'
import { createStep } from '../fixtures/index.js'
import { createTermContext } from '../fixtures/termContext.js'
import { createStateHarness, JOB_ID } from '../fixtures/stateHarness.js'
import { LostRuns } from '../lostRuns/index.js'
import { RunStats } from '../runStats/index.js'
import { RunTimes } from '../runTimes/index.js'
import type { BatchCommandType } from '../state/records.js'
import type { RunOutcome, Step } from '../types.js'
import { TaskCopier } from '../taskCopier/index.js'
import { RunEndRecorder } from './index.js'

const TASK = `${JOB_ID}.0.0.0`

/** A failed run of a step of which other tasks are done. */
const PROVEN = { job: JOB_ID, isStepProven: true }

interface HarnessOptions {
  /** Type of the proposals that are rejected. */
  readonly rejected?: BatchCommandType
  readonly outcome?: RunOutcome
  readonly checkpoint?: string
  readonly step?: Partial<Step>
  /** Time since the placement of the run. */
  readonly placedMsAgo?: number
}

/** A term in which a run on worker `w` has ended. */
function createHarness ({ rejected, outcome = 'done', checkpoint = '', step = {}, placedMsAgo = 1000 }: HarnessOptions = {}) {
  const clock = new ManualClock()
  const stats = new RunStats()
  const runTimes = new RunTimes(3)
  const harness = createStateHarness()
  const acknowledged: number[] = []
  let forgottenSeq = 0
  const failing = { isOver: false }
  harness.accept({ steps: [createStep(step)] })
  harness.state.apply(1, { type: 'place', at: clock.wall() - placedMsAgo, placements: [{ task: TASK, run: 1, worker: 'w@1' }] })
  const connect = ({ id }: { readonly id: string }): WorkerCalls => ({
    poll: async ({ acknowledgedSeq, waitMs }: WorkerPollRequest) => {
      if (id === 'w') forgottenSeq = Math.max(forgottenSeq, acknowledgedSeq)
      const ended = id === 'w' && forgottenSeq < 1 ? [{ seq: 1, task: TASK, run: 1, outcome, checkpoint } as const] : []
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
  const registry = new WorkerRegistry(context, { connect, countCallers: () => 1, maxLeaseMs: MAX_WORKER_LEASE_MS }, () => {})
  const recorder = new RunEndRecorder(context, registry, new LostRuns(clock, harness.state, registry), stats, new TaskCopier(context, registry), runTimes)
  return { clock, stats, runTimes, harness, registry, recorder, acknowledged, failing }
}

describe('RunEndRecorder', () => {
  // The ends of a failed round were dropped, and acknowledged with those of the next one.
  it('commits the ends of a round that failed before it acknowledges them (TWICE)', async () => {
    const { clock, harness, registry, recorder, acknowledged, failing } = createHarness({ rejected: 'end' })
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
    expect(acknowledged.filter((seq) => seq > 0)).to.deep.equal([1])
    registry.end()
  })

  it('keeps the ends when an earlier proposal of the round fails', async () => {
    const { clock, harness, registry, recorder, acknowledged, failing } = createHarness({ rejected: 'enrol' })
    await clock.advance(100)
    harness.state.data.unconfirmedCrashes.set('x@1', { id: 'x', machine: 'm-x', born: 1, tasks: [], at: 1 })
    await recorder.record(true).catch(() => {})
    failing.isOver = true
    await recorder.record(true)
    expect(harness.phase).to.equal('completed')
    await clock.advance(1000)
    expect(acknowledged.filter((seq) => seq > 0)).to.deep.equal([1])
    registry.end()
  })

  it('ends the probation of a worker with a run that continued from a checkpoint (LOST, worker closed for good)', async () => {
    const { clock, registry, recorder, stats } = createHarness({ checkpoint: 'c1', step: { isCheckpointable: true } })
    for (let i = 0; i < 2; i++) stats.observeFailedRun('w@1', PROVEN, clock.now())
    await clock.advance(100)
    await recorder.record(false)
    expect(stats.hasFailures('w@1')).to.equal(false)
    registry.end()
  })

  for (const [when, placedMsAgo, isCounted] of [['while it starts', 500, true], ['once it is at work', 5000, false]] as const) {
    it(`${isCounted ? 'counts' : 'does not count'} the failure of a long-running task against its worker ${when}`, async () => {
      const { clock, registry, recorder, stats } = createHarness({ outcome: 'failed', step: { isLasting: true }, placedMsAgo })
      await clock.advance(100)
      await recorder.record(false)
      expect(stats.hasFailures('w@1')).to.equal(isCounted)
      registry.end()
    })
  }

  for (const [dataRack, slowdown, meanMs] of [['r1', 1.33, 2440], ['r2', 1, 1300]] as const) {
    it(`counts the length of a run ${dataRack === 'r1' ? 'near its data' : 'away from its data against the penalty, and not'} against its worker`, async () => {
      const { clock, registry, recorder, stats, runTimes } = createHarness({ step: { dataRack }, placedMsAgo: 2900 })
      await clock.advance(100)
      await recorder.record(false)
      expect(stats.getSlowdown('w@1')).to.be.closeTo(slowdown, 0.1)
      expect(runTimes.forecast(`${JOB_ID}.0.0`, 'studio.example /cleanup/', 1000).meanMs).to.be.closeTo(meanMs, 200)
      registry.end()
    })
  }
})
