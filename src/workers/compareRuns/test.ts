import { expect } from 'chai'
import type { EndedRun, RunningTask } from '../../batch/types.js'
import { compareRuns } from './index.js'

const running = (task: string, run = 1): RunningTask => ({ task, run, checkpoint: '', percent: 10, load: null })
const ended = (seq: number, task: string, run = 1): EndedRun => ({ seq, task, run, outcome: 'done', checkpoint: '' })

describe('compareRuns', () => {
  it('tells confirmed, unknown and missing runs apart', () => {
    const expected = new Map([['a', { run: 1 }], ['b', { run: 2 }], ['c', { run: 1 }], ['d', { run: 1 }]])
    const { confirmed, unknown, missing } = compareRuns(expected, { running: [running('a'), running('b', 1), running('e')], ended: [ended(1, 'c')], hasMoreEnds: false })
    expect(confirmed.map(({ task }) => task)).to.deep.equal(['a'])
    expect(unknown.map(({ task }) => task)).to.deep.equal(['b', 'e'])
    expect(missing).to.deep.equal([{ task: 'b', run: 2 }, { task: 'd', run: 1 }])
  })

  it('takes no run for missing while the worker has more ends than it lists (TWICE)', () => {
    const expected = new Map([['a', { run: 1 }], ['b', { run: 1 }]])
    expect(compareRuns(expected, { running: [], ended: [ended(1, 'a')], hasMoreEnds: true }).missing).to.deep.equal([])
    expect(compareRuns(expected, { running: [], ended: [ended(1, 'a')], hasMoreEnds: false }).missing).to.deep.equal([{ task: 'b', run: 1 }])
  })
})
