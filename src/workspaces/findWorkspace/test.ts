import { expect } from 'chai'
import { createConfig, createWorkspace } from '../../batch/fixtures/index.js'
import { digestKey } from '../digestKey/index.js'
import { findWorkspace, findWorkspaceByKey } from './index.js'

const CONFIG = { ...createConfig(1), workspaces: [createWorkspace('studio', { keys: ['k1', 'k2'] }), createWorkspace('library', { keys: ['k3'] })] }

describe('findWorkspaceByKey', () => {
  it('finds the workspace of each of its keys', () => {
    expect(findWorkspaceByKey(CONFIG, digestKey('k2'))?.name).to.equal('studio')
    expect(findWorkspaceByKey(CONFIG, digestKey('k3'))?.name).to.equal('library')
  })

  it('finds none for an unknown key, nor in a configuration without workspaces', () => {
    expect(findWorkspaceByKey(CONFIG, digestKey('k4'))).to.equal(undefined)
    expect(findWorkspaceByKey(createConfig(2), digestKey('k1'))).to.equal(undefined)
  })
})

describe('findWorkspace', () => {
  it('finds a workspace by its name', () => {
    expect(findWorkspace(CONFIG, 'library')?.name).to.equal('library')
    expect(findWorkspace(CONFIG, 'nobody')).to.equal(undefined)
  })
})
