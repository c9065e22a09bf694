import { expect } from 'chai'
import { createConfig, createQueue, createWorkspace } from '../fixtures/index.js'
import type { QueueConfig } from '../types.js'
import { diffConfig, formatConfigChange } from './index.js'

const OTHER = createQueue({ name: 'other', prefix: '/other/', service: 'desk' })
const BEFORE: QueueConfig = { ...createConfig(1, [createQueue(), OTHER]), workspaces: [createWorkspace('studio', { keys: ['k1', 'k2'] })] }

function diff (after: Partial<QueueConfig>): string[] {
  return diffConfig(BEFORE, { ...BEFORE, version: 2, ...after }).map(formatConfigChange)
}

describe('diffConfig', () => {
  it('finds no difference in the version, the layout and the order of entries', () => {
    expect(diff({ document: '{}', queues: [OTHER, createQueue()] })).to.deep.equal([])
  })

  it('names the fields of a queue that change, also its name', () => {
    expect(diff({ queues: [createQueue({ name: 'cleaning', timeoutMs: 4000 }), OTHER] })).to.deep.equal(['! queue cleaning (studio.example /cleanup/): name: "cleanup" -> "cleaning", timeoutMs: 3000 -> 4000'])
  })

  it('names queues and services that are added or removed', () => {
    const changes = diff({ queues: [createQueue(), createQueue({ name: 'new', prefix: '/new/' })], services: BEFORE.services.slice(0, 1) })
    expect(changes).to.deep.equal(['+ queue new (studio.example /new/)', '- queue other (studio.example /other/)', '- service desk'])
  })

  it('counts the keys of a workspace that change, and shows none', () => {
    expect(diff({ workspaces: [createWorkspace('studio', { keys: ['k2', 'k3'], weight: 5 })] })).to.deep.equal(['! workspace studio: keys: 1 added, 1 withdrawn, weight: 1 -> 5'])
  })

  it('names all workspaces when the other configuration has none', () => {
    expect(diff({ workspaces: null })).to.deep.equal(['- workspace studio'])
  })
})
