import { expect } from 'chai'
import { classifyJob, orderJobs, type ActiveJob } from './index.js'

const NOW = 100_000

interface ActiveJobOptions { readonly remainingMs: number, readonly remainingWork: number, readonly onTimeIn?: number, readonly priority?: number, readonly isLasting?: boolean, readonly isBeyondRate?: boolean, readonly acceptedAt?: number }

function createActiveJob (id: string, { remainingMs, remainingWork, onTimeIn = 3000, priority = 0, isLasting = false, isBeyondRate = false, acceptedAt = NOW }: ActiveJobOptions): ActiveJob {
  const forecast = { criticalPathMs: remainingMs, remainingCriticalPathMs: remainingMs, work: remainingWork, remainingWork, onTimeUntil: NOW + onTimeIn, lateUntil: NOW + onTimeIn + 6000 }
  return { id, priority, isLasting, isBeyondRate, acceptedAt, forecast, meanWork: 10_000 }
}

const orderOf = (jobs: readonly ActiveJob[]): string[] => orderJobs(jobs, NOW).map(({ id }) => id)

describe('orderJobs', () => {
  it('classifies jobs as on time, late or overdue', () => {
    expect(classifyJob(createActiveJob('a', { remainingMs: 3000, remainingWork: 1 }), NOW)).to.equal('onTime')
    expect(classifyJob(createActiveJob('a', { remainingMs: 3001, remainingWork: 1 }), NOW)).to.equal('late')
    expect(classifyJob(createActiveJob('a', { remainingMs: 9001, remainingWork: 1 }), NOW)).to.equal('overdue')
    expect(classifyJob(createActiveJob('a', { remainingMs: 9001, remainingWork: 1, isLasting: true }), NOW)).to.equal('longRunning')
  })

  it('puts long-running tasks first, and jobs that can be on time before late ones', () => {
    const late = createActiveJob('late', { remainingMs: 4000, remainingWork: 10 })
    const onTime = createActiveJob('onTime', { remainingMs: 1000, remainingWork: 90_000 })
    const longRunning = createActiveJob('longRunning', { remainingMs: 0, remainingWork: 0, isLasting: true })
    expect(orderOf([late, onTime, longRunning])).to.deep.equal(['longRunning', 'onTime', 'late'])
  })

  it('puts the job with the highest value per remaining work first', () => {
    const small = createActiveJob('small', { remainingMs: 500, remainingWork: 1000 })
    const large = createActiveJob('large', { remainingMs: 500, remainingWork: 50_000 })
    expect(orderOf([large, small])).to.deep.equal(['small', 'large'])
  })

  it('orders jobs of the same class by priority', () => {
    const second = createActiveJob('second', { remainingMs: 500, remainingWork: 10, priority: 1 })
    const first = createActiveJob('first', { remainingMs: 500, remainingWork: 50_000 })
    expect(orderOf([second, first])).to.deep.equal(['first', 'second'])
  })

  it('orders overdue jobs by age regardless of priority, so that none starves', () => {
    const old = createActiveJob('old', { remainingMs: 20_000, remainingWork: 50_000, priority: 1, acceptedAt: NOW - 9000 })
    const young = createActiveJob('young', { remainingMs: 20_000, remainingWork: 10, acceptedAt: NOW - 1000 })
    expect(orderOf([young, old])).to.deep.equal(['old', 'young'])
  })

  it('puts jobs beyond the rate of their workspace behind late ones, those that can be on time first, and before overdue ones', () => {
    const late = createActiveJob('late', { remainingMs: 4000, remainingWork: 90_000 })
    const beyond = createActiveJob('beyond', { remainingMs: 500, remainingWork: 50_000, isBeyondRate: true })
    const lateBeyond = createActiveJob('lateBeyond', { remainingMs: 4000, remainingWork: 10, isBeyondRate: true })
    const overdue = createActiveJob('overdue', { remainingMs: 20_000, remainingWork: 10, acceptedAt: NOW - 5000 })
    expect(orderOf([overdue, lateBeyond, beyond, late])).to.deep.equal(['late', 'beyond', 'lateBeyond', 'overdue'])
  })

  it('orders overdue jobs by age whether they are beyond the rate or not, so that none starves', () => {
    const old = createActiveJob('old', { remainingMs: 20_000, remainingWork: 50_000, isBeyondRate: true, acceptedAt: NOW - 9000 })
    const young = createActiveJob('young', { remainingMs: 20_000, remainingWork: 10, acceptedAt: NOW - 1000 })
    expect(orderOf([young, old])).to.deep.equal(['old', 'young'])
  })

  it('puts long-running tasks first also when their job is beyond the rate of its workspace (LOST)', () => {
    const longRunning = createActiveJob('longRunning', { remainingMs: 0, remainingWork: 0, isLasting: true, isBeyondRate: true })
    expect(orderOf([createActiveJob('onTime', { remainingMs: 1000, remainingWork: 10 }), longRunning])).to.deep.equal(['longRunning', 'onTime'])
  })
})
