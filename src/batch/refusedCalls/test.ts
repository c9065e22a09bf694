import { expect } from 'chai'
import { RefusedCalls } from './index.js'

const JOB = { service: 'booth', excessMs: 500, serviceMs: 400 }

describe('RefusedCalls', () => {
  it('sends callers back in order, as fast as the machines can serve them, and not within a second', () => {
    const calls = new RefusedCalls()
    expect(['a', 'b', 'c', 'd'].map((id) => calls.add(id, JOB, 0))).to.deep.equal([1000, 1000, 1300, 1700])
  })

  it('gives each service turns of its own, and lets turns that have passed go', () => {
    const calls = new RefusedCalls()
    for (let i = 0; i < 5; i++) calls.add(`a${i}`, JOB, 0)
    expect(calls.add('b', { ...JOB, service: 'desk' }, 0)).to.equal(1000)
    expect(calls.add('c', JOB, 8000)).to.equal(1000)
  })

  it('never names a time beyond ten seconds', () => {
    const calls = new RefusedCalls()
    const times = Array.from({ length: 100 }, (_, i) => calls.add(`a${i}`, JOB, 0))
    expect(Math.max(...times)).to.equal(10_000)
  })

  it('tells for how long a job has been refused, from its first refusal on', () => {
    const calls = new RefusedCalls()
    calls.add('a', JOB, 100)
    calls.add('a', JOB, 900)
    expect(calls.ageOf('a', 1100)).to.equal(1000)
    expect(calls.ageOf('b', 1100)).to.equal(0)
    expect([calls.has('a'), calls.has('b')]).to.deep.equal([true, false])
  })

  it('forgets jobs after some seconds, and keeps a limited number', () => {
    const calls = new RefusedCalls()
    for (let i = 0; i < 12_000; i++) calls.add(`a${i}`, JOB, 0)
    expect(calls.size).to.equal(10_000)
    calls.add('b', JOB, 5000)
    expect(calls.size).to.equal(1)
  })
})
