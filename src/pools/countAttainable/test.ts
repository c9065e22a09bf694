import { expect } from 'chai'
import { countAttainable } from './index.js'

const pool = (service: string, have: number, need: number, changes: { readonly coming?: number, readonly draining?: number } = {}) => ({ service, have, need, coming: 0, draining: 0, ...changes })

describe('countAttainable', () => {
  it('counts the own machines, also beyond the need, and those on their way', () => {
    expect(countAttainable([pool('booth', 5, 2, { coming: 3 })], 0, 'booth')).to.equal(8)
  })

  it('adds the powered-off machines, and the surplus and the draining machines of other pools', () => {
    expect(countAttainable([pool('booth', 5, 9), pool('desk', 6, 4, { draining: 1 })], 7, 'booth')).to.equal(5 + 7 + 2 + 1)
  })

  it('takes no machine that another service needs', () => {
    expect(countAttainable([pool('booth', 5, 9), pool('desk', 4, 40)], 0, 'booth')).to.equal(5)
  })

  it('sets no limit for a service without a pool', () => {
    expect(countAttainable([pool('booth', 5, 9)], 0, 'desk')).to.equal(Number.POSITIVE_INFINITY)
  })
})
