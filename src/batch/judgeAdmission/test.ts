import { expect } from 'chai'
import fc from 'fast-check'
import { judgeAdmission, type AdmissionInputs } from './index.js'

const IDLE: AdmissionInputs = { isOverloaded: true, slackMs: 1000, waitMs: 0, ownWaitMs: 0, usualSlackMs: 1500, isWithinRate: true, pendingCount: 0 }

const judge = (changes: Partial<AdmissionInputs>) => judgeAdmission({ ...IDLE, ...changes })

describe('judgeAdmission', () => {
  it('accepts a job that can be on time', () => {
    expect(judge({ waitMs: 1000, ownWaitMs: 1000 })).to.equal(null)
  })

  it('refuses a job that would wait too long to be on time', () => {
    expect(judge({ waitMs: 1001, ownWaitMs: 1001 })).to.equal('backlog')
  })

  it('accepts a job of a workspace that uses less than its share, however much others have waiting', () => {
    expect(judge({ waitMs: 9000, ownWaitMs: 400 })).to.equal(null)
  })

  it('accepts a job beyond the rate while there is room, and refuses it earlier than others', () => {
    expect(judge({ isWithinRate: false, waitMs: 500 })).to.equal(null)
    expect(judge({ isWithinRate: false, waitMs: 501 })).to.equal('rate')
    expect(judge({ isWithinRate: false, waitMs: 9000, ownWaitMs: 0 })).to.equal('rate')
  })

  it('accepts a job that is late anyway while nothing waits', () => {
    expect(judge({ slackMs: -500 })).to.equal(null)
    expect(judge({ slackMs: -500, waitMs: 1, ownWaitMs: 1 })).to.equal('backlog')
  })

  it('refuses a large job that may wait longer than others from the same queue on', () => {
    expect(judge({ slackMs: 9000, waitMs: 1500, ownWaitMs: 1500 })).to.equal(null)
    expect(judge({ slackMs: 9000, waitMs: 1501, ownWaitMs: 1501 })).to.equal('backlog')
  })

  it('refuses nothing for the queue while the machines can do what arrives, as when a demand that rises waits for machines that come', () => {
    expect(judge({ isOverloaded: false, waitMs: 9000, ownWaitMs: 9000 })).to.equal(null)
    expect(judge({ isOverloaded: false, waitMs: 9000, isWithinRate: false })).to.equal(null)
    expect(judge({ isOverloaded: false, pendingCount: 350 })).to.equal('leader')
  })

  it('refuses what the leader can\'t commit soon, first of workspaces beyond their rate', () => {
    expect(judge({ pendingCount: 200 })).to.equal(null)
    expect(judge({ pendingCount: 200, isWithinRate: false })).to.equal('leader')
    expect(judge({ pendingCount: 350 })).to.equal('leader')
  })

  it('refuses nobody within the rate while all can be on time, and nobody within it whom it would accept beyond it (property)', () => {
    const time = fc.integer({ min: 0, max: 10_000 })
    const inputs = fc.record({ isOverloaded: fc.boolean(), slackMs: time, waitMs: time, ownWaitMs: time, usualSlackMs: time, pendingCount: fc.nat(600) })
    fc.assert(fc.property(inputs, (each) => {
      const within = judgeAdmission({ ...each, isWithinRate: true })
      const beyond = judgeAdmission({ ...each, isWithinRate: false })
      if ((!each.isOverloaded || each.waitMs <= Math.min(each.slackMs, each.usualSlackMs)) && each.pendingCount < 350) expect(within).to.equal(null)
      if (within !== null) expect(beyond).to.not.equal(null)
    }), { seed: 42, numRuns: 500 })
  })
})
