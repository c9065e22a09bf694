import { expect } from 'chai'
import { createStep, createWorker } from '../../fixtures/index.js'
import { createSchedulerHarness, type FakeWorker } from '../../fixtures/schedulerHarness.js'

const JOB = '00000000000000aa'
const TASKS = 12

/** Time in which a worker answers one of the two starts that are in flight to it. */
const SLOW_START_MS = 500

/** Two workers, one of which has got a job whose starts it answers slowly. */
async function createHarness (changes: Parameters<typeof createStep>[0] = {}) {
  const harness = createSchedulerHarness(2)
  const { clock, workers, submit } = harness
  await clock.advance(200)
  for (const worker of workers.values()) worker.startDelayMs = SLOW_START_MS
  submit(JOB, { steps: [createStep({ count: TASKS, ...changes })] })
  await clock.advance(100)
  const id = [...workers.keys()].find((name) => harness.state.runsOn(`${name}@1`).size > 0) as string
  const other = [...workers.keys()].find((name) => name !== id && name.startsWith('booth')) as string
  for (const worker of workers.values()) if (worker !== workers.get(id)) worker.startDelayMs = 0
  return { ...harness, id, worker: workers.get(id) as FakeWorker, other: workers.get(other) as FakeWorker }
}

type Harness = Awaited<ReturnType<typeof createHarness>>

async function reportDraining ({ registry, id }: Harness): Promise<void> {
  const { isDraining: _, ...record } = createWorker(id, { service: 'booth' })
  await registry.report({ ...record, state: 'draining', drainLeftMs: 8000, sequence: 1 })
}

describe('BatchScheduler: starts that wait behind unanswered ones', () => {
  const obstacles: ReadonlyArray<readonly [string, (harness: Harness) => Promise<void> | void]> = [
    ['has reported that it drains (DRAIN)', reportDraining],
    ['is cordoned', ({ registry, id }) => { registry.cordons.begin(`m-${id}`) }],
    ['may be gone', ({ registry, id, worker }) => {
      worker.isSilent = true
      registry.sessionOf(`${id}@1`)?.contact.requireNewAnswer()
      registry.sessionOf(`${id}@1`)?.starts.takeBack()
    }]
  ]
  for (const [condition, change] of obstacles) {
    it(`are not sent to a worker that ${condition}, but elsewhere at once`, async () => {
      const harness = await createHarness()
      const { clock, worker, other, stop } = harness
      await change(harness)
      await clock.advance(300)
      expect(other.running.size).to.equal(TASKS - 2)
      await clock.advance(5000)
      expect(worker.startCount).to.be.at.most(2)
      stop()
    })
  }

  it('take the other members of their gang with them, which starts elsewhere as a whole', async () => {
    const harness = await createHarness({ isGang: true, count: 6 })
    const { clock, worker, other, stop } = harness
    await clock.advance(SLOW_START_MS)
    await reportDraining(harness)
    await clock.advance(3 * SLOW_START_MS)
    expect(worker.startCount).to.equal(4)
    expect(worker.running.size).to.equal(0)
    expect([...other.running.values()]).to.deep.equal([2, 2, 2, 2, 2, 2])
    stop()
  })
})
