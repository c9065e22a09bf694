import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import { MAX_CRASH_DELAY_MS } from '../../workers/constants.js'
import { createRunOrder, RunOrders } from '../../workers/runOrder/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import { createJob, createStep, createWorker } from '../fixtures/index.js'
import { BatchState } from '../state/index.js'
import type { BatchCommand, RunEnd } from '../state/records.js'
import { LostRuns } from './index.js'

const JOB = '00000000000000aa'
const OTHER = '00000000000000bb'
const TASK = `${JOB}.0.0.0`

/** Workers w0, w1, ... of one rack, all of which are silent since the same moment and have lost their leases. */
function createHarness (workerCount: number) {
  const clock = new ManualClock()
  const state = new BatchState()
  const apply = (command: unknown): unknown => state.apply(0, command as BatchCommand)
  apply({ type: 'accept', at: 0, jobs: [createJob(JOB, { steps: [createStep({ count: 3 })] }), createJob(OTHER)] })
  const sessions = Array.from({ length: workerCount }, (_, i) => {
    const record = createWorker(`w${i}`)
    apply({ type: 'enrol', at: 0, workers: [record] })
    return { key: `w${i}@1`, record, orders: new RunOrders(), contact: { answeredAt: clock.now() - 100, silentSince: clock.now() as number | null, isAnswerRequired: false }, crashedBy: clock.now(), isLeaseExpired: true, goneReason: null as string | null, hasEndedAsPlanned: false, isLive: false }
  })
  const registry = {
    sessions,
    sessionOf: (key: string) => sessions.find((session) => session.key === key),
    listLostRuns: ({ key }: { readonly key: string }) => [...state.runsOn(key)].map(([task, { run }]) => ({ task, run, basis: 'leaseExpired' }))
  }
  const lostRuns = new LostRuns(clock, state, registry as unknown as WorkerRegistry)
  const place = (task: string, worker: number, order: Partial<ReturnType<typeof createRunOrder>> = {}): void => {
    apply({ type: 'place', at: 0, placements: [{ task, run: 1, worker: `w${worker}@1` }] })
    sessions[worker]?.orders.set(task, { ...createRunOrder(1, clock.now()), sentAt: clock.now() - 50, runningSinceMs: 5, ...order })
  }
  return { clock, state, apply, sessions, lostRuns, place, evidence: () => Object.fromEntries(lostRuns.list().map(({ task, evidence }: RunEnd) => [task, evidence])) }
}

describe('LostRuns', () => {
  it('suspects the run that had just started, and clears the one that the worker had survived', () => {
    const { place, evidence } = createHarness(1)
    place(TASK, 0)
    place(`${OTHER}.0.0.0`, 0, { hasSurvived: true })
    expect(evidence()).to.deep.equal({ [TASK]: 'sole', [`${OTHER}.0.0.0`]: 'survived' })
  })

  it('suspects a run less whose start was never answered, and not at all when it was sent to a silent worker or not yet', () => {
    const { clock, place, evidence } = createHarness(1)
    place(TASK, 0, { runningSinceMs: null })
    place(`${JOB}.0.0.1`, 0, { sentAt: clock.now() + 10 })
    place(`${JOB}.0.0.2`, 0, { sentAt: Number.POSITIVE_INFINITY })
    expect(evidence()).to.deep.equal({ [TASK]: 'shared', [`${JOB}.0.0.1`]: null, [`${JOB}.0.0.2`]: null })
  })

  it('suspects the runs of a worker that an earlier leader started less, because they may have ended before the crash', () => {
    const { place, sessions, evidence } = createHarness(1)
    place(TASK, 0)
    sessions[0]?.orders.clear()
    expect(evidence()).to.deep.equal({ [TASK]: 'shared' })
  })

  it('clears the runs that an earlier leader had placed some time before its latest placement there, since the worker was alive then', () => {
    const { apply, place, sessions, evidence } = createHarness(1)
    place(TASK, 0)
    apply({ type: 'place', at: 3000, placements: [{ task: `${OTHER}.0.0.0`, run: 1, worker: 'w0@1' }] })
    sessions[0]?.orders.clear()
    expect(evidence()).to.deep.equal({ [TASK]: 'survived', [`${OTHER}.0.0.0`]: 'shared' })
  })

  for (const [when, crashedByMs, expected] of [['right after its start', MAX_CRASH_DELAY_MS, 'sole'], ['so long after its start that it may have ended before (LOST)', MAX_CRASH_DELAY_MS + 1, 'shared'], ['at an unknown time (LOST)', Number.POSITIVE_INFINITY, 'shared']] as const) {
    it(`suspects a run ${expected === 'sole' ? 'alone' : 'less'} whose worker crashed ${when}`, () => {
      const { clock, place, sessions, evidence } = createHarness(1)
      place(TASK, 0, { sentAt: clock.now() })
      Object.assign(sessions[0] as object, { crashedBy: clock.now() + crashedByMs })
      expect(evidence()).to.deep.equal({ [TASK]: expected })
    })
  }

  for (const [how, change] of [['left, or whose machine was ordered to move', { hasEndedAsPlanned: true, goneReason: 'planned' }], ['was draining', { record: createWorker('w0', { isDraining: true }) }], ['may have been ended by an order', { contact: { answeredAt: 0, silentSince: 0, isAnswerRequired: true } }]] as const) {
    it(`suspects nothing on a worker that ${how}`, () => {
      const { place, sessions, evidence } = createHarness(1)
      place(TASK, 0)
      Object.assign(sessions[0] as object, change)
      expect(evidence()).to.deep.equal({ [TASK]: null })
    })
  }

  it('remembers what ran on a lost worker after the ends of its runs are recorded', () => {
    const { apply, place, sessions, lostRuns } = createHarness(2)
    Object.assign(sessions[1] as object, { isLeaseExpired: false })
    place(TASK, 0)
    place(`${OTHER}.0.0.0`, 1)
    const first = lostRuns.list()
    expect(first.map(({ task, evidence }) => ({ task, evidence }))).to.deep.equal([{ task: TASK, evidence: 'sole' }])
    apply({ type: 'end', at: 1, ends: first })
    Object.assign(sessions[1] as object, { isLeaseExpired: true })
    expect(lostRuns.list().map(({ task, evidence }) => ({ task, evidence }))).to.deep.equal([{ task: `${OTHER}.0.0.0`, evidence: 'sole' }])
  })

  it('does not suspect a run whose end is about to be committed, nor doubts the others for it (LOST)', () => {
    const { place, sessions, lostRuns } = createHarness(1)
    place(TASK, 0)
    place(`${OTHER}.0.0.0`, 0)
    sessions[0]?.orders.delete(`${OTHER}.0.0.0`)
    const done: RunEnd = { task: `${OTHER}.0.0.0`, run: 1, worker: 'w0@1', outcome: 'done', checkpoint: '' }
    expect(lostRuns.list([done]).map(({ task, evidence }) => ({ task, evidence }))).to.deep.equal([{ task: TASK, evidence: 'sole' }])
  })

  it('says whether the crash is confirmed, and lists workers that were only cut off once they answer again', () => {
    const { apply, place, sessions, lostRuns } = createHarness(2)
    place(TASK, 0)
    place(`${OTHER}.0.0.0`, 1)
    Object.assign(sessions[1] as object, { goneReason: 'a later incarnation has reported' })
    const ends = lostRuns.list()
    expect(ends.map(({ isCrashConfirmed }) => isCrashConfirmed)).to.deep.equal([false, true])
    apply({ type: 'end', at: 1, ends })
    expect(lostRuns.listRevived()).to.deep.equal([])
    Object.assign(sessions[0] as object, { isLive: true })
    expect(lostRuns.listRevived()).to.deep.equal([(sessions[0] as unknown as WorkerSession).record])
  })
})
