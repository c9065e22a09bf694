import { expect } from 'chai'
import { planMoves, type PoolState } from './index.js'

function createPool (service: string, changes: Partial<PoolState>): PoolState {
  return { service, have: 2, coming: 0, need: 2, recentNeed: changes.need ?? 2, idle: [], busy: [], draining: 0, ...changes }
}

describe('planMoves', () => {
  it('moves nothing between pools that have what they need', () => {
    expect(planMoves([createPool('a', {}), createPool('b', {})], ['p'], 'off')).to.deep.equal([])
  })

  it('brings idle machines of a pool with a surplus before parked ones: that saves a move', () => {
    const decisions = planMoves([createPool('a', { need: 4 }), createPool('b', { have: 3, recentNeed: 3, idle: ['i'] })], ['p'], 'off')
    expect(decisions).to.deep.equal([{ kind: 'move', machine: 'i', to: 'a' }, { kind: 'move', machine: 'p', to: 'a' }])
  })

  it('counts machines that are on their way', () => {
    expect(planMoves([createPool('a', { need: 4, coming: 2 })], ['p'], 'off')).to.deep.equal([])
  })

  it('helps the pool that is short of most first', () => {
    expect(planMoves([createPool('a', { need: 3 }), createPool('b', { need: 9 })], ['p'], 'off')).to.deep.equal([{ kind: 'move', machine: 'p', to: 'b' }])
  })

  it('parks idle machines only when the surplus has lasted', () => {
    const pool = createPool('a', { have: 5, need: 2, recentNeed: 4, idle: ['i', 'j', 'k'] })
    expect(planMoves([pool], [], 'off')).to.deep.equal([{ kind: 'move', machine: 'i', to: 'off' }])
    expect(planMoves([{ ...pool, recentNeed: 5 }], [], 'off')).to.deep.equal([])
  })

  it('empties the machine with the least work when no surplus one is idle', () => {
    expect(planMoves([createPool('a', { have: 3, need: 2, busy: ['few', 'many'] })], [], 'off')).to.deep.equal([{ kind: 'empty', machine: 'few', from: 'a' }])
  })

  it('empties several machines of a pool with a surplus while another is short, and counts those that are on their way', () => {
    const donor = createPool('a', { have: 9, need: 2, recentNeed: 9, busy: ['1', '2', '3', '4', '5', '6'] })
    const receiver = createPool('b', { need: 5 })
    const machines = (decisions: ReturnType<typeof planMoves>): string[] => decisions.map(({ machine }) => machine)
    expect(machines(planMoves([donor, receiver], [], 'off'))).to.deep.equal(['1', '2', '3'])
    expect(machines(planMoves([{ ...donor, have: 7, draining: 2 }, receiver], [], 'off'))).to.deep.equal(['1'])
  })

  it('parks nothing where no pool is switched off', () => {
    expect(planMoves([createPool('a', { have: 5, need: 2, idle: ['i'] })], [], null)).to.deep.equal([])
  })

  it('never gives one machine to two pools', () => {
    const short = ['a', 'b'].map((service) => createPool(service, { need: 3 }))
    const decisions = planMoves([...short, createPool('c', { have: 3, recentNeed: 3, idle: ['i'] })], [], 'off')
    expect(decisions).to.have.length(1)
  })
})
