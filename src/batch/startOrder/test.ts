import { expect } from 'chai'
import { createConfig, createQueue, createStep, createWorkspace } from '../fixtures/index.js'
import { createSchedulerHarness, type FakeWorker } from '../fixtures/schedulerHarness.js'
import { BatchState } from '../state/index.js'
import type { QueueConfig } from '../types.js'

type Harness = ReturnType<typeof createSchedulerHarness>

const QUEUES = [createQueue(), createQueue({ name: 'other', prefix: '/other/', service: 'desk' })]
const DESK = { queue: 'studio.example /other/', service: 'desk' }
const WORKER_CPU = 16_000

const capped = (cpu: number) => ({ cap: { cpu, memory: 0, accelerators: 0 } })

function configure ({ state, clock }: Harness, version: number, workspaces: QueueConfig['workspaces']): void {
  state.apply(0, { type: 'configure', at: clock.wall(), config: { ...createConfig(version, QUEUES), workspaces } })
}

function listRunning ({ workers }: Harness): string[] {
  return [...workers.values()].flatMap(({ running }) => [...running.keys()])
}

const countRunning = (harness: Harness, job: string): number => listRunning(harness).filter((task) => task.startsWith(job)).length

const A = '00000000000000aa'
const B = '00000000000000bb'
const C = '00000000000000cc'

describe('StartOrder', () => {
  it('holds one cap over all pools of a cycle (QUOTA)', async () => {
    const harness = createSchedulerHarness(2)
    configure(harness, 2, [createWorkspace('studio', capped(5000))])
    harness.submit(A, { workspace: 'studio', steps: [createStep({ count: 8 })] })
    harness.submit(B, { ...DESK, workspace: 'studio', steps: [createStep({ count: 8 })] })
    await harness.clock.advance(500)
    expect(listRunning(harness)).to.have.length(5)
    for (const worker of harness.workers.values()) for (const task of [...worker.running.keys()]) worker.endRun(task)
    await harness.clock.advance(500)
    expect(listRunning(harness)).to.have.length(5)
    harness.stop()
  })

  it('starts nothing above the cap under a new leader that has not heard from the workers (QUOTA)', async () => {
    const state = new BatchState()
    const before = createSchedulerHarness(2, state)
    configure(before, 2, [createWorkspace('studio', capped(5000))])
    before.submit(A, { workspace: 'studio', steps: [createStep({ count: 5 })] })
    await before.clock.advance(500)
    before.stop()
    const after = createSchedulerHarness(2, state)
    for (const worker of after.workers.values()) if (worker !== after.workers.get('booth-1')) worker.isSilent = true
    after.submit(B, { workspace: 'studio', steps: [createStep({ count: 5 })] })
    await after.clock.advance(1000)
    expect(countRunning(after, B)).to.equal(0)
    after.stop()
  })

  it('lets a task that is larger than the cap neither block other workspaces nor reserve a worker', async () => {
    const harness = createSchedulerHarness(1)
    configure(harness, 2, [createWorkspace('studio', capped(3000)), createWorkspace('desk')])
    harness.submit(A, { workspace: 'studio', steps: [createStep({ count: 2 })] })
    await harness.clock.advance(200)
    harness.submit(B, { workspace: 'studio', steps: [createStep({ cpu: 12_000 })] })
    harness.submit(C, { workspace: 'desk', steps: [createStep({ count: 20 })] })
    await harness.clock.advance(500)
    expect(countRunning(harness, C)).to.equal(14)
    expect(countRunning(harness, B)).to.equal(0)
    const worker = harness.workers.get('booth-0') as FakeWorker
    for (const task of [...worker.running.keys()]) worker.endRun(task)
    await harness.clock.advance(500)
    for (const task of [...worker.running.keys()]) worker.endRun(task)
    await harness.clock.advance(500)
    expect(countRunning(harness, B), 'with nothing of its workspace running').to.equal(1)
    harness.stop()
  })

  it('starts a gang whole or not at all under the cap', async () => {
    const harness = createSchedulerHarness(2)
    configure(harness, 2, [createWorkspace('studio', capped(5000))])
    harness.submit(A, { workspace: 'studio', steps: [createStep({ count: 3 })] })
    await harness.clock.advance(200)
    harness.submit(B, { workspace: 'studio', steps: [createStep({ count: 3, isGang: true })] })
    await harness.clock.advance(500)
    expect(countRunning(harness, B)).to.equal(0)
    const [task] = listRunning(harness)
    for (const worker of harness.workers.values()) if (worker.running.has(task as string)) worker.endRun(task as string)
    await harness.clock.advance(500)
    expect(countRunning(harness, B)).to.equal(3)
    harness.stop()
  })

  it('starts nothing more after a cap was cut below what runs, and stops nothing', async () => {
    const harness = createSchedulerHarness(2)
    configure(harness, 2, [createWorkspace('studio', capped(8000))])
    harness.submit(A, { workspace: 'studio', steps: [createStep({ count: 20 })] })
    await harness.clock.advance(200)
    configure(harness, 3, [createWorkspace('studio', capped(4000))])
    await harness.clock.advance(500)
    expect(listRunning(harness)).to.have.length(8)
    expect([...harness.workers.values()].flatMap(({ stops }) => stops)).to.deep.equal([])
    for (const worker of harness.workers.values()) for (const task of [...worker.running.keys()].slice(0, 5)) worker.endRun(task)
    await harness.clock.advance(500)
    expect(listRunning(harness)).to.have.length(4)
    harness.stop()
  })

  it('has no cap for jobs without a workspace, and divides nothing where none is configured', async () => {
    for (const workspaces of [null, [createWorkspace('studio', capped(1000))]]) {
      const harness = createSchedulerHarness(1)
      configure(harness, 2, workspaces)
      harness.submit(A, { workspace: workspaces === null ? 'studio' : '', steps: [createStep({ count: 20 })] })
      await harness.clock.advance(500)
      expect(listRunning(harness)).to.have.length(WORKER_CPU / 1000)
      harness.stop()
    }
  })

  it('gives half of a full pool to each of two workspaces, and as before without workspaces', async () => {
    const submitBoth = async (workspaces: QueueConfig['workspaces']): Promise<number[]> => {
      const harness = createSchedulerHarness(0)
      configure(harness, 2, workspaces)
      harness.submit(A, { workspace: 'hot', steps: [createStep({ count: 100 })] })
      harness.submit(B, { workspace: 'desk', steps: [createStep({ count: 100 })] })
      harness.state.apply(0, { type: 'enrol', at: harness.clock.wall(), workers: [{ id: 'w', born: 1, address: 'w:1', service: 'booth', zone: 'a', machine: 'm', labels: [], room: { cpu: WORKER_CPU, memory: 64_000, accelerators: 0 }, isDraining: false }] })
      const { isDraining: _, ...report } = [...harness.state.data.workers.values()][0] as NonNullable<ReturnType<typeof harness.state.data.workers.get>>
      await harness.registry.report({ ...report, state: 'ready', drainLeftMs: null, sequence: 1 })
      await harness.clock.advance(500)
      harness.stop()
      return [countRunning(harness, A), countRunning(harness, B)]
    }
    expect(await submitBoth([createWorkspace('hot'), createWorkspace('desk')])).to.deep.equal([8, 8])
    expect(await submitBoth([createWorkspace('hot', { weight: 3 }), createWorkspace('desk')])).to.deep.equal([12, 4])
    expect(await submitBoth(null)).to.deep.equal([16, 0])
  })

  it('counts a run that a worker lists and the state does not know against the cap (QUOTA)', async () => {
    const harness = createSchedulerHarness(1)
    configure(harness, 2, [createWorkspace('studio', capped(3000))])
    harness.submit(A, { workspace: 'studio', steps: [createStep({ cpu: 2000 })] })
    await harness.clock.advance(200)
    const worker = harness.workers.get('booth-0') as FakeWorker
    worker.endRun(`${A}.0.0.0`)
    await harness.clock.advance(200)
    worker.ignoresStops = true
    worker.running.set(`${A}.0.0.0`, 1)
    await harness.clock.advance(1000)
    harness.submit(B, { workspace: 'studio', steps: [createStep({ cpu: 1500 })] })
    await harness.clock.advance(1000)
    expect(countRunning(harness, B)).to.equal(0)
    harness.stop()
  })
})
