import { expect } from 'chai'
import fc from 'fast-check'
import { createStep } from '../fixtures/index.js'
import type { Step } from '../types.js'
import { planStarts, type PlannedStart, type PoolWorker, type StartableTask, type StartGroup } from './index.js'

function createPoolWorker (key: string, changes: Partial<PoolWorker> = {}): PoolWorker {
  const room = { cpu: 4000, memory: 8000, accelerators: 0 }
  return { key, machine: `m-${key}`, zone: 'a', labels: ['a', 'r1'], room, free: { ...room }, taskCountByStep: new Map(), startsLeft: Number.POSITIVE_INFINITY, slowdown: 1, freshRuns: 0, trialJob: null, hasLongLease: false, ...changes }
}

function createGroup (task: string, step: Partial<Step> = {}, failedOn: readonly string[] = []): StartGroup {
  return { members: [{ task, stepKey: task.split('#')[0] as string, step: createStep(step), failedOn, allowed: null, suspectJob: null }], mayReserve: true }
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

  describe('of a job that is suspected of crashing workers', () => {
    const createSuspect = (task: string, suspectJob: string, step: Partial<Step> = {}): StartGroup => ({ members: [{ ...(createGroup(task, step).members[0] as StartableTask), suspectJob }], mayReserve: true })

    it('takes the emptiest worker without fresh runs, all tasks on the same one, and nothing else there', () => {
      const workers = [createPoolWorker('fresh', { freshRuns: 1 }), createPoolWorker('busy', { free: { cpu: 3000, memory: 8000, accelerators: 0 } }), createPoolWorker('empty')]
      const starts = planStarts(workers, [createSuspect('s#1', 'a'), createSuspect('s#2', 'a'), createGroup('t#1'), createSuspect('u#1', 'b')])
      expect(starts).to.deep.equal([{ task: 's#1', worker: 'empty' }, { task: 's#2', worker: 'empty' }, { task: 't#1', worker: 'busy' }])
    })

    it('waits for a worker that starts nothing else meanwhile when all have fresh runs', () => {
      const workers = [createPoolWorker('w', { freshRuns: 2 }), createPoolWorker('x', { freshRuns: 1 })]
      expect(planStarts(workers, [createSuspect('s#1', 'a'), createGroup('t#1'), createGroup('t#2')]).map(({ worker }) => worker)).to.deep.equal(['w', 'w'])
    })

    it('starts no more of its tasks than fit on one worker', () => {
      const starts = planStarts([createPoolWorker('w'), createPoolWorker('x')], Array.from({ length: 6 }, (_, i) => createSuspect(`s#${i}`, 'a')))
      expect(new Set(starts.map(({ worker }) => worker)).size).to.equal(1)
      expect(starts).to.have.length(4)
    })

    it('lets two suspected jobs start on two workers', () => {
      const starts = planStarts([createPoolWorker('w'), createPoolWorker('x')], [createSuspect('s#1', 'a'), createSuspect('u#1', 'b')])
      expect(new Set(starts.map(({ worker }) => worker)).size).to.equal(2)
    })

    it('spreads a gang over as many workers without fresh runs as it needs, or starts none of it', () => {
      const members = [1, 2].map((i) => createSuspect(`s#${i}`, 'a', { isGang: true, count: 2, cpu: 3000 }).members[0] as StartableTask)
      const gang: StartGroup = { members, mayReserve: false }
      expect(planStarts([createPoolWorker('w'), createPoolWorker('x')], [gang])).to.have.length(2)
      const workers = [createPoolWorker('w'), createPoolWorker('x', { freshRuns: 1 })]
      expect(planStarts(workers, [gang, createGroup('t#1')])).to.deep.equal([{ task: 't#1', worker: 'w' }])
    })
  })

  it('starts a single task on a worker on probation', () => {
    expect(planStarts([createPoolWorker('w', { startsLeft: 1 })], [createGroup('s#1'), createGroup('s#2')])).to.have.length(1)
  })

  it('starts a gang that needs several tasks of each worker on workers on probation (LOST, gang never began)', () => {
    const members = [1, 2, 3, 4].map((i) => createGroup(`s#${i}`, { isGang: true, count: 4 }).members[0] as StartableTask)
    const workers = [createPoolWorker('w', { startsLeft: 1, free: { cpu: 2000, memory: 8000, accelerators: 0 } }), createPoolWorker('x', { startsLeft: 1, free: { cpu: 2000, memory: 8000, accelerators: 0 } })]
    expect(planStarts(workers, [{ members, mayReserve: false }, createGroup('t#1', { cpu: 1 })])).to.have.length(4)
  })

  it('starts a long-running task on a worker whose loss would hold it up only when it fits on no other (LOST, tasks of a lost worker waited 12 s)', () => {
    const workers = [createPoolWorker('w', { hasLongLease: true, free: { cpu: 1000, memory: 8000, accelerators: 0 } }), createPoolWorker('x')]
    const groups = [1, 2, 3, 4, 5].map((i) => createGroup(`s#${i}`, { isLasting: true }))
    expect(planStarts(workers, groups).map(({ worker }) => worker)).to.deep.equal(['x', 'x', 'x', 'x', 'w'])
  })

  it('uses only workers that the advisor allows', () => {
    const group: StartGroup = { mayReserve: true, members: [{ task: 's', stepKey: 's', step: createStep(), failedOn: [], allowed: new Set(['x']), suspectJob: null }] }
    expect(planStarts([createPoolWorker('w'), createPoolWorker('x')], [group])).to.deep.equal([{ task: 's', worker: 'x' }])
  })

  it('looks at a full worker a few times only, however many tasks wait', () => {
    let looks = 0
    const workers = Array.from({ length: 200 }, (_, i) => {
      const worker = createPoolWorker(`w${i}`)
      const free = { cpu: 500, memory: 8000, accelerators: 0 }
      return Object.defineProperty(worker, 'free', { get: () => { looks += 1; return free } })
    })
    expect(planStarts(workers, Array.from({ length: 3000 }, (_, i) => createGroup(`s${i % 40}#${i}`, { cpu: 1000 + i % 3 })))).to.deep.equal([])
    expect(looks).to.be.below(20 * workers.length)
  })

  it('plans the same starts as one group at a time', () => {
    const stepArbitrary = fc.record({ cpu: fc.constantFrom(500, 1000, 2500, 5000), memory: fc.constantFrom(100, 3000), isFiller: fc.boolean(), label: fc.constantFrom('', '', 'r1', 'r2'), maxPerWorker: fc.constantFrom(0, 0, 1), size: fc.constantFrom(1, 1, 1, 3) })
    const workerArbitrary = fc.record({ label: fc.constantFrom('r1', 'r2'), cpu: fc.integer({ min: 0, max: 4000 }), startsLeft: fc.constantFrom(1, 2, Number.POSITIVE_INFINITY) })
    fc.assert(fc.property(fc.array(stepArbitrary, { maxLength: 30 }), fc.array(workerArbitrary, { maxLength: 6 }), (steps, workerShapes) => {
      const createWorkers = () => workerShapes.map(({ label, cpu, startsLeft }, i) => createPoolWorker(`w${i}`, { labels: ['a', label], free: { cpu, memory: 8000, accelerators: 0 }, startsLeft }))
      const groups = steps.map(({ size, ...step }, i): StartGroup => ({
        members: Array.from({ length: size }, (_, member) => createGroup(`s${i}#${member}`, { ...step, isGang: size > 1 }).members).flat(),
        mayReserve: size === 1
      }))
      expect(planStarts(createWorkers(), groups)).to.deep.equal(planOneByOne(createWorkers(), groups))
    }), { numRuns: 500 })
  })
})

/** Plans each group on its own, on the workers that are not reserved. */
function planOneByOne (workers: readonly PoolWorker[], groups: readonly StartGroup[]): PlannedStart[] {
  const starts: PlannedStart[] = []
  const reserved = new Set<PoolWorker>()
  for (const group of groups) {
    const available = workers.filter((worker) => worker.startsLeft > 0 && !reserved.has(worker))
    const placed = planStarts(available, [group])
    starts.push(...placed)
    const [member] = group.members
    if (placed.length > 0 || member === undefined || !group.mayReserve || reserved.size === 2) continue
    const { step, stepKey } = member
    const eligible = available.filter(({ labels, room, taskCountByStep }) => (step.label === '' || labels.includes(step.label)) && (step.maxPerWorker === 0 || (taskCountByStep.get(stepKey) ?? 0) < step.maxPerWorker) && room.cpu >= step.cpu && room.memory >= step.memory)
    const [mostFree] = eligible.sort((a, b) => b.free.cpu - a.free.cpu)
    if (mostFree !== undefined) reserved.add(mostFree)
  }
  return starts
}
