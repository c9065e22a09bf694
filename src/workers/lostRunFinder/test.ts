import { expect } from 'chai'
import { createWorker } from '../../batch/fixtures/index.js'
import type { Millis } from '../../clock/index.js'
import { MAX_LASTING_WAIT_MS, SLOWEST_CLOCK_RATE } from '../constants.js'
import { createTerm } from '../fixtures/takenOverTerm.js'
import type { WorkerPollRequest } from '../types.js'

const ANSWER_MS = 5
/** Reading of the clock of the first incarnation when the test begins. */
const UPTIME_MS = 500_000

describe('runs of long-running tasks on silent workers', () => {
  /** A worker whose long polls get lost, which may have restarted by the time of a start, and is silent once one has reached it. */
  const createUnheardWorker = (maxLeaseMs: Millis) => {
    const worker = { born: 1, starts: 0 }
    const term = createTerm([createWorker('w')], null, (_record, clock) => {
      const fail = async (timeoutMs: Millis): Promise<never> => {
        await clock.sleep(timeoutMs)
        throw new Error('no answer')
      }
      return {
        poll: async ({ waitMs }: WorkerPollRequest, timeoutMs: number) => {
          if (worker.starts > 0 || waitMs > 0) return await fail(timeoutMs)
          await clock.sleep(ANSWER_MS)
          return { refusal: null, clockMs: (worker.born === 1 ? UPTIME_MS : 0) + clock.now(), born: worker.born, running: [], ended: [], hasMoreEnds: false }
        },
        start: async (_req, timeoutMs) => {
          worker.starts += 1
          return await fail(timeoutMs)
        }
      }
    }, 0, 0, { isLasting: true, maxLeaseMs })
    return { ...term, worker }
  }

  // The next incarnation took the start for its own and ran the task for the longest lease, while it was started elsewhere after 3 s.
  it('sends no start of a long-running task to a worker that has restarted unnoticed (TWICE, review case 8)', async () => {
    const { clock, start, sessionOf, worker, stop } = createUnheardWorker(6000)
    await clock.advance(300)
    worker.born = 2
    start('w@1')
    await clock.advance(1000)
    expect(worker.starts).to.equal(0)
    expect(sessionOf('w@1')).to.include({ isReincarnated: true, isLive: false })
    stop()
  })

  // It was freed with the lease on the clock of the earlier incarnation, after 3 s.
  it('frees a long-running task whose start was not answered after the longest lease that an unknown next incarnation can hold (TWICE)', async () => {
    const { clock, start, waitForLoss, worker, stop } = createUnheardWorker(6000)
    await clock.advance(300)
    start('w@1')
    expect(await waitForLoss('w@1', 30_000)).to.be.within(6000 / SLOWEST_CLOCK_RATE, MAX_LASTING_WAIT_MS + 200)
    expect(worker.starts).to.equal(1)
    stop()
  })

  it('frees a long-running task in time to run again within 7 s where workers allow longer leases (LOST)', async () => {
    const { clock, start, waitForLoss, stop } = createUnheardWorker(10_000)
    await clock.advance(300)
    start('w@1')
    expect(await waitForLoss('w@1', 30_000)).to.be.within(MAX_LASTING_WAIT_MS - 200, MAX_LASTING_WAIT_MS + 200)
    stop()
  })

  for (const { hasBegun, rule, range } of [
    { hasBegun: false, rule: 'waits for the longest lease when the earlier leader had not recorded that the run has begun (TWICE)', range: [6000 / SLOWEST_CLOCK_RATE, 7000] },
    { hasBegun: true, rule: 'waits for a lease only when it had (LOST)', range: [2000, 4000] }
  ] as const) {
    it(`frees a run of a worker that was lost with the leader: ${rule}`, async () => {
      const { waitForLoss, stop } = createTerm([createWorker('w')], 'w@1', (_record, clock) => ({
        poll: async (_req: WorkerPollRequest, timeoutMs: number) => {
          await clock.sleep(timeoutMs)
          throw new Error('no answer')
        }
      }), 500, 0, { isLasting: true, hasBegun, maxLeaseMs: 6000 })
      expect(await waitForLoss('w@1', 30_000)).to.be.within(range[0], range[1])
      stop()
    })
  }
})
