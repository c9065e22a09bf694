import { expect } from 'chai'
import { WorkspaceUse } from './index.js'

const STEP = { cpu: 100, memory: 10, accelerators: 1 }

describe('WorkspaceUse', () => {
  it('sums up the runs of a workspace over all queues, and in each', () => {
    const use = new WorkspaceUse()
    use.add('a', 'q', STEP)
    use.add('a', 'r', STEP)
    use.add('b', 'q', STEP)
    expect(use.getTotal('a')).to.deep.equal({ cpu: 200, memory: 20, accelerators: 2 })
    expect([...use.listQueues('a')]).to.deep.equal([['q', STEP], ['r', STEP]])
    expect(use.getTotal('c')).to.deep.equal({ cpu: 0, memory: 0, accelerators: 0 })
  })

  it('is exactly zero when the last run has ended, whatever the sizes', () => {
    const use = new WorkspaceUse()
    const sizes = [0.1, 0.7, 1e9, 0.2]
    for (const cpu of sizes) use.add('a', 'q', { ...STEP, cpu })
    for (const cpu of sizes) use.remove('a', 'q', { ...STEP, cpu })
    expect(use.getTotal('a').cpu).to.equal(0)
    expect([...use.workspaces]).to.deep.equal([])
  })
})
