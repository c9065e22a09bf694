import { expect } from 'chai'
import fc from 'fast-check'
import type { Resources } from '../../batch/types.js'
import { NO_AMOUNTS } from '../amounts.js'
import { ShareRanking } from './index.js'

interface Task extends Resources { readonly workspace: string, readonly id: number }

interface Demand { readonly workspace: string, readonly weight: number, readonly count: number, readonly size: number }

const CAPACITY = 100

function * createTasks ({ workspace, count, size }: Demand): Generator<Task> {
  for (let id = 0; id < count; id++) yield { ...NO_AMOUNTS, cpu: size, workspace, id }
}

/** Fills a pool from nothing, and returns what each workspace got. */
function fill (demands: readonly Demand[], capacity = CAPACITY, used: ReadonlyMap<string, number> = new Map()): Map<string, number> {
  const ranking = new ShareRanking<Task>(demands.map(({ workspace, weight }) => ({ workspace, weight, use: { ...NO_AMOUNTS, cpu: used.get(workspace) ?? 0 } })), { ...NO_AMOUNTS, cpu: capacity }, (task) => task)
  const got = new Map(demands.map(({ workspace }) => [workspace, used.get(workspace) ?? 0]))
  let free = capacity - [...used.values()].reduce((sum, amount) => sum + amount, 0)
  for (const task of ranking.list(demands.map((demand) => ({ workspace: demand.workspace, groups: createTasks(demand) })))) {
    if (task.cpu > free) break
    free -= task.cpu
    got.set(task.workspace, (got.get(task.workspace) ?? 0) + task.cpu)
    ranking.recordStart(task.workspace, task)
  }
  return got
}

/** Weighted max-min shares of a divisible capacity: raises the level until the capacity is used up. */
function computeFairShares (demands: readonly Demand[], capacity: number): Map<string, number> {
  const shares = new Map<string, number>()
  let open = [...demands]
  let left = capacity
  while (open.length > 0) {
    const level = left / open.reduce((sum, { weight }) => sum + weight, 0)
    const satisfied = open.filter(({ weight, count, size }) => count * size <= level * weight)
    if (satisfied.length === 0) {
      for (const { workspace, weight } of open) shares.set(workspace, level * weight)
      break
    }
    for (const { workspace, count, size } of satisfied) {
      shares.set(workspace, count * size)
      left -= count * size
    }
    open = open.filter((demand) => !satisfied.includes(demand))
  }
  return shares
}

const demandArbitrary = fc.array(fc.record({ weight: fc.integer({ min: 1, max: 9 }), count: fc.integer({ min: 0, max: 200 }) }), { minLength: 1, maxLength: 8 })

describe('ShareRanking', () => {
  it('divides a full pool by the weights', () => {
    expect([...fill([{ workspace: 'a', weight: 3, count: 100, size: 1 }, { workspace: 'b', weight: 1, count: 100, size: 1 }])]).to.deep.equal([['a', 75], ['b', 25]])
  })

  it('lends what a workspace leaves unused', () => {
    expect([...fill([{ workspace: 'a', weight: 1, count: 1000, size: 1 }, { workspace: 'b', weight: 9, count: 20, size: 1 }])]).to.deep.equal([['a', 80], ['b', 20]])
  })

  it('gives what ends to the workspace below its share, until it has it', () => {
    const demands = [{ workspace: 'hot', weight: 1, count: 1000, size: 1 }, { workspace: 'b', weight: 1, count: 1000, size: 1 }]
    const used = new Map([['hot', 100], ['b', 0]])
    for (let ended = 0; ended < 50; ended++) {
      used.set('hot', (used.get('hot') as number) - 1)
      for (const [workspace, amount] of fill(demands, CAPACITY, used)) used.set(workspace, amount)
    }
    expect([...used]).to.deep.equal([['hot', 50], ['b', 50]])
  })

  it('keeps the given order among workspaces within their share', () => {
    const jobs = [['b', 1], ['a', 2], ['b', 3]] as const
    const ranking = new ShareRanking<Task>(['a', 'b'].map((workspace) => ({ workspace, weight: 1, use: NO_AMOUNTS })), { ...NO_AMOUNTS, cpu: CAPACITY }, (task) => task)
    const listed: number[] = []
    for (const task of ranking.list(jobs.map(([workspace, id]) => ({ workspace, groups: [{ ...NO_AMOUNTS, cpu: 10, workspace, id }] })))) {
      listed.push(task.id)
      ranking.recordStart(task.workspace, task)
    }
    expect(listed).to.deep.equal([1, 2, 3])
  })

  it('lists nothing of a closed workspace, and everything of the others', () => {
    const ranking = new ShareRanking<Task>(['a', 'b'].map((workspace) => ({ workspace, weight: 1, use: NO_AMOUNTS })), { ...NO_AMOUNTS, cpu: CAPACITY }, (task) => task)
    const jobs = ['a', 'b'].map((workspace) => ({ workspace, groups: createTasks({ workspace, weight: 1, count: 3, size: 1 }) }))
    expect([...ranking.list(jobs, (workspace) => workspace === 'a')].map(({ workspace }) => workspace)).to.deep.equal(['b', 'b', 'b'])
  })

  it('measures the resource of which a workspace uses the largest part', () => {
    const ranking = new ShareRanking<Task>([{ workspace: 'cpu', weight: 1, use: NO_AMOUNTS }, { workspace: 'memory', weight: 1, use: NO_AMOUNTS }], { cpu: 90, memory: 180, accelerators: 0 }, (task) => task)
    const free = { cpu: 90, memory: 180 }
    const counts = { cpu: 0, memory: 0 }
    const shapes = { cpu: { cpu: 3, memory: 1 }, memory: { cpu: 1, memory: 4 } }
    const jobs = (['cpu', 'memory'] as const).map((workspace) => ({ workspace, groups: Array.from({ length: 100 }, (_, id) => ({ ...NO_AMOUNTS, ...shapes[workspace], workspace, id })) }))
    for (const task of ranking.list(jobs)) {
      if (task.cpu > free.cpu || task.memory > free.memory) continue
      free.cpu -= task.cpu
      free.memory -= task.memory
      counts[task.workspace as 'cpu' | 'memory'] += 1
      ranking.recordStart(task.workspace, task)
    }
    // The equal dominant shares of the paper by Ghodsi and others: two thirds each.
    expect(counts).to.deep.equal({ cpu: 20, memory: 30 })
  })

  it('is work conserving, and within a task of the weighted max-min shares under any mix', () => {
    fc.assert(fc.property(demandArbitrary, fc.integer({ min: 1, max: 12 }), (drawn, size) => {
      const demands = drawn.map((entry, i) => ({ ...entry, size, workspace: `w${i}` }))
      const got = fill(demands)
      const fair = computeFairShares(demands, CAPACITY)
      const total = [...got.values()].reduce((sum, amount) => sum + amount, 0)
      const wanted = demands.reduce((sum, { count }) => sum + count * size, 0)
      expect(total).to.be.at.least(Math.min(wanted, CAPACITY - size + 1))
      for (const { workspace, weight } of demands) {
        const share = got.get(workspace) as number
        // What no task fits into is shared out as well by the oracle.
        const rest = (CAPACITY % size) * weight / demands.reduce((sum, demand) => sum + demand.weight, 0)
        expect(share, `${workspace} of ${JSON.stringify(demands)}`).to.be.at.least((fair.get(workspace) as number) - size - Math.max(rest, size))
      }
    }), { numRuns: 300 })
  })

  it('brings all workspaces with work waiting to their weights within a task, from any mix of runs', () => {
    const arbitrary = fc.array(fc.record({ weight: fc.integer({ min: 1, max: 9 }), used: fc.integer({ min: 0, max: 30 }) }), { minLength: 2, maxLength: 6 })
    fc.assert(fc.property(arbitrary, fc.infiniteStream(fc.nat()), (drawn, draws) => {
      const demands = drawn.map(({ weight }, i) => ({ weight, workspace: `w${i}`, count: 10_000, size: 1 }))
      const capacity = 200
      let used = fill(demands, capacity, new Map(drawn.map(({ used }, i) => [`w${i}`, used])))
      // One task of a random run ends at a time, as on a pool where all tasks take equally long.
      for (let i = 0; i < 3000; i++) {
        let pick = (draws.next().value as number) % capacity
        for (const [workspace, amount] of used) {
          if (pick < amount) {
            used.set(workspace, amount - 1)
            break
          }
          pick -= amount
        }
        used = fill(demands, capacity, used)
      }
      const totalWeight = demands.reduce((sum, { weight }) => sum + weight, 0)
      for (const { workspace, weight } of demands) expect(Math.abs((used.get(workspace) as number) - capacity * weight / totalWeight), workspace).to.be.at.most(1)
    }), { numRuns: 10 })
  })
})
