import { expect } from 'chai'
import { createJob, createStep, createWorker } from '../../batch/fixtures/index.js'
import { createTermContext } from '../../batch/fixtures/termContext.js'
import { BatchState } from '../../batch/state/index.js'
import type { BatchCommand } from '../../batch/state/records.js'
import { ManualClock } from '../../clock/index.js'
import { IMMEDIATE_POLLS_PER_CALLER, LEASE_MS, MAX_WORKER_LEASE_MS, POLL_WAIT_MS } from '../constants.js'
import type { WorkerCalls, WorkerPollRequest } from '../types.js'
import type { WorkerSession } from '../session/index.js'
import { WorkerRegistry } from './index.js'

const JOB = '00000000000000aa'
const CALLERS = 4
const ANSWER_MS = 5

/**
 * Workers of a state that a new leader takes over. Starts get no answer, and stops neither, if `areStopsLost`; workers that have restarted list the
 * first task of the job until it is stopped, if `hasLateRun`, since a late start has reached them.
 */
function createHarness (workerCount: number, busyWorkers: readonly string[] = [], silentWorkers: readonly string[] = [], { hasLateRun = false, areStopsLost = false } = {}) {
  const clock = new ManualClock()
  const state = new BatchState()
  const end = new AbortController()
  const polls: Array<{ readonly id: string, readonly at: number } & WorkerPollRequest> = []
  let isLateRunStopped = false
  let immediateInFlight = 0
  let maxImmediateInFlight = 0
  const apply = (command: unknown): unknown => state.apply(0, command as BatchCommand)
  const context = createTermContext(clock, state, { term: 2, signal: end.signal })
  for (let i = 0; i < workerCount; i++) apply({ type: 'enrol', at: 0, workers: [createWorker(`w${i}`)] })
  apply({ type: 'accept', at: 0, jobs: [createJob(JOB, { steps: [createStep({ count: Math.max(1, busyWorkers.length) })] })] })
  apply({ type: 'place', at: 0, placements: busyWorkers.map((id, i) => ({ task: `${JOB}.0.0.${i}`, run: 1, worker: `${id}@1` })) })
  const connect = ({ id, born }: { readonly id: string, readonly born: number }): WorkerCalls => ({
    poll: async (req: WorkerPollRequest, timeoutMs: number) => {
      polls.push({ id, at: clock.now(), ...req })
      if (req.waitMs === 0) maxImmediateInFlight = Math.max(maxImmediateInFlight, ++immediateInFlight)
      const isSilent = silentWorkers.includes(id) && born === 1
      await clock.sleep(isSilent ? timeoutMs : ANSWER_MS + req.waitMs)
      if (req.waitMs === 0) immediateInFlight -= 1
      if (isSilent) throw new Error('no answer')
      const task = born > 1 ? (hasLateRun && !isLateRunStopped ? 0 : -1) : busyWorkers.indexOf(id)
      return { refusal: null, clockMs: clock.now(), born, running: task < 0 ? [] : [{ task: `${JOB}.0.0.${task}`, run: 1, checkpoint: '', percent: 10, load: null }], ended: [], hasMoreEnds: false }
    },
    start: async () => { throw new Error('no answer') },
    stop: async () => {
      if (areStopsLost) throw new Error('no answer')
      isLateRunStopped = true
      return { refusal: null, clockMs: clock.now() }
    },
    close: () => {}
  }) as unknown as WorkerCalls
  const registry = new WorkerRegistry(context, { connect, countCallers: () => CALLERS, maxLeaseMs: MAX_WORKER_LEASE_MS }, () => {})
  return { clock, registry, polls, maxImmediateInFlight: () => maxImmediateInFlight, apply, stop: () => { end.abort(); registry.end() } }
}

describe('WorkerRegistry', () => {
  // The numbers of run ends begin anew with each incarnation, so that a late poll of the last one would acknowledge ends that are not recorded.
  it('calls a worker that has restarted under its id with a higher token than its earlier incarnation (TWICE)', async () => {
    const { clock, registry, polls, apply, stop } = createHarness(1)
    await clock.advance(100)
    const { isDraining: _, ...record } = createWorker('w0', { born: 2 })
    const report = { ...record, state: 'ready', drainLeftMs: null, sequence: 1 } as const
    await registry.report(report)
    await clock.advance(100)
    expect([...new Set(polls.map(({ token }) => token))]).to.deep.equal([2, 3])
    apply({ type: 'dismiss', at: clock.wall(), workers: ['w0@1', 'w0@2'] })
    registry.forget(['w0@1', 'w0@2'])
    await registry.report({ ...report, born: 3 })
    await clock.advance(100)
    expect(polls.at(-1)?.token).to.equal(4)
    stop()
  })

  // On a fleet of 3,000 workers the polls of all of them at once kept each new term from lasting a second.
  it('limits the polls in flight when a term begins on a fleet of thousands (sweep at 301 machines)', async () => {
    const { clock, registry, maxImmediateInFlight, polls, stop } = createHarness(3000)
    expect(registry.hasWaitingFirstPolls).to.equal(true)
    await clock.advance(1000)
    expect(maxImmediateInFlight()).to.be.at.most(CALLERS * IMMEDIATE_POLLS_PER_CALLER)
    expect(new Set(polls.map(({ id }) => id)).size).to.equal(3000)
    expect(registry.hasWaitingFirstPolls).to.equal(false)
    stop()
  })

  it('polls the workers with runs first when a term begins, and renews their leases in time', async () => {
    const busy = ['w2900', 'w2950', 'w2999']
    const { clock, polls, stop } = createHarness(3000, busy)
    const began = clock.now()
    await clock.advance(1000)
    expect(polls.slice(0, busy.length).map(({ id }) => id)).to.deep.equal(busy)
    const renewals = polls.filter(({ id, leaseEndMs }) => busy.includes(id) && leaseEndMs !== null)
    for (const id of busy) expect(renewals.find((poll) => poll.id === id)?.at).to.be.below(began + LEASE_MS / 10)
    stop()
  })

  it('reaches all workers that answer although some hundred do not', async () => {
    const silent = Array.from({ length: 400 }, (_, i) => `w${i}`)
    const { clock, registry, stop } = createHarness(3000, [], silent)
    await clock.advance(4000)
    expect([...registry.sessions].filter(({ isLive }) => isLive)).to.have.length(2600)
    stop()
  })

  it('polls the idle workers of a large fleet less often than the busy ones', async () => {
    const { clock, polls, stop } = createHarness(3000, ['w7'])
    await clock.advance(10_000)
    const idle = polls.filter(({ id, waitMs }) => id === 'w8' && waitMs > 0).length
    const busy = polls.filter(({ id, waitMs }) => id === 'w7' && waitMs > 0).length
    expect(idle).to.be.within(5, 7)
    expect(busy).to.be.above(2 * idle)
    stop()
  })

  it('ends the earlier incarnation when a worker reports again from its machine or its address', async () => {
    const { clock, registry, stop } = createHarness(2)
    await clock.advance(100)
    const { isDraining: _, ...record } = createWorker('new', { born: 2, machine: 'm-w0', address: 'new:1' })
    expect(await registry.report({ ...record, state: 'ready', drainLeftMs: null, sequence: 1 })).to.equal('recorded')
    expect(registry.sessionOf('w0@1')?.goneReason).to.be.a('string')
    expect(registry.sessionOf('w1@1')?.goneReason).to.equal(null)
    const { isDraining: _other, ...late } = createWorker('w0')
    expect(await registry.report({ ...late, state: 'ready', drainLeftMs: null, sequence: 1 })).to.equal('late')
    expect(registry.liveSessionOn('m-w1')?.key).to.equal('w1@1')
    stop()
  })

  it('remembers that a start was never answered once the next incarnation has stopped it (LOST, a job was failed after one crash)', async () => {
    const { clock, registry, apply, stop } = createHarness(1, [], [], { hasLateRun: true })
    await clock.advance(100)
    const task = `${JOB}.0.0.0`
    apply({ type: 'place', at: 0, placements: [{ task, run: 1, worker: 'w0@1' }] })
    const session = registry.sessionOf('w0@1') as WorkerSession
    await session.start({ task, run: 1, payload: '', checkpoint: '', ticket: null, isTrial: false, isLasting: false })
    const { isDraining: _, ...record } = createWorker('w0', { born: 2 })
    await registry.report({ ...record, state: 'ready', drainLeftMs: null, sequence: 1 })
    await clock.advance(ANSWER_MS + 1)
    expect(registry.listLostRuns(session)).to.deep.equal([])
    await clock.advance(POLL_WAIT_MS + 100)
    expect(registry.listLostRuns(session)).to.deep.equal([{ task, run: 1, basis: 'notListedNext' }])
    expect(session.orders.get(task)).to.include({ phase: 'unclear', runningSinceMs: null })
    expect(session.orders.get(task)?.sentAt).to.be.below(clock.now())
    expect(session.orders.get(task)?.sentAt).to.be.above(0)
    stop()
  })

  it('frees a run that a new leader has not seen listed once the next incarnation answers without it (LOST, lasting tasks waited 12 s)', async () => {
    const { clock, registry, stop } = createHarness(1, ['w0'], ['w0'], { areStopsLost: true })
    await clock.advance(100)
    const session = registry.sessionOf('w0@1') as WorkerSession
    const { isDraining: _, ...record } = createWorker('w0', { born: 2 })
    await registry.report({ ...record, id: 'w0', state: 'ready', drainLeftMs: null, sequence: 1 })
    await clock.advance(100)
    expect(registry.listLostRuns(session)).to.deep.equal([{ task: `${JOB}.0.0.0`, run: 1, basis: 'notListedNext' }])
    stop()
  })

  it('keeps the runs of a worker that answers after a late deregistration of its earlier incarnation (task ran twice)', async () => {
    const { clock, registry, stop } = createHarness(2, ['w0'])
    await clock.advance(1000)
    registry.leave('w0')
    for (let i = 0; i < 30; i++) {
      await clock.advance(100)
      expect(registry.listLostRuns(registry.sessionOf('w0@1') as WorkerSession)).to.deep.equal([])
    }
    expect(registry.sessionOf('w0@1')).to.include({ goneReason: null, isLive: true })
    stop()
  })

  it('gives a worker that has deregistered without an acknowledged drain no work, and frees its runs when its lease is over', async () => {
    const silent: string[] = []
    const { clock, registry, stop } = createHarness(2, ['w0'], silent)
    await clock.advance(1000)
    silent.push('w0')
    registry.leave('w0')
    await clock.advance(400)
    const session = registry.sessionOf('w0@1') as WorkerSession
    expect(session).to.include({ isLive: false, isLeaseExpired: false })
    await clock.advance(LEASE_MS + 200)
    expect(registry.listLostRuns(session)).to.deep.equal([{ task: `${JOB}.0.0.0`, run: 1, basis: 'leaseExpired' }])
    stop()
  })

  it('marks a draining worker that has deregistered and no longer answers as gone after the grace time, before its lease is over', async () => {
    const silent: string[] = []
    const { clock, registry, stop } = createHarness(2, ['w0'], silent)
    await clock.advance(1000)
    const { isDraining: _, ...record } = createWorker('w0')
    await registry.report({ ...record, state: 'draining', drainLeftMs: 1000, sequence: 1 })
    silent.push('w0')
    await clock.advance(2000)
    expect(registry.sessionOf('w0@1')?.isLeaseExpired).to.equal(false)
    registry.leave('w0')
    await clock.advance(400)
    expect(registry.sessionOf('w0@1')?.goneReason).to.equal('the worker has left')
    stop()
  })
})
