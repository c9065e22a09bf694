import { expect } from 'chai'
import { planMoves, type PoolState } from './index.js'

function createPool (service: string, changes: Partial<PoolState>): PoolState {
  return { service, have: 2, coming: 0, need: 2, recentNeed: changes.need ?? 2, idle: [], busy: [], draining: 0, ...changes }
}

describe('planMoves', () => {
  it('moves nothing between pools that have enough machines', () => {
    expect(planMoves([createPool('a', {}), createPool('b', {})], ['p'], 'off')).to.deep.equal([])
  })

  it('takes idle machines of a pool with a surplus before powered-off ones, to save a move', () => {
    const decisions = planMoves([createPool('a', { need: 4 }), createPool('b', { have: 3, recentNeed: 3, idle: ['i'] })], ['p'], 'off')
    expect(decisions).to.deep.equal([{ kind: 'move', machine: 'i', to: 'a' }, { kind: 'move', machine: 'p', to: 'a' }])
  })

  it('counts machines that are already moving to the pool', () => {
    expect(planMoves([createPool('a', { need: 4, coming: 2 })], ['p'], 'off')).to.deep.equal([])
  })

  it('serves the pool that lacks most machines first', () => {
    expect(planMoves([createPool('a', { need: 3 }), createPool('b', { need: 9 })], ['p'], 'off')).to.deep.equal([{ kind: 'move', machine: 'p', to: 'b' }])
  })

  it('powers idle machines off only after the surplus has lasted', () => {
    const pool = createPool('a', { have: 5, need: 2, recentNeed: 4, idle: ['i', 'j', 'k'] })
    expect(planMoves([pool], [], 'off')).to.deep.equal([{ kind: 'move', machine: 'i', to: 'off' }])
    expect(planMoves([{ ...pool, recentNeed: 5 }], [], 'off')).to.deep.equal([])
  })

  it('drains the machine with the least work when a surplus has no idle machine', () => {
    expect(planMoves([createPool('a', { have: 3, need: 2, busy: ['few', 'many'] })], [], 'off')).to.deep.equal([{ kind: 'drain', machine: 'few', from: 'a' }])
  })

  it('drains several machines of a pool with a surplus while another is short, and counts those already draining', () => {
    const donor = createPool('a', { have: 9, need: 2, recentNeed: 9, busy: ['1', '2', '3', '4', '5', '6'] })
    const receiver = createPool('b', { need: 5 })
    const machines = (decisions: ReturnType<typeof planMoves>): string[] => decisions.map(({ machine }) => machine)
    expect(machines(planMoves([donor, receiver], [], 'off'))).to.deep.equal(['1', '2', '3'])
    expect(machines(planMoves([{ ...donor, have: 7, draining: 2 }, receiver], [], 'off'))).to.deep.equal(['1'])
  })

  it('powers nothing off when there is no pool of powered-off machines', () => {
    expect(planMoves([createPool('a', { have: 5, need: 2, idle: ['i'] })], [], null)).to.deep.equal([])
  })

  it('never gives one machine to two pools', () => {
    const short = ['a', 'b'].map((service) => createPool(service, { need: 3 }))
    const decisions = planMoves([...short, createPool('c', { have: 3, recentNeed: 3, idle: ['i'] })], [], 'off')
    expect(decisions).to.have.length(1)
  })
})
