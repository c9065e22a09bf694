import { expect } from 'chai'
import { createConfig, createQueue } from '../fixtures/index.js'
import { matchQueue } from './index.js'

const config = createConfig(1, [createQueue({ name: 'short', prefix: '/a/' }), createQueue({ name: 'long', prefix: '/a/b/' }), createQueue({ name: 'other', host: 'other.example', prefix: '/a/' })])

describe('matchQueue', () => {
  it('selects the longest matching prefix', () => {
    expect(matchQueue(config, 'studio.example', '/a/b/1')?.name).to.equal('long')
    expect(matchQueue(config, 'studio.example', '/a/c')?.name).to.equal('short')
  })

  it('matches the host in any case and ignores its port', () => {
    expect(matchQueue(config, 'OTHER.example:8080', '/a/b/1')?.name).to.equal('other')
  })

  it('returns undefined when no queue matches', () => {
    expect(matchQueue(config, 'studio.example', '/b/')).to.equal(undefined)
    expect(matchQueue(config, 'none.example', '/a/')).to.equal(undefined)
  })
})
