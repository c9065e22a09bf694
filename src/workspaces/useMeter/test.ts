import { expect } from 'chai'
import fc from 'fast-check'
import { NO_AMOUNTS } from '../amounts.js'
import { ShareRanking } from '../shareRanking/index.js'
import { WorkspaceUse } from '../workspaceUse/index.js'
import { UseMeter } from './index.js'

const STEP = { ...NO_AMOUNTS, cpu: 1000 }

const average = (meter: UseMeter): number => meter.sumQueues('a', () => true).cpu

describe('UseMeter', () => {
  it('begins with what is in use, and follows a change over ten seconds', () => {
    const meter = new UseMeter()
    const use = new WorkspaceUse()
    use.add('a', 'q', STEP)
    meter.observe(use, 0)
    expect(average(meter)).to.equal(1000)
    use.remove('a', 'q', STEP)
    meter.observe(use, 0)
    for (let now = 100; now <= 10_000; now += 100) meter.observe(use, now)
    expect(average(meter)).to.be.closeTo(368, 1)
    meter.observe(use, 500_000)
    expect(average(meter)).to.equal(0)
  })

  it('counts the queues that are asked for', () => {
    const meter = new UseMeter()
    const use = new WorkspaceUse()
    use.add('a', 'q', STEP)
    use.add('a', 'r', STEP)
    meter.observe(use, 0)
    expect(meter.sumQueues('a', (queue) => queue === 'q').cpu).to.equal(1000)
  })

  it('with the order by shares divides a full pool by the weights in the long run, whatever the run times', () => {
    const capacity = 40
    const arbitrary = fc.array(fc.record({ weight: fc.integer({ min: 1, max: 5 }), tookMs: fc.integer({ min: 2, max: 20 }) }), { minLength: 2, maxLength: 4 })
    fc.assert(fc.property(arbitrary, (drawn) => {
      const meter = new UseMeter()
      const use = new WorkspaceUse()
      const consumed = drawn.map(() => 0)
      let runs: Array<{ readonly i: number, readonly endsAt: number }> = []
      for (let now = 0; now < 60_000; now += 100) {
        for (const { i } of runs.filter(({ endsAt }) => endsAt <= now)) use.remove(`w${i}`, 'q', STEP)
        runs = runs.filter(({ endsAt }) => endsAt > now)
        meter.observe(use, now)
        const ranking = new ShareRanking<number>(drawn.map(({ weight }, i) => ({ workspace: `w${i}`, weight, use: use.getTotal(`w${i}`), average: meter.sumQueues(`w${i}`, () => true) })), { ...NO_AMOUNTS, cpu: capacity * 1000 }, () => STEP)
        const jobs = drawn.map((_, i) => ({ workspace: `w${i}`, groups: Array.from({ length: capacity }, () => i) }))
        for (const i of ranking.list(jobs)) {
          if (runs.length === capacity) break
          runs.push({ i, endsAt: now + (drawn[i]?.tookMs ?? 0) * 100 })
          use.add(`w${i}`, 'q', STEP)
          ranking.recordStart(`w${i}`, i)
        }
        meter.observe(use, now)
        for (const { i } of runs) consumed[i] = (consumed[i] ?? 0) + 1
      }
      const total = consumed.reduce((sum, amount) => sum + amount, 0)
      const totalWeight = drawn.reduce((sum, { weight }) => sum + weight, 0)
      // Within one task of the pool.
      drawn.forEach(({ weight }, i) => { expect(Math.abs((consumed[i] as number) / total - weight / totalWeight) * capacity, JSON.stringify(drawn)).to.be.at.most(1) })
    }), { numRuns: 15 })
  })
})
