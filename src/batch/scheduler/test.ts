import { expect } from 'chai'
import { createStep, createWorker } from '../fixtures/index.js'
import { createSchedulerHarness as createHarness, type FakeWorker } from '../fixtures/schedulerHarness.js'
import { BatchState } from '../state/index.js'
import type { WorkerReport } from '../types.js'

const RUNNING_JOB = '00000000000000aa'
const BURST = 20

describe('BatchScheduler', () => {
  it('starts the tasks of a job and records their ends', async () => {
    const { clock, state, workers, submit, stop } = createHarness(1)
    submit(RUNNING_JOB, { steps: [createStep({ count: 2 })] })
    await clock.advance(200)
    const worker = workers.get('booth-0') as FakeWorker
    expect(worker.running.size).to.equal(2)
    for (const task of [...worker.running.keys()]) worker.endRun(task)
    await clock.advance(200)
    expect(state.data.jobs.get(RUNNING_JOB)?.state).to.equal('completed')
    stop()
  })

  it('stops the runs of a cancelled job, and only those', async () => {
    const { clock, workers, submit, cancel, stop } = createHarness(1)
    submit(RUNNING_JOB, { steps: [createStep({ count: 2 })] })
    submit('00000000000000bb')
    await clock.advance(200)
    cancel(RUNNING_JOB)
    await clock.advance(200)
    const worker = workers.get('booth-0') as FakeWorker
    expect(worker.stops.every((task) => task.startsWith(RUNNING_JOB))).to.equal(true)
    expect([...worker.running.keys()]).to.deep.equal(['00000000000000bb.0.0.0'])
    stop()
  })

  // Leaders of large fleets ran short of processor time in surges, since each run end made them describe every worker.
  it('looks at no worker of a service without waiting tasks when runs end (SHORT on large fleets)', async () => {
    const { clock, workers, cordonChecks, submit, stop } = createHarness(5)
    submit(RUNNING_JOB, { steps: [createStep({ count: BURST })] })
    submit('00000000000000bb', { queue: 'studio.example /other/', service: 'desk', steps: [createStep({ count: BURST })] })
    await clock.advance(300)
    cordonChecks.length = 0
    for (const worker of workers.values()) {
      for (const task of [...worker.running.keys()].filter((task) => task.startsWith(RUNNING_JOB))) {
        worker.endRun(task)
        await clock.advance(20)
      }
    }
    expect(cordonChecks).to.deep.equal([])
    stop()
  })

  it('reads the run ends of those workers that have some, and no others', async () => {
    const { clock, workers, registry, submit, stop } = createHarness(50)
    submit(RUNNING_JOB, { steps: [createStep({ count: 1 })] })
    await clock.advance(300)
    const reads: string[] = []
    for (const session of registry.sessions) {
      const takeRunEnds = session.takeRunEnds.bind(session)
      session.takeRunEnds = () => {
        reads.push(session.key)
        return takeRunEnds()
      }
    }
    const [id, busy] = [...workers].find(([, { running }]) => running.size > 0) as [string, FakeWorker]
    busy.endRun(`${RUNNING_JOB}.0.0.0`)
    await clock.advance(300)
    expect(reads).to.deep.equal([`${id}@1`])
    stop()
  })

  it('leaves the runs of a worker that is silent for less than its lease where they are', async () => {
    const { clock, state, workers, submit, stop } = createHarness(2)
    await clock.advance(200)
    submit(RUNNING_JOB, { steps: [createStep({ count: 4 })] })
    await clock.advance(200)
    const busy = [...workers.values()].find(({ running }) => running.size > 0) as FakeWorker
    const before = new Map(busy.running)
    busy.isSilent = true
    await clock.advance(1800)
    busy.isSilent = false
    await clock.advance(1000)
    expect(busy.running).to.deep.equal(before)
    expect(busy.stops).to.deep.equal([])
    expect([...workers.values()].reduce((sum, { startCount }) => sum + startCount, 0)).to.equal(4)
    expect(state.data.jobs.get(RUNNING_JOB)?.occurrences.get(0)?.[0]?.tasks.map(({ lastRun }) => lastRun)).to.deep.equal([1, 1, 1, 1])
    stop()
  })

  it('counts a run that the worker lists and nobody knows until it is gone (LIMIT)', async () => {
    const { clock, workers, submit, stop } = createHarness(1)
    submit(RUNNING_JOB, { steps: [createStep({ cpu: 12_000 })] })
    await clock.advance(200)
    const worker = workers.get('booth-0') as FakeWorker
    const stray = `${RUNNING_JOB}.0.0.0`
    worker.endRun(stray)
    await clock.advance(200)
    worker.ignoresStops = true
    worker.running.set(stray, 1)
    await clock.advance(1000)
    submit('00000000000000bb', { steps: [createStep({ cpu: 8000 })] })
    await clock.advance(1000)
    expect([...worker.running.keys()]).to.deep.equal([stray])
    worker.endRun(stray, 'stopped')
    await clock.advance(1000)
    expect([...worker.running.keys()]).to.deep.equal(['00000000000000bb.0.0.0'])
    stop()
  })

  it('gives no work to a worker of the state that has left and never answers a new leader', async () => {
    const { clock, workers, submit, stop } = createHarness(2)
    const departed = workers.get('booth-0') as FakeWorker
    departed.isSilent = true
    submit(RUNNING_JOB, { steps: [createStep({ count: 4 })] })
    await clock.advance(20_000)
    departed.isSilent = false
    expect(departed.startCount).to.equal(0)
    expect(workers.get('booth-1')?.startCount).to.equal(4)
    stop()
  })

  it('gives a worker on probation that holds a long-running task other work too (LOST, jobs never began on empty workers)', async () => {
    const { clock, state, workers, submit, stop } = createHarness(1)
    const worker = workers.get('booth-0') as FakeWorker
    submit(RUNNING_JOB, { steps: [createStep({ count: 4 })] })
    await clock.advance(200)
    for (const task of [...worker.running.keys()]) worker.endRun(task, 'failed')
    submit('00000000000000bb', { steps: [createStep({ count: 2, isLasting: true })] })
    submit('00000000000000cc')
    const startedAt = new Map<string, number>()
    const began = clock.now()
    while (clock.now() < began + 12_000) {
      await clock.advance(50)
      for (const task of worker.running.keys()) if (!startedAt.has(task)) startedAt.set(task, clock.now() - began)
      for (const task of [...worker.running.keys()].filter((task) => task.startsWith(RUNNING_JOB))) worker.endRun(task, 'failed')
    }
    expect(state.data.jobs.get(RUNNING_JOB)?.state).to.equal('failed')
    expect([...startedAt.keys()].filter((task) => !task.startsWith(RUNNING_JOB)).sort()).to.deep.equal(['00000000000000bb.0.0.0', '00000000000000bb.0.0.1', '00000000000000cc.0.0.0'])
    stop()
  })

  describe('with tasks that wait for a place near their data', () => {
    const NEAR = { cpu: 16_000, dataRack: 'r0' }

    async function createBusyHarness (estimateMs: number) {
      const harness = createHarness(2, new BatchState(), 3)
      await harness.clock.advance(4000)
      harness.submit(RUNNING_JOB, { steps: [createStep({ ...NEAR, estimateMs })] })
      await harness.clock.advance(100)
      return harness
    }

    const workerOf = (state: BatchState, job: string) => state.data.jobs.get(job)?.occurrences.get(0)?.[0]?.tasks[0]?.active[0]?.worker

    it('starts one there in the cycle after the run that it waits for has ended', async () => {
      const { clock, state, workers, placeWait, metrics, submit, stop } = await createBusyHarness(300)
      submit('00000000000000bb', { steps: [createStep({ ...NEAR, estimateMs: 600 })] })
      await clock.advance(200)
      expect(workerOf(state, '00000000000000bb')).to.equal(undefined)
      expect(placeWait?.waitOf('00000000000000bb.0.0.0')).to.include({ rack: 'r0' })
      workers.get('booth-0')?.endRun(`${RUNNING_JOB}.0.0.0`)
      await clock.advance(110)
      expect(workerOf(state, '00000000000000bb')).to.equal('booth-0@1')
      expect(metrics.render()).to.include('oleanderward_place_waits{outcome="near"} 1')
      stop()
    })

    it('starts one elsewhere when the run does not end in time, and takes the service for starved at no moment', async () => {
      const { clock, state, scheduler, metrics, submit, stop } = await createBusyHarness(300)
      submit('00000000000000bb', { steps: [createStep({ ...NEAR, estimateMs: 600 })] })
      for (let waitedMs = 0; waitedMs < 1100; waitedMs += 50) {
        expect(scheduler.demand.measureServiceDemand('booth').isStarved).to.equal(false)
        await clock.advance(50)
      }
      expect(workerOf(state, '00000000000000bb')).to.equal('booth-1@1')
      expect(metrics.render()).to.include('oleanderward_place_waits{outcome="far"} 1')
      stop()
    })
  })

  describe('while the capacity of a worker shrinks', () => {
    const TASKS = 12
    /** Reports a worker of 16 cores with another capacity. */
    const createReport = (cpu: number, sequence: number): WorkerReport => {
      const { isDraining: _, ...record } = createWorker('booth-0', { service: 'booth', room: { cpu, memory: 32_000, accelerators: 0 } })
      return { ...record, state: 'ready', drainLeftMs: null, sequence }
    }

    it('starts nothing beyond what the worker has left, counts what is being stopped, and uses it again when it has grown', async () => {
      const { clock, workers, registry, submit, cancel, stop } = createHarness(1)
      await clock.advance(200)
      submit(RUNNING_JOB, { steps: [createStep({ count: 6 })] })
      await clock.advance(200)
      const worker = workers.get('booth-0') as FakeWorker
      worker.ignoresStops = true
      await registry.report(createReport(8000, 1))
      cancel(RUNNING_JOB)
      submit('00000000000000bb', { steps: [createStep({ count: TASKS })] })
      await clock.advance(500)
      expect(worker.running.size).to.equal(8)
      await registry.report(createReport(4000, 2))
      for (const task of [...worker.running.keys()].slice(0, 3)) worker.endRun(task)
      await clock.advance(500)
      expect(worker.running.size, 'more than the capacity, after it has shrunk').to.equal(5)
      await registry.report(createReport(16_000, 3))
      await clock.advance(500)
      expect(worker.running.size).to.equal(15)
      stop()
    })

    it('does not send starts that were queued before', async () => {
      const { clock, workers, registry, submit, stop } = createHarness(1)
      await clock.advance(200)
      const worker = workers.get('booth-0') as FakeWorker
      worker.startDelayMs = 400
      submit(RUNNING_JOB, { steps: [createStep({ count: TASKS })] })
      await clock.advance(100)
      await registry.report(createReport(4000, 1))
      await clock.advance(5000)
      expect(worker.startCount).to.be.at.most(4)
      stop()
    })

    it('starts nothing beyond the capacity in the replicated state under a new leader', async () => {
      const { clock, state, workers, registry, submit, stop } = createHarness(1)
      await clock.advance(200)
      await registry.report(createReport(3000, 1))
      stop()
      const next = createHarness(0, state)
      await next.clock.advance(200)
      submit(RUNNING_JOB, { steps: [createStep({ count: TASKS })] })
      await next.clock.advance(500)
      expect(workers.get('booth-0')?.startCount).to.equal(0)
      expect(next.workers.get('booth-0')?.running.size).to.equal(3)
      next.stop()
    })

    it('keeps the newest of two reports when the first is still being committed', async () => {
      const { clock, state, registry, stop } = createHarness(1)
      await clock.advance(200)
      await Promise.all([registry.report(createReport(20_000, 1)), registry.report(createReport(16_000, 2))])
      expect(state.data.workers.get('booth-0@1')?.room.cpu).to.equal(16_000)
      stop()
    })
  })
})
