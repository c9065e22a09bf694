import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import { createRunOrder, RunOrders } from '../../workers/runOrder/index.js'
import { createStep } from '../fixtures/index.js'
import { createStateHarness, JOB_ID } from '../fixtures/stateHarness.js'
import { createTermContext } from '../fixtures/termContext.js'
import { RunStats } from '../runStats/index.js'
import { RunTimes } from '../runTimes/index.js'
import { ProgressWatch } from './index.js'

const TASK = `${JOB_ID}.0.0.0`

/** A failed run of a step of which other tasks are done. */
const PROVEN = { job: JOB_ID, isStepProven: true }

/** Watches worker `w`, which has failed two runs, and holds a long-running task that began some time after them. */
async function hasFailuresAfterWatch (percent: number, startedAfterMs: number): Promise<boolean> {
  const clock = new ManualClock()
  const harness = createStateHarness()
  harness.accept({ steps: [createStep({ isLasting: true })] })
  harness.place(TASK, 1)
  const stats = new RunStats()
  for (let i = 0; i < 2; i++) stats.observeFailedRun('w@1', PROVEN, clock.now())
  const orders = new RunOrders()
  orders.set(TASK, { ...createRunOrder(1, clock.now() + startedAfterMs), phase: 'started', percent })
  const end = new AbortController()
  const registry = { sessions: [{ key: 'w@1', isLive: true, record: { service: 'booth' }, orders }] } as unknown as WorkerRegistry
  void new ProgressWatch(createTermContext(clock, harness.state, { signal: end.signal }), registry, stats).run()
  await clock.advance(1000)
  end.abort()
  return stats.hasFailures('w@1')
}

/** Watches worker `w` on rack `r1` with runs of three steps, each at a fifth of the progress that their estimate promises. */
async function isSuspectedWithRuns (dataRack: string): Promise<boolean> {
  const clock = new ManualClock()
  const harness = createStateHarness()
  harness.accept({ steps: [0, 1, 2].map(() => createStep({ dataRack, estimateMs: 1000 })) })
  const stats = new RunStats()
  const orders = new RunOrders()
  for (const step of [0, 1, 2]) {
    const task = `${JOB_ID}.0.${step}.0`
    harness.place(task, 1)
    orders.set(task, { ...createRunOrder(1, clock.now() - 1300), phase: 'started', percent: 20, percentChangedAt: clock.now() })
  }
  const end = new AbortController()
  const registry = { sessions: [{ key: 'w@1', isLive: true, record: { service: 'booth' }, orders, stop: () => Promise.resolve() }] } as unknown as WorkerRegistry
  void new ProgressWatch(createTermContext(clock, harness.state, { signal: end.signal }), registry, stats, new RunTimes(3)).run()
  await clock.advance(300)
  end.abort()
  return stats.hasFailures('w@1')
}

describe('ProgressWatch', () => {
  it('takes no worker for slow whose runs are slow because they are away from their data', async () => {
    expect(await isSuspectedWithRuns('')).to.equal(true)
    expect(await isSuspectedWithRuns('r1')).to.equal(true)
    expect(await isSuspectedWithRuns('r2')).to.equal(false)
  })

  it('ends the probation of a worker on which a long-running task is at work since the last failure (LOST, worker closed for good)', async () => {
    expect(await hasFailuresAfterWatch(100, 50)).to.equal(false)
  })

  it('keeps a worker on probation while the task is starting, and when it has begun before the last failure', async () => {
    expect(await hasFailuresAfterWatch(60, 50)).to.equal(true)
    expect(await hasFailuresAfterWatch(100, -50)).to.equal(true)
  })
})
