import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { RefusalLog } from './index.js'

describe('RefusalLog', () => {
  it('writes one line a second at most, with the number of calls since the last one', async () => {
    const clock = new ManualClock()
    const lines: Array<Record<string, unknown>> = []
    const refusals = new RefusalLog(clock, new EventLog('test', clock, { writableLength: 0, write: (line) => { lines.push(JSON.parse(line) as Record<string, unknown>) } }))
    for (let i = 0; i < 5; i++) refusals.record('cleanup', true)
    await clock.advance(1000)
    refusals.record('cleanup', false)
    expect(lines.map(({ event, count, reason }) => ({ event, count, reason }))).to.deep.equal([
      { event: 'calls.refused', count: 1, reason: 'the key is unknown' },
      { event: 'calls.refused', count: 5, reason: 'the call has no key' }
    ])
  })
})
