import { expect } from 'chai'
import { findNextMachine } from './index.js'

describe('findNextMachine', () => {
  it('prefers the machine with the least work left', () => {
    expect(findNextMachine([{ machine: 'm', service: 'a', runs: 3 }, { machine: 'n', service: 'a', runs: 1 }], new Map())?.machine).to.equal('n')
  })

  it('spares the service that has unavailable machines', () => {
    expect(findNextMachine([{ machine: 'm', service: 'a', runs: 0 }, { machine: 'n', service: 'b', runs: 5 }], new Map([['a', 1]]))?.machine).to.equal('n')
  })

  it('returns none when no machine waits', () => {
    expect(findNextMachine([], new Map())).to.equal(undefined)
  })
})
