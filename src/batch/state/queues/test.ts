import { expect } from 'chai'
import { createConfig, createJob, createQueue, createStep } from '../../fixtures/index.js'
import { createStateHarness, JOB_ID, type StateHarness } from '../../fixtures/stateHarness.js'
import { BatchState } from '../index.js'
import { findQueue, queueKey } from './index.js'

const QUEUE = createQueue()
const OTHER = createQueue({ name: 'other', prefix: '/other/' })
const MAX_ATTEMPTS = 3

/** A state with a queue whose tasks may fail three times, and an active job in it. */
function createHarness (): StateHarness {
  const harness = createStateHarness(MAX_ATTEMPTS)
  harness.accept({ steps: [createStep()] })
  return harness
}

function configure (harness: StateHarness, version: number, queues = [OTHER]): void {
  harness.apply('configure', { config: createConfig(version, queues) })
}

function failTask (harness: StateHarness, times: number): void {
  for (let i = 0; i < times; i++) {
    const run = (harness.state.data.jobs.get(JOB_ID)?.occurrences.get(0)?.[0]?.tasks[0]?.lastRun ?? 0) + 1
    harness.place(`${JOB_ID}.0.0.0`, run)
    harness.end(`${JOB_ID}.0.0.0`, run, 'failed')
  }
}

describe('queues of the replicated state', () => {
  it('fails a job after the attempts of its queue although a configuration has removed the queue (BUDGET, started without end)', () => {
    const harness = createHarness()
    failTask(harness, 1)
    configure(harness, 2)
    failTask(harness, MAX_ATTEMPTS - 2)
    expect(harness.phase).to.equal('active')
    failTask(harness, 1)
    expect(harness.phase).to.equal('failed')
  })

  it('keeps the settings of a removed queue in snapshots and through later configurations', () => {
    const harness = createHarness()
    configure(harness, 2)
    configure(harness, 3)
    const restored = new BatchState()
    restored.restore(harness.state.serialize())
    for (const { data } of [harness.state, restored]) expect(findQueue(data, queueKey(QUEUE))?.maxAttempts).to.equal(MAX_ATTEMPTS)
  })

  it('keeps the settings of a removed queue for a job whose acceptance was under way', () => {
    const harness = createStateHarness(MAX_ATTEMPTS)
    configure(harness, 2)
    harness.apply('accept', { jobs: [createJob(JOB_ID)] })
    configure(harness, 3)
    expect(findQueue(harness.state.data, queueKey(QUEUE))?.maxAttempts).to.equal(MAX_ATTEMPTS)
  })

  it('uses the settings of a queue that is configured again, and those of its last configuration once it is removed again', () => {
    const harness = createHarness()
    configure(harness, 2)
    configure(harness, 3, [createQueue({ maxAttempts: 7 }), OTHER])
    expect(findQueue(harness.state.data, queueKey(QUEUE))?.maxAttempts).to.equal(7)
    expect(harness.state.data.retiredQueues.size).to.equal(0)
    configure(harness, 4)
    expect(findQueue(harness.state.data, queueKey(QUEUE))?.maxAttempts).to.equal(7)
  })

  it('forgets a removed queue after its last job, with the next configuration', () => {
    const harness = createHarness()
    configure(harness, 2)
    harness.apply('cancel', { ids: [JOB_ID] })
    configure(harness, 3)
    expect(findQueue(harness.state.data, queueKey(QUEUE))).to.equal(undefined)
  })

  it('gives up the failing task of a snapshot from an earlier build whose queue had been removed', () => {
    const harness = createHarness()
    configure(harness, 2)
    Reflect.deleteProperty(harness.state.data, 'retiredQueues')
    harness.state.restore(harness.state.serialize())
    failTask(harness, 10)
    expect(harness.phase).to.equal('failed')
  })
})
