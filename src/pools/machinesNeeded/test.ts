import { expect } from 'chai'
import { machinesNeeded, type PoolDemand } from './index.js'

const IDLE = { work: [], arrivalRate: 0, longRunningLoad: 0, longRunningSpread: 0, isStarved: false }

const needed = (demand: PoolDemand, have = 3): number => machinesNeeded(demand, have)

describe('machinesNeeded', () => {
  it('keeps one machine for a service that is asked for nothing, and two where tasks last', () => {
    expect(needed(IDLE)).to.equal(1)
    expect(needed({ ...IDLE, longRunningLoad: 0.4 })).to.equal(2)
  })

  it('keeps as many as the limit of tasks on one worker asks for', () => {
    expect(needed({ ...IDLE, longRunningLoad: 0.4, longRunningSpread: 5 })).to.equal(5)
  })

  it('asks for what does the waiting work before it is late', () => {
    expect(needed({ ...IDLE, work: [{ load: 8500, dueInMs: 2000 }] })).to.equal(5)
    expect(needed({ ...IDLE, work: [{ load: 8500, dueInMs: 10_000 }] })).to.equal(1)
  })

  it('counts work that is due later only as far as it must be done by then', () => {
    const soon = { load: 1700, dueInMs: 2000 }
    expect(needed({ ...IDLE, work: [{ load: 1700, dueInMs: 20_000 }, soon] })).to.equal(needed({ ...IDLE, work: [soon] }))
  })

  it('keeps up with what comes in, beside the tasks that last', () => {
    expect(needed({ ...IDLE, arrivalRate: 7.5, longRunningLoad: 1 })).to.equal(10)
  })

  it('asks for one more than there are when tasks wait and none has started for long, however little work they are', () => {
    expect(needed({ ...IDLE, isStarved: true })).to.equal(4)
  })
})
