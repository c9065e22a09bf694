import { expect } from 'chai'
import { Packr } from 'msgpackr/pack'
import { createConfig, createJob, createQueue, createStep, createWorkspace } from '../../fixtures/index.js'
import { createStateHarness, JOB_ID as ID, type StateHarness } from '../../fixtures/stateHarness.js'
import type { QueueConfig } from '../../types.js'
import { BatchState } from '../index.js'
import { findWorkspaceOfJobs } from './index.js'

const CAP = { cpu: 5000, memory: 0, accelerators: 0 }

const configure = (version: number, workspaces: QueueConfig['workspaces']): QueueConfig => ({ ...createConfig(version, [createQueue()]), workspaces })

function createHarness (weight = 1): StateHarness {
  const harness = createStateHarness()
  harness.apply('configure', { config: configure(2, [createWorkspace('studio', { weight, cap: CAP })]) })
  return harness
}

function submit (harness: StateHarness, id: string, workspace = 'studio'): boolean | undefined {
  harness.apply('accept', { jobs: [createJob(id, { workspace, steps: [createStep({ count: 3 })] })] })
  return harness.state.data.jobs.get(id)?.isBeyondRate
}

function restore (state: BatchState): BatchState {
  const restored = new BatchState()
  restored.restore(state.serialize())
  return restored
}

describe('workspaces of the replicated state', () => {
  it('counts a run from its placement to its end, also while its job has ended and after a restore', () => {
    const harness = createHarness()
    submit(harness, ID)
    harness.place(`${ID}.0.0.0`, 1)
    harness.place(`${ID}.0.0.1`, 1, 'x@1')
    harness.apply('cancel', { ids: [ID] })
    for (const state of [harness.state, restore(harness.state)]) expect(state.workspaceUse.getTotal('studio').cpu).to.equal(2000)
    harness.end(`${ID}.0.0.0`, 1, 'stopped')
    for (const state of [harness.state, restore(harness.state)]) expect(state.workspaceUse.getTotal('studio').cpu).to.equal(1000)
  })

  it('counts two runs of one task twice', () => {
    const harness = createHarness()
    submit(harness, ID)
    harness.place(`${ID}.0.0.0`, 1)
    harness.place(`${ID}.0.0.0`, 2, 'x@1')
    expect(harness.state.workspaceUse.getTotal('studio').cpu).to.equal(2000)
  })

  it('marks the jobs beyond the rate of their workspace, and goes on with the same count after a restore', () => {
    const harness = createHarness()
    const marks = Array.from({ length: 5 }, (_, i) => submit(harness, i.toString(16).padStart(16, '0')))
    expect(marks).to.deep.equal([false, false, false, false, false])
    const restored = restore(harness.state)
    for (const state of [harness.state, restored]) {
      state.apply(99, { type: 'accept', at: 1100, jobs: [createJob(ID, { workspace: 'studio' })] })
      expect(state.data.jobs.get(ID)?.isBeyondRate).to.equal(true)
    }
  })

  it('marks no job without a workspace, and none where nothing is divided among workspaces', () => {
    const harness = createHarness(0)
    const plain = createStateHarness()
    for (let i = 0; i < 20; i++) {
      expect(submit(harness, i.toString(16).padStart(16, '0'), '')).to.equal(false)
      expect(submit(plain, i.toString(16).padStart(16, '0'), 'studio')).to.equal(false)
    }
  })

  it('keeps the cap of a workspace that was removed while it has jobs', () => {
    const harness = createHarness()
    submit(harness, ID)
    harness.apply('configure', { config: configure(3, []) })
    harness.apply('configure', { config: configure(4, []) })
    for (const state of [harness.state, restore(harness.state)]) expect(findWorkspaceOfJobs(state.data, 'studio')?.cap).to.deep.equal(CAP)
    harness.apply('configure', { config: configure(5, [createWorkspace('studio')]) })
    expect(findWorkspaceOfJobs(harness.state.data, 'studio')?.cap.cpu).to.equal(0)
    expect(harness.state.data.retiredWorkspaces.size).to.equal(0)
  })

  it('restores snapshots of builds that knew no shares', () => {
    const harness = createHarness()
    submit(harness, ID)
    harness.place(`${ID}.0.0.0`, 1)
    const packr = new Packr({ useRecords: true, moreTypes: true })
    const { retiredWorkspaces: _, rateBuckets: __, ...data } = harness.state.data
    const jobs = new Map([...data.jobs].map(([id, { isBeyondRate: _, ...job }]) => [id, job]))
    const restored = new BatchState()
    restored.restore(packr.pack({ ...data, jobs }))
    expect(restored.data.jobs.get(ID)?.isBeyondRate).to.equal(false)
    expect(restored.workspaceUse.getTotal('studio').cpu).to.equal(1000)
    expect(restored.apply(9, { type: 'accept', at: 2000, jobs: [createJob('00000000000000bb', { workspace: 'studio' })] })).to.deep.equal(['added'])
  })
})
