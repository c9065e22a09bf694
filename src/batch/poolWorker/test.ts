import { expect } from 'chai'
import type { WorkerSession } from '../../workers/session/index.js'
import { createStep, createWorker } from '../fixtures/index.js'
import { createStateHarness, JOB_ID } from '../fixtures/stateHarness.js'
import { createPoolWorker } from './index.js'

describe('createPoolWorker', () => {
  it('deducts the runs that were placed on an earlier incarnation, whose starts may reach this one (LIMIT)', () => {
    const harness = createStateHarness()
    harness.accept({ steps: [createStep({ count: 3, cpu: 1000 })] })
    harness.place(`${JOB_ID}.0.0.0`, 1)
    const next = createWorker('w', { born: 2 })
    harness.apply('enrol', { workers: [next] })
    harness.place(`${JOB_ID}.0.0.1`, 1, 'w@2')
    harness.place(`${JOB_ID}.0.0.2`, 1, 'x@1')
    const describe = (key: string, record = next): number => createPoolWorker({ key, record, strayTasks: [] as readonly string[] } as WorkerSession, harness.state).free.cpu
    expect(describe('w@2')).to.equal(next.room.cpu - 2000)
    expect(describe('w@1', createWorker('w')), 'the earlier incarnation').to.equal(next.room.cpu - 1000)
    harness.end(`${JOB_ID}.0.0.0`, 1, 'lost')
    expect(describe('w@2')).to.equal(next.room.cpu - 1000)
  })
})
