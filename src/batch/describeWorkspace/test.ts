import { expect } from 'chai'
import { createConfig, createJob, createQueue, createStep, createWorkspace } from '../fixtures/index.js'
import { createStateHarness, JOB_ID as ID, type StateHarness } from '../fixtures/stateHarness.js'
import type { JobRecord } from '../state/records.js'
import { describeJobWorkspace, describeWorkspace } from './index.js'

function createHarness (): StateHarness {
  const harness = createStateHarness()
  const workspaces = [createWorkspace('studio', { weight: 1, cap: { cpu: 2500, memory: 0, accelerators: 0 } }), createWorkspace('desk', { weight: 3 })]
  harness.apply('configure', { config: { ...createConfig(2, [createQueue()]), workspaces } })
  harness.apply('accept', { jobs: [createJob(ID, { workspace: 'studio', steps: [createStep({ count: 4 })] })] })
  for (const i of [0, 1]) harness.place(`${ID}.0.0.${i}`, 1)
  return harness
}

const jobOf = (harness: StateHarness): JobRecord => harness.state.data.jobs.get(ID) as JobRecord

describe('describeWorkspace', () => {
  it('tells use, cap, share and jobs of a workspace', () => {
    expect(describeWorkspace(createHarness().state, 'studio')).to.deep.equal([
      'Workspace studio uses 2 of 2.5 cores, 200 of unlimited MB, 0 of unlimited accelerators.',
      'Its weight is 1 of 4, 25 % of a full pool, and it counts on 1 jobs a second.',
      '1 of its jobs are active, of which 0 have not started and 0 were sent beyond its rate.'
    ])
    expect(describeWorkspace(createHarness().state, 'other')).to.equal(null)
  })

  it('tells that a workspace was removed while its jobs go on', () => {
    const harness = createHarness()
    harness.apply('configure', { config: { ...createConfig(3, [createQueue()]), workspaces: [] } })
    expect(describeWorkspace(harness.state, 'studio')).to.include('It is no longer configured; its jobs go on under its last cap, and its calls are refused.')
  })
})

describe('describeJobWorkspace', () => {
  it('tells how many tasks wait for the cap, and that a job was sent beyond the rate', () => {
    const harness = createHarness()
    expect(describeJobWorkspace(harness.state, { ...jobOf(harness), isBeyondRate: true })).to.deep.equal([
      'It is of workspace studio, which uses 2 of 2.5 cores, 200 of unlimited MB, 0 of unlimited accelerators.',
      'Its workspace had sent more than 1 jobs a second, so that it waits behind jobs within their rate.',
      '2 tasks of step 0.0 wait until its workspace uses less: 1 cores and 100 MB more would exceed the cap.'
    ])
  })

  it('tells that a gang is larger than the cap', () => {
    const harness = createHarness()
    harness.apply('accept', { jobs: [createJob('00000000000000bb', { workspace: 'studio', steps: [createStep({ count: 5, isGang: true }), createStep({ after: [0] })] })] })
    harness.place('00000000000000bb.0.1.0', 1)
    expect(describeJobWorkspace(harness.state, harness.state.data.jobs.get('00000000000000bb') as JobRecord)).to.include("The gang of step 0.0 is larger than the cap and can't start under it.")
  })

  it('tells nothing of the cap when the next task fits, and nothing at all without a workspace', () => {
    const harness = createHarness()
    harness.end(`${ID}.0.0.0`, 1, 'stopped')
    expect(describeJobWorkspace(harness.state, jobOf(harness))).to.have.length(1)
    expect(describeJobWorkspace(harness.state, { ...jobOf(harness), workspace: '' })).to.deep.equal([])
  })
})
