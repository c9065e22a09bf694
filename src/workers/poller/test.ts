import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { Metrics } from '../../metrics/index.js'
import type { WorkerCalls, WorkerPollAnswer } from '../types.js'
import { WorkerPoller } from './index.js'

const BORN = 1
const REQUEST = { token: 7, acknowledgedSeq: 0, leaseEndMs: null, waitMs: 0 }

/** A poller whose polls are answered in the order that the test chooses. */
function createHarness () {
  const clock = new ManualClock()
  const answers: Array<(answer: WorkerPollAnswer) => void> = []
  const calls = { poll: () => new Promise((resolve) => { answers.push(resolve) }) } as unknown as WorkerCalls
  return { clock, answers, poller: new WorkerPoller(calls, { clock, metrics: new Metrics() }, BORN) }
}

const listedAt = (clockMs: number, born = BORN): WorkerPollAnswer => ({ refusal: null, clockMs, born, running: [], ended: [], hasMoreEnds: false })

describe('WorkerPoller', () => {
  it('tells apart the worker, its next incarnation and another worker', async () => {
    const { answers, poller } = createHarness()
    const results = [poller.poll(REQUEST), poller.poll(REQUEST), poller.poll(REQUEST)]
    answers[0]?.(listedAt(1))
    answers[1]?.(listedAt(1, BORN + 1))
    answers[2]?.({ refusal: 'wrongWorker' })
    expect((await Promise.all(results)).map(({ kind }) => kind)).to.deep.equal(['listed', 'reincarnated', 'wrongWorker'])
  })

  it('takes no lists from an answer that a newer one has overtaken', async () => {
    const { answers, poller } = createHarness()
    const first = poller.poll(REQUEST)
    const second = poller.poll(REQUEST)
    answers[1]?.(listedAt(20))
    expect((await second).kind).to.equal('listed')
    answers[0]?.(listedAt(10))
    expect(await first).to.deep.equal({ kind: 'overtaken' })
  })

  it('fails when the worker refuses the poll, which shows that it lives', async () => {
    const { clock, answers, poller } = createHarness()
    const refused = poller.poll(REQUEST)
    const pending = poller.poll(REQUEST)
    await clock.advance(500)
    answers[0]?.({ refusal: 'fenced' })
    expect(await refused.catch((err: Error) => err.message)).to.include('fenced')
    expect(poller.crashedBy).to.equal(Number.POSITIVE_INFINITY)
    answers[1]?.(listedAt(1))
    await pending
  })

  it('excludes the runs of earlier incarnations that its newest answer does not list, once it lists all ends', async () => {
    const { answers, poller } = createHarness()
    const [late, other] = ['00000000000000aa.0.0.0', '00000000000000aa.0.0.1'] as const
    const first = poller.poll(REQUEST)
    answers[0]?.({ ...listedAt(1), hasMoreEnds: true } as WorkerPollAnswer)
    await first
    expect(poller.excludesEarlier(other, 1)).to.equal(false)
    const second = poller.poll(REQUEST)
    answers[1]?.({ ...listedAt(2), running: [{ task: late, run: 1, checkpoint: '', percent: 0, load: null }] } as WorkerPollAnswer)
    await second
    expect([late, other].map((task) => poller.excludesEarlier(task, 1))).to.deep.equal([false, true])
    const third = poller.poll(REQUEST)
    answers[2]?.({ ...listedAt(3), ended: [{ seq: 1, task: late, run: 1, outcome: 'stopped', checkpoint: '' }] } as WorkerPollAnswer)
    await third
    expect(poller.excludesEarlier(late, 1)).to.equal(false)
    const fourth = poller.poll(REQUEST)
    answers[3]?.(listedAt(4))
    await fourth
    expect([late, other].map((task) => poller.excludesEarlier(task, 1))).to.deep.equal([true, true])
  })
})
