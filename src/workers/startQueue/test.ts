import { expect } from 'chai'
import { StartQueue } from './index.js'

const JOB = '00000000000000aa'

/** A worker whose answers the test gives. */
class Answers {
  readonly sent: string[] = []
  readonly #answer = new Map<string, () => void>()

  send (task: string): () => Promise<void> {
    return () => {
      this.sent.push(task)
      return new Promise((resolve) => this.#answer.set(task, resolve))
    }
  }

  async answer (task: string): Promise<void> {
    this.#answer.get(task)?.()
    await pass()
  }
}

/** Lets everything run that waits for nothing. */
function pass (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}

describe('StartQueue', () => {
  it('has at most so many starts under way, and sends the next when one is answered', async () => {
    const answers = new Answers()
    const queue = new StartQueue(2, () => true)
    for (const task of ['a', 'b', 'c']) void queue.run(task, 1, answers.send(task))
    await pass()
    expect(answers.sent).to.deep.equal(['a', 'b'])
    await answers.answer('a')
    expect(answers.sent).to.deep.equal(['a', 'b', 'c'])
  })

  it('sends no start whose run is no longer wanted when its turn has come', async () => {
    const answers = new Answers()
    const unwanted = new Set<string>()
    const queue = new StartQueue(1, (task) => !unwanted.has(task))
    const results = ['a', 'b', 'c'].map((task) => queue.run(task, 1, answers.send(task)))
    unwanted.add('b')
    await pass()
    await answers.answer('a')
    expect(await results[1]).to.equal(false)
    expect(answers.sent).to.deep.equal(['a', 'c'])
  })

  it('waits for the starts of one job that are under way, and for no other', async () => {
    const answers = new Answers()
    const queue = new StartQueue(3, () => true)
    const task = `${JOB}.0.0.0`
    for (const other of [task, 'b']) void queue.run(other, 1, answers.send(other))
    await pass()
    let isSettled = false
    const settled = queue.settle(JOB).then(() => { isSettled = true })
    await pass()
    expect(isSettled).to.equal(false)
    await answers.answer(task)
    await settled
    expect(isSettled).to.equal(true)
  })
})
