import { expect } from 'chai'
import { StartQueue } from './index.js'

const JOB = '00000000000000aa'

/** A worker that answers a start only when the test says so. */
class ManualWorker {
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
    await flushPending()
  }
}

/** Runs all pending microtasks. */
function flushPending (): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve))
}

describe('StartQueue', () => {
  it('limits the starts in flight, and sends the next when one is answered', async () => {
    const worker = new ManualWorker()
    const queue = new StartQueue(2, () => true)
    for (const task of ['a', 'b', 'c']) void queue.run(task, 1, worker.send(task))
    await flushPending()
    expect(worker.sent).to.deep.equal(['a', 'b'])
    await worker.answer('a')
    expect(worker.sent).to.deep.equal(['a', 'b', 'c'])
  })

  it('drops a start whose run is no longer needed when its turn comes', async () => {
    const worker = new ManualWorker()
    const cancelled = new Set<string>()
    const queue = new StartQueue(1, (task) => !cancelled.has(task))
    const results = ['a', 'b', 'c'].map((task) => queue.run(task, 1, worker.send(task)))
    cancelled.add('b')
    await flushPending()
    await worker.answer('a')
    expect(await results[1]).to.equal(false)
    expect(worker.sent).to.deep.equal(['a', 'c'])
  })

  it('takes back the starts that must not be sent any more without waiting for their turn', async () => {
    const worker = new ManualWorker()
    const cancelled = new Set<string>()
    const queue = new StartQueue(1, (task) => !cancelled.has(task))
    const results = ['a', 'b', 'c'].map((task) => queue.run(task, 1, worker.send(task)))
    await flushPending()
    cancelled.add('b')
    queue.takeBack()
    expect(await results[1]).to.equal(false)
    await worker.answer('a')
    expect(worker.sent).to.deep.equal(['a', 'c'])
  })

  it('waits for the starts in flight of one job only', async () => {
    const worker = new ManualWorker()
    const queue = new StartQueue(3, () => true)
    const task = `${JOB}.0.0.0`
    for (const other of [task, 'b']) void queue.run(other, 1, worker.send(other))
    await flushPending()
    let isSettled = false
    const settled = queue.settle(JOB).then(() => { isSettled = true })
    await flushPending()
    expect(isSettled).to.equal(false)
    await worker.answer(task)
    await settled
    expect(isSettled).to.equal(true)
  })
})
