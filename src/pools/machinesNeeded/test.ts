import { expect } from 'chai'
import { machinesNeeded, type PoolDemand } from './index.js'

const IDLE = { work: [], arrivalRate: 0, longRunningLoad: 0, longRunningSpread: 0, isStarved: false }

const needed = (demand: PoolDemand, have = 3): number => machinesNeeded(demand, have)

describe('machinesNeeded', () => {
  it('keeps one machine for an idle service, and two for long-running tasks', () => {
    expect(needed(IDLE)).to.equal(1)
    expect(needed({ ...IDLE, longRunningLoad: 0.4 })).to.equal(2)
  })

  it('keeps as many machines as the limit of tasks per worker requires', () => {
    expect(needed({ ...IDLE, longRunningLoad: 0.4, longRunningSpread: 5 })).to.equal(5)
  })

  it('requests enough machines to finish the backlog before it is late', () => {
    expect(needed({ ...IDLE, work: [{ load: 8500, dueInMs: 2000 }] })).to.equal(5)
    expect(needed({ ...IDLE, work: [{ load: 8500, dueInMs: 10_000 }] })).to.equal(1)
  })

  it('needs no more machines for work that is due much later', () => {
    const soon = { load: 1700, dueInMs: 2000 }
    expect(needed({ ...IDLE, work: [{ load: 1700, dueInMs: 20_000 }, soon] })).to.equal(needed({ ...IDLE, work: [soon] }))
  })

  it('keeps up with arrivals in addition to long-running tasks', () => {
    expect(needed({ ...IDLE, arrivalRate: 7.5, longRunningLoad: 1 })).to.equal(10)
  })

  it('requests one more machine for starved tasks, however little work they are', () => {
    expect(needed({ ...IDLE, isStarved: true })).to.equal(4)
  })
})
