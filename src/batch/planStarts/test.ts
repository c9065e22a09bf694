import { expect } from 'chai'
import { createStep } from '../fixtures/index.js'
import type { Step } from '../types.js'
import { planStarts, type PoolWorker, type StartGroup } from './index.js'

function createPoolWorker (key: string, changes: Partial<PoolWorker> = {}): PoolWorker {
  const room = { cpu: 4000, memory: 8000, accelerators: 0 }
  return { key, zone: 'a', labels: ['a', 'r1'], room, free: { ...room }, taskCountByStep: new Map(), startsLeft: Number.POSITIVE_INFINITY, slowdown: 1, ...changes }
}

function createGroup (task: string, step: Partial<Step> = {}, failedOn: readonly string[] = []): StartGroup {
  return { members: [{ task, stepKey: task.split('#')[0] as string, step: createStep(step), failedOn, allowed: null }], mayReserve: true }
}

describe('planStarts', () => {
  it('never exceeds the capacity of a worker', () => {
    const worker = createPoolWorker('w')
    const starts = planStarts([worker], Array.from({ length: 10 }, (_, i) => createGroup(`s#${i}`)))
    expect(starts).to.have.length(4)
    expect(worker.free.cpu).to.equal(0)
  })

  it('reserves memory but no processor capacity for a filler task', () => {
    const worker = createPoolWorker('w', { free: { cpu: 0, memory: 150, accelerators: 0 } })
    expect(planStarts([worker], [createGroup('f', { isFiller: true }), createGroup('g', { isFiller: true })])).to.deep.equal([{ task: 'f', worker: 'w' }])
  })

  it('uses only workers with the label that the step requires', () => {
    const starts = planStarts([createPoolWorker('w'), createPoolWorker('x', { labels: ['fast'] })], [createGroup('s', { label: 'fast' }), createGroup('t', { label: 'none' })])
    expect(starts).to.deep.equal([{ task: 's', worker: 'x' }])
  })

  it('respects the limit of tasks per step and worker', () => {
    const starts = planStarts([createPoolWorker('w'), createPoolWorker('x')], [1, 2, 3].map((i) => createGroup(`s#${i}`, { maxPerWorker: 1 })))
    expect(starts.map(({ worker }) => worker).sort()).to.deep.equal(['w', 'x'])
  })

  it('retries a failed task on another worker, and on the same one only when no other has capacity', () => {
    expect(planStarts([createPoolWorker('w'), createPoolWorker('x')], [createGroup('s', {}, ['w'])])[0]?.worker).to.equal('x')
    expect(planStarts([createPoolWorker('w')], [createGroup('s', {}, ['w'])])[0]?.worker).to.equal('w')
  })

  it('prefers the rack that holds the data', () => {
    const starts = planStarts([createPoolWorker('w'), createPoolWorker('x', { labels: ['a', 'r2'] })], [createGroup('s', { dataRack: 'r2' })])
    expect(starts[0]?.worker).to.equal('x')
  })

  it('spreads long-running tasks and packs all others', () => {
    const pool = (): PoolWorker[] => [createPoolWorker('w'), createPoolWorker('x')]
    const spread = planStarts(pool(), [1, 2].map((i) => createGroup(`s#${i}`, { isLasting: true })))
    const packed = planStarts(pool(), [1, 2].map((i) => createGroup(`s#${i}`)))
    expect(new Set(spread.map(({ worker }) => worker)).size).to.equal(2)
    expect(new Set(packed.map(({ worker }) => worker)).size).to.equal(1)
  })

  it('starts all members of a gang or none', () => {
    const gang = (count: number): StartGroup => ({ members: Array.from({ length: count }, (_, i) => createGroup(`g#${i}`, { isGang: true }).members).flat(), mayReserve: false })
    const worker = createPoolWorker('w')
    expect(planStarts([worker], [gang(5)])).to.deep.equal([])
    expect(worker.free.cpu).to.equal(4000)
    expect(planStarts([worker], [gang(4)])).to.have.length(4)
  })

  it('reserves the worker with the most free capacity for a large task, so that smaller tasks do not starve it', () => {
    const busy = createPoolWorker('w', { free: { cpu: 3000, memory: 8000, accelerators: 0 } })
    const busier = createPoolWorker('x', { free: { cpu: 1000, memory: 8000, accelerators: 0 } })
    const starts = planStarts([busy, busier], [createGroup('large', { cpu: 4000 }), createGroup('s#1'), createGroup('s#2')])
    expect(starts).to.deep.equal([{ task: 's#1', worker: 'x' }])
  })

  it('starts a single task on a worker on probation', () => {
    expect(planStarts([createPoolWorker('w', { startsLeft: 1 })], [createGroup('s#1'), createGroup('s#2')])).to.have.length(1)
  })

  it('uses only workers that the advisor allows', () => {
    const group: StartGroup = { mayReserve: true, members: [{ task: 's', stepKey: 's', step: createStep(), failedOn: [], allowed: new Set(['x']) }] }
    expect(planStarts([createPoolWorker('w'), createPoolWorker('x')], [group])).to.deep.equal([{ task: 's', worker: 'x' }])
  })
})
