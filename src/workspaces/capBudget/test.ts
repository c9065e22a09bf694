import { expect } from 'chai'
import fc from 'fast-check'
import type { Resources } from '../../batch/types.js'
import { NO_AMOUNTS, RESOURCE_NAMES } from '../amounts.js'
import { CapBudget, isWithinCap } from './index.js'

const cpu = (amount: number): Resources => ({ ...NO_AMOUNTS, cpu: amount })

function createBudget (cap: Resources, use: Resources = NO_AMOUNTS): CapBudget {
  return new CapBudget({ findWorkspace: (name) => name === 'a' ? { cap } : undefined, getUse: () => use })
}

describe('CapBudget', () => {
  it('allows a task that fills the cap exactly, and nothing more', () => {
    const budget = createBudget(cpu(10), cpu(6))
    expect(budget.allows('a', [cpu(4)])).to.equal(true)
    budget.take('a', [cpu(4)])
    expect(budget.allows('a', [cpu(1)])).to.equal(false)
    expect([...budget.refusedWorkspaces]).to.deep.equal(['a'])
  })

  it('has no limit on a resource whose cap is 0, and none without a workspace', () => {
    expect(createBudget(cpu(10)).allows('a', [{ cpu: 1, memory: 1e9, accelerators: 50 }])).to.equal(true)
    expect(createBudget(cpu(10), cpu(100)).allows('', [cpu(1000)])).to.equal(true)
  })

  it('allows a task larger than the cap, or than the rest of it, while at most half of the cap is in use', () => {
    expect(createBudget(cpu(10)).allows('a', [cpu(25)])).to.equal(true)
    expect(createBudget(cpu(10), cpu(5)).allows('a', [cpu(7)])).to.equal(true)
    expect(createBudget(cpu(10), cpu(6)).allows('a', [cpu(7)])).to.equal(false)
  })

  it('allows a gang when all of its members fit, or all but the largest', () => {
    expect(createBudget(cpu(10)).allows('a', [cpu(4), cpu(4)])).to.equal(true)
    expect(createBudget(cpu(10)).allows('a', [cpu(6), cpu(6)])).to.equal(true)
    expect(createBudget(cpu(10)).allows('a', [cpu(6), cpu(6), cpu(6)])).to.equal(false)
  })

  it('starts nothing above a cap that was cut, not even a task that needs none of the resource', () => {
    const budget = createBudget({ cpu: 10, memory: 5, accelerators: 0 }, { cpu: 2, memory: 9, accelerators: 0 })
    expect(budget.isExhausted('a')).to.equal(true)
    expect(budget.allows('a', [cpu(1)])).to.equal(false)
  })

  it('never exceeds the cap by more than one task, and is within it when no task is above half of it', () => {
    const resources = fc.record({ cpu: fc.integer({ min: 0, max: 20 }), memory: fc.integer({ min: 0, max: 20 }), accelerators: fc.integer({ min: 0, max: 3 }) })
    fc.assert(fc.property(resources, fc.array(fc.tuple(fc.array(resources, { minLength: 1, maxLength: 4 }), fc.boolean()), { maxLength: 60 }), (cap, events) => {
      const running: Resources[][] = []
      for (const [group, doesEnd] of events) {
        if (doesEnd) running.shift()
        const use = running.flat().reduce((sum, task) => ({ cpu: sum.cpu + task.cpu, memory: sum.memory + task.memory, accelerators: sum.accelerators + task.accelerators }), NO_AMOUNTS)
        const isAllowed = isWithinCap(cap, use, group)
        for (const name of RESOURCE_NAMES) {
          if (cap[name] === 0) continue
          const sum = group.reduce((total, task) => total + task[name], 0)
          const largest = Math.max(...group.map((task) => task[name]))
          if (isAllowed) expect(use[name] + sum, name).to.be.at.most(cap[name] + largest)
          if (isAllowed && group.length === 1 && RESOURCE_NAMES.every((other) => cap[other] === 0 || largestOf(group, other) <= cap[other] / 2)) expect(use[name] + sum, name).to.be.at.most(cap[name])
        }
        // Work conserving: what fits is allowed, and so is any single task of a workspace that uses less than half of its cap (LOST).
        const fits = RESOURCE_NAMES.every((name) => cap[name] === 0 || use[name] + group.reduce((total, task) => total + task[name], 0) <= cap[name])
        const isBelowHalf = RESOURCE_NAMES.every((name) => cap[name] === 0 || use[name] < cap[name] / 2)
        if (fits || (group.length === 1 && isBelowHalf)) expect(isAllowed).to.equal(true)
        if (isAllowed) running.push(group)
      }
    }), { numRuns: 300 })
  })
})

function largestOf (group: readonly Resources[], name: keyof Resources): number {
  return Math.max(...group.map((task) => task[name]))
}
