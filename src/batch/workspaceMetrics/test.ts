import { expect } from 'chai'
import { Metrics } from '../../metrics/index.js'
import { createConfig, createJob, createQueue, createWorkspace } from '../fixtures/index.js'
import { createStateHarness, JOB_ID as ID } from '../fixtures/stateHarness.js'
import { registerWorkspaceMetrics } from './index.js'

describe('registerWorkspaceMetrics', () => {
  it('publishes use and jobs of the 50 workspaces with the largest weights, and the sum of the others', () => {
    const harness = createStateHarness()
    const workspaces = Array.from({ length: 60 }, (_, i) => createWorkspace(`w${i}`, { weight: 100 - i }))
    harness.apply('configure', { config: { ...createConfig(2, [createQueue()]), workspaces } })
    for (const [i, workspace] of ['w0', 'w55', 'w59', ''].entries()) {
      const id = `${ID.slice(1)}${i}`
      harness.apply('accept', { jobs: [createJob(id, { workspace })] })
      harness.place(`${id}.0.0.0`, 1)
    }
    const metrics = new Metrics()
    let isActive = true
    registerWorkspaceMetrics(metrics, harness.state, () => isActive)
    const lines = metrics.render().trimEnd().split('\n')
    expect(lines).to.have.length(51 * 4)
    expect(lines).to.include.members(['oleanderward_workspace_use{workspace="w0",resource="cpu"} 1000', 'oleanderward_workspace_use{workspace="other",resource="cpu"} 3000', 'oleanderward_workspace_active_jobs{workspace="other"} 3'])
    isActive = false
    expect(metrics.render().trim()).to.equal('')
  })
})
