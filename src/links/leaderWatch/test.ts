import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import type { LeaderClient } from '../leaderClient/index.js'
import { LeaderWatch, MAX_PING_INTERVAL_MS, MAX_SILENCE_MS } from './index.js'

const REQUEST_INTERVAL_MS = 40
const WATCH_MS = 10_000

/** The watch looks at intervals, so that it may notice silence this much later. */
const CHECK_TOLERANCE_MS = 125

/** A client whose leader answers pings while it is up. */
function createHarness () {
  const clock = new ManualClock()
  const events: string[] = []
  const abortController = new AbortController()
  const client = {
    leader: 'a',
    lastAnswerAt: Number.NEGATIVE_INFINITY,
    waitingSince: Number.POSITIVE_INFINITY,
    isUp: true,
    pings: 0,
    ask: async (_req: unknown, deadline: number) => {
      client.pings += 1
      if (client.isUp) client.lastAnswerAt = clock.now()
      else await clock.sleep(deadline - clock.now())
      return client.isUp ? { kind: 'pong', members: [] } : { kind: 'unanswered', reason: 'silent' }
    }
  }
  const log = new EventLog('test', clock, { writableLength: 0, write: (text) => events.push((JSON.parse(text) as { event: string }).event) })
  void new LeaderWatch(client as unknown as LeaderClient, clock, log).run(abortController.signal)
  return { clock, client, events, abortController }
}

describe('LeaderWatch', () => {
  it('pings the leader once in each ping interval while no request waits for it', async () => {
    const { clock, client, events, abortController } = createHarness()
    await clock.advance(WATCH_MS)
    expect(client.pings).to.be.within(WATCH_MS / MAX_PING_INTERVAL_MS - 1, WATCH_MS / MAX_PING_INTERVAL_MS + 1)
    expect(events).to.deep.equal(['leader.reached'])
    abortController.abort()
  })

  it('pings the leader as soon as a request has waited for the time of silence', async () => {
    const { clock, client, abortController } = createHarness()
    await clock.advance(MAX_PING_INTERVAL_MS)
    const before = client.pings
    client.waitingSince = clock.now()
    await clock.advance(MAX_SILENCE_MS + CHECK_TOLERANCE_MS)
    expect(client.pings).to.equal(before + 1)
    abortController.abort()
  })

  it('adds no pings to a leader that answers other requests, but to refresh the members', async () => {
    const { clock, client, abortController } = createHarness()
    for (let at = 0; at < WATCH_MS; at += REQUEST_INTERVAL_MS) {
      client.lastAnswerAt = clock.now()
      await clock.advance(REQUEST_INTERVAL_MS)
    }
    expect(client.pings).to.be.within(1, WATCH_MS / MAX_PING_INTERVAL_MS + 1)
    abortController.abort()
  })

  it('reports a lost leader as soon after its last answer to another request as after a ping', async () => {
    const { clock, client, events, abortController } = createHarness()
    for (let at = 0; at < WATCH_MS; at += REQUEST_INTERVAL_MS) {
      client.lastAnswerAt = clock.now()
      await clock.advance(REQUEST_INTERVAL_MS)
    }
    client.isUp = false
    client.waitingSince = clock.now()
    await clock.advance(MAX_SILENCE_MS + 450 + CHECK_TOLERANCE_MS)
    expect(events).to.deep.equal(['leader.reached', 'leader.lost'])
    client.isUp = true
    await clock.advance(2 * MAX_SILENCE_MS)
    expect(events.at(-1)).to.equal('leader.reached')
    abortController.abort()
  })
})
