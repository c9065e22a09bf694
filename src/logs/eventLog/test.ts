import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { EventLog } from './index.js'

function createHarness () {
  const clock = new ManualClock()
  const sink = { writableLength: 0, lines: [] as Array<Record<string, unknown>>, write: (text: string) => { sink.lines.push(JSON.parse(text) as Record<string, unknown>) } }
  return { clock, sink, log: new EventLog('part', clock, sink) }
}

describe('EventLog', () => {
  it('writes one line per event with its component and fields', () => {
    const { sink, log } = createHarness()
    log.info('job.accepted', { job: 'a', config: 3 })
    expect(sink.lines[0]).to.include({ level: 'info', part: 'part', event: 'job.accepted', job: 'a', config: 3 })
  })

  it('drops lines beyond the rate limit of an event, and reports their number in its next line', async () => {
    const { clock, sink, log } = createHarness()
    for (let i = 0; i < 250; i++) log.info('run.ended')
    log.info('other')
    expect(sink.lines).to.have.length(201)
    await clock.advance(1000)
    log.info('run.ended')
    expect(sink.lines.at(-1)).to.include({ event: 'run.ended', dropped: 50 })
  })

  it('drops lines instead of blocking on a slow reader', () => {
    const { sink, log } = createHarness()
    sink.writableLength = 2 * 1024 * 1024
    log.info('run.ended')
    expect(sink.lines).to.deep.equal([])
  })
})
