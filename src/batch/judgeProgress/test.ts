import { expect } from 'chai'
import { judgeProgress, type RunProgress } from './index.js'

function createRun (task: string, changes: Partial<RunProgress> = {}): RunProgress {
  return { task, stepKey: task, percent: 40, ranMs: 2000, unchangedMs: 100, expectedMs: 3000, ...changes }
}

describe('judgeProgress', () => {
  it('accepts a worker whose tasks make progress', () => {
    expect(judgeProgress([createRun('a'), createRun('b')])).to.deep.equal({ state: 'healthy', tasksToStop: [] })
  })

  it('detects a worker without any progress over two polls', () => {
    const assessment = judgeProgress([createRun('a', { unchangedMs: 1600 }), createRun('b', { unchangedMs: 1700, percent: 0 })])
    expect(assessment).to.deep.equal({ state: 'stalled', tasksToStop: ['a', 'b'] })
  })

  it('ignores a single stalled task when others on the worker make progress', () => {
    expect(judgeProgress([createRun('a', { unchangedMs: 1600 }), createRun('b')]).state).to.equal('healthy')
  })

  it('ignores runs that are too young and tasks that take minutes', () => {
    expect(judgeProgress([createRun('a', { ranMs: 1000, unchangedMs: 1000, percent: 0 })]).state).to.equal('healthy')
    expect(judgeProgress([createRun('a', { unchangedMs: 1900, percent: 1, expectedMs: 60_000 })]).state).to.equal('healthy')
  })

  it('detects a worker on which the tasks of several steps are slow, and lets runs continue that are far advanced', () => {
    const slow = { percent: 10, ranMs: 2000, expectedMs: 3000 }
    const assessment = judgeProgress([createRun('a', slow), createRun('b', slow), createRun('c', { percent: 70, ranMs: 9000, expectedMs: 3000 })])
    expect(assessment).to.deep.equal({ state: 'slow', tasksToStop: ['a', 'b'] })
  })

  it('does not blame a worker for the wrong estimate of a single step', () => {
    const slow = { stepKey: 's', percent: 10, ranMs: 2000, expectedMs: 3000 }
    expect(judgeProgress([createRun('a', slow), createRun('b', slow), createRun('c', slow)]).state).to.equal('healthy')
  })
})
