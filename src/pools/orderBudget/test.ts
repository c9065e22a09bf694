import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { OrderBudget } from './index.js'

function takeAll (budget: OrderBudget): number {
  let taken = 0
  while (budget.take()) taken += 1
  return taken
}

describe('OrderBudget', () => {
  it('allows orders at its rate', async () => {
    const clock = new ManualClock()
    const budget = new OrderBudget(clock, 100, 200)
    let taken = 0
    for (let i = 0; i < 10; i++) {
      await clock.advance(100)
      taken += takeAll(budget)
    }
    expect(taken).to.equal(100)
  })

  it('makes up for unused orders for a limited time only', async () => {
    const clock = new ManualClock()
    const budget = new OrderBudget(clock, 100, 200)
    await clock.advance(5000)
    expect(takeAll(budget)).to.equal(20)
  })

  it('allows single orders at a rate below one for each check', async () => {
    const clock = new ManualClock()
    const budget = new OrderBudget(clock, 2, 200)
    let taken = 0
    for (let i = 0; i < 50; i++) {
      await clock.advance(100)
      taken += takeAll(budget)
    }
    expect(taken).to.equal(10)
  })
})
