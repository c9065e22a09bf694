import { expect } from 'chai'
import type { EndedRun } from '../../batch/types.js'
import { RunEndQueue } from './index.js'

const ended = (seq: number): EndedRun => ({ seq, task: `t.0.0.${seq}`, run: 1, outcome: 'done', checkpoint: '' })

describe('RunEndQueue', () => {
  it('takes each listed end once', () => {
    const queue = new RunEndQueue()
    expect(queue.takeNew([ended(1), ended(2)])).to.have.length(2)
    expect(queue.takeNew([ended(1), ended(2), ended(3)]).map(({ seq }) => seq)).to.deep.equal([3])
    expect(queue.take().listedSeq).to.equal(3)
  })

  it('takes the ends of an answer that does not list them in the order of their numbers', () => {
    const queue = new RunEndQueue()
    expect(queue.takeNew([ended(2), ended(1)]).map(({ seq }) => seq)).to.deep.equal([2, 1])
  })

  it('has uncommitted ends until all listed ones are acknowledged', () => {
    const queue = new RunEndQueue()
    expect(queue.hasUncommitted).to.equal(false)
    queue.takeNew([ended(4)])
    expect(queue.hasUncommitted).to.equal(true)
    queue.acknowledge(queue.take().listedSeq)
    expect(queue.hasUncommitted).to.equal(false)
    expect(queue.acknowledgedSeq).to.equal(4)
  })

  it('sends a number until the worker has received it, since it may mean other ends to the next incarnation (TWICE)', () => {
    const queue = new RunEndQueue()
    expect(queue.seqToSend).to.equal(0)
    queue.takeNew([ended(1), ended(2)])
    queue.acknowledge(queue.take().listedSeq)
    expect(queue.seqToSend).to.equal(2)
    expect(queue.seqToSend).to.equal(2)
    queue.recordReceived(2)
    expect(queue.seqToSend).to.equal(0)
    queue.takeNew([ended(3)])
    queue.acknowledge(queue.take().listedSeq)
    expect(queue.seqToSend).to.equal(3)
  })
})
