import { expect } from 'chai'
import { digestKey } from './index.js'

describe('digestKey', () => {
  it('returns the same digest for the same key, and another one for another key', () => {
    expect(digestKey('pqk8bdk9')).to.equal(digestKey('pqk8bdk9'))
    expect(digestKey('pqk8bdk9')).to.not.equal(digestKey('pqk8bdk8'))
  })

  it('does not contain the key', () => {
    expect(digestKey('a')).to.have.length(43)
    expect(digestKey('pqk8bdk9')).to.not.include('pqk8bdk9')
  })
})
