import { expect } from 'chai'
import { findNextMachine } from './index.js'

describe('findNextMachine', () => {
  it('takes the machine with the least work left', () => {
    expect(findNextMachine([{ machine: 'm', service: 'a', runs: 3 }, { machine: 'n', service: 'a', runs: 1 }], new Map())?.machine).to.equal('n')
  })

  it('spares the service that has others out already', () => {
    expect(findNextMachine([{ machine: 'm', service: 'a', runs: 0 }, { machine: 'n', service: 'b', runs: 5 }], new Map([['a', 1]]))?.machine).to.equal('n')
  })

  it('finds none when none waits', () => {
    expect(findNextMachine([], new Map())).to.equal(undefined)
  })
})
