import { expect } from 'chai'
import { groupByRack } from './index.js'

describe('groupByRack', () => {
  it('puts workers with the same labels together, whatever the order of the labels', () => {
    const workers = [{ key: 'a', labels: ['big', 'r1'] }, { key: 'b', labels: ['big', 'r2'] }, { key: 'c', labels: ['r1', 'big'] }]
    expect(groupByRack(workers).map((rack) => rack.map(({ key }) => key))).to.deep.equal([['a', 'c'], ['b']])
  })

  it('takes workers of different kinds on one rack apart', () => {
    expect(groupByRack([{ labels: ['big', 'r1'] }, { labels: ['small', 'r1'] }])).to.have.length(2)
  })
})
