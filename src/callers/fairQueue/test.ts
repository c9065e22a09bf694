import { expect } from 'chai'
import type { WorkClass } from '../../contracts/types.js'
import { FairQueue, type QueueItem } from './index.js'

interface Item extends QueueItem {
  readonly name: number
}

describe('FairQueue', () => {
  const weights: Record<string, number> = { big: 3, small: 1, tiny: 0.25 }
  let queue: FairQueue<Item>
  let name: number

  beforeEach(() => {
    queue = new FairQueue((team) => weights[team] ?? 1)
    name = 0
  })

  function push (team: string, workClass: WorkClass, times = 1): void {
    for (let i = 0; i < times; i += 1) queue.push({ team, class: workClass, name: name++ })
  }

  function shiftItems (times: number): Item[] {
    return Array.from({ length: times }, () => queue.shift()).filter((item) => item !== undefined)
  }

  it('keeps the order of items within a team', () => {
    push('big', 'normal', 3)
    expect(shiftItems(3).map((item) => item.name)).to.deep.equal([0, 1, 2])
  })

  it('serves urgent items before normal ones, and those before bulk ones', () => {
    push('big', 'bulk')
    push('big', 'normal')
    push('small', 'urgent')
    expect(shiftItems(3).map((item) => item.class)).to.deep.equal(['urgent', 'normal', 'bulk'])
  })

  it('serves teams by weight', () => {
    push('big', 'normal', 100)
    push('small', 'normal', 100)
    const served = shiftItems(40).filter((item) => item.team === 'big').length
    expect(served).to.equal(30)
  })

  it('does not starve a team whose weight is below one', () => {
    push('small', 'normal', 100)
    push('tiny', 'normal', 100)
    const served = shiftItems(50).filter((item) => item.team === 'tiny').length
    expect(served).to.be.within(9, 11)
  })

  it('peeks at the item that the next shift returns', () => {
    push('big', 'normal', 5)
    push('small', 'normal', 5)
    for (let i = 0; i < 10; i += 1) expect(queue.peek()).to.equal(queue.shift())
    expect(queue.size).to.equal(0)
  })

  it('removes matching items from any position', () => {
    push('big', 'normal', 3)
    push('small', 'bulk', 2)
    expect(queue.removeWhere((item) => item.name % 2 === 1).map((item) => item.name)).to.deep.equal([1, 3])
    expect(queue.size).to.equal(3)
  })

  it('counts the items ahead of a new item of a class', () => {
    push('big', 'urgent', 2)
    push('big', 'bulk', 5)
    expect(queue.countAhead('urgent')).to.equal(2)
    expect(queue.countAhead('bulk')).to.equal(7)
  })
})
