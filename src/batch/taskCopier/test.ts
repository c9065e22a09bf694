import { expect } from 'chai'
import { createStep } from '../fixtures/index.js'
import { createSchedulerHarness, type FakeWorker } from '../fixtures/schedulerHarness.js'

const JOB = '00000000000000aa'

function listRunsOf (workers: ReadonlyMap<string, FakeWorker>, task: string): FakeWorker[] {
  return [...workers.values()].filter(({ running }) => running.has(task))
}

/** Starts a step of four tasks that take 400 ms, but for the last one, which makes no progress. */
async function createStraggler (changes: Parameters<typeof createStep>[0], workersPerService = 2) {
  const harness = createSchedulerHarness(workersPerService)
  const { clock, workers, submit } = harness
  await clock.advance(200)
  submit(JOB, { steps: [createStep({ count: 4, ...changes })] })
  await clock.advance(400)
  for (const index of [0, 1, 2]) (listRunsOf(workers, `${JOB}.0.0.${index}`)[0] as FakeWorker).endRun(`${JOB}.0.0.${index}`)
  return { ...harness, task: `${JOB}.0.0.3` }
}

describe('TaskCopier', () => {
  it('copies a straggler onto another worker, and the first run to end completes the job and stops the other', async () => {
    const { clock, state, workers, task, stop } = await createStraggler({ allowsCopies: true })
    const [first] = listRunsOf(workers, task) as [FakeWorker]
    await clock.advance(1000)
    const copy = listRunsOf(workers, task).find((worker) => worker !== first) as FakeWorker
    copy.endRun(task)
    await clock.advance(200)
    expect(state.data.jobs.get(JOB)?.state).to.equal('completed')
    expect(first.stops).to.deep.equal([task])
    expect(listRunsOf(workers, task)).to.deep.equal([])
    stop()
  })

  it('makes one copy of a task, not more', async () => {
    const { clock, workers, task, stop } = await createStraggler({ allowsCopies: true }, 4)
    await clock.advance(4000)
    expect(listRunsOf(workers, task)).to.have.length(2)
    stop()
  })

  it('copies no task of a step that does not allow copies (TWICE)', async () => {
    const { clock, workers, task, stop } = await createStraggler({ allowsCopies: false })
    await clock.advance(4000)
    expect(listRunsOf(workers, task)).to.have.length(1)
    stop()
  })

  it('copies no task onto the worker that runs it', async () => {
    const { clock, workers, task, stop } = await createStraggler({ allowsCopies: true }, 1)
    await clock.advance(4000)
    expect((listRunsOf(workers, task)[0] as FakeWorker).startCount).to.equal(4)
    stop()
  })

  it('leaves the capacity to waiting tasks', async () => {
    const { clock, workers, submit, task, stop } = await createStraggler({ allowsCopies: true, cpu: 8000 })
    submit('00000000000000bb', { steps: [createStep({ count: 8, cpu: 8000 })] })
    await clock.advance(2000)
    expect(listRunsOf(workers, task)).to.have.length(1)
    stop()
  })

  it('copies the tasks of a silent worker before its lease has expired', async () => {
    const { clock, state, workers, submit, stop } = createSchedulerHarness(2)
    await clock.advance(200)
    submit(JOB, { steps: [createStep({ allowsCopies: true })] })
    await clock.advance(200)
    const task = `${JOB}.0.0.0`
    const [first] = listRunsOf(workers, task) as [FakeWorker]
    first.isSilent = true
    const silentAt = clock.now()
    while (listRunsOf(workers, task).length < 2) await clock.advance(50)
    const active = state.data.jobs.get(JOB)?.occurrences.get(0)?.[0]?.tasks[0]?.active
    expect(active, 'the first run still holds its lease').to.have.length(2)
    const copiedAfterMs = clock.now() - silentAt
    ;(listRunsOf(workers, task).find((worker) => worker !== first) as FakeWorker).endRun(task)
    await clock.advance(200)
    expect(state.data.jobs.get(JOB)?.state).to.equal('completed')
    expect(copiedAfterMs).to.be.below(2000)
    stop()
  })

  it('stops copying the stragglers of a queue whose copies never end first', async () => {
    const { clock, workers, submit, stop } = createSchedulerHarness(4)
    await clock.advance(200)
    let copies = 0
    for (let job = 0; job < 12; job++) {
      const id = job.toString(16).padStart(16, '0')
      submit(id, { steps: [createStep({ count: 4, allowsCopies: true })] })
      await clock.advance(400)
      for (const index of [0, 1, 2]) (listRunsOf(workers, `${id}.0.0.${index}`)[0] as FakeWorker).endRun(`${id}.0.0.${index}`)
      const task = `${id}.0.0.3`
      const [first] = listRunsOf(workers, task) as [FakeWorker]
      await clock.advance(1000)
      copies += listRunsOf(workers, task).length - 1
      first.endRun(task)
      await clock.advance(300)
    }
    expect(copies).to.be.within(8, 10)
    stop()
  })
})
