import { expect } from 'chai'
import { ManualClock, type Millis } from '../../clock/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { Metrics } from '../index.js'
import { LoadMonitor, LOOP_LAG_METRIC } from './index.js'

/** A clock whose timers fire late, as in a process whose event loop is busy. */
class LateClock extends ManualClock {
  latenessMs: Millis = 0

  override sleep (ms: Millis, signal?: AbortSignal): Promise<void> {
    return super.sleep(ms + this.latenessMs, signal)
  }
}

function createHarness () {
  const clock = new LateClock()
  const metrics = new Metrics()
  const lines: Array<Record<string, unknown>> = []
  const processor = { usedMs: 0 }
  const log = new EventLog('test', clock, { writableLength: 0, write: (text) => lines.push(JSON.parse(text) as Record<string, unknown>) })
  const abortController = new AbortController()
  void new LoadMonitor(clock, log, metrics, () => processor.usedMs).run(abortController.signal)
  return { clock, metrics, lines, processor, abortController }
}

describe('LoadMonitor', () => {
  it('logs nothing while timers fire on time', async () => {
    const { clock, lines, abortController } = createHarness()
    await clock.advance(5000)
    expect(lines).to.deep.equal([])
    abortController.abort()
  })

  it('logs the lag, the processor time and what was counted while timers fire late', async () => {
    const { clock, metrics, lines, processor, abortController } = createHarness()
    metrics.count('oleanderward_starts')
    await clock.advance(1000)
    clock.latenessMs = 60
    metrics.count('oleanderward_starts', {}, 30)
    processor.usedMs = 700
    await clock.advance(1300)
    expect(lines[0]).to.deep.include({ event: 'process.lagging', maxLagMs: 60, processorMs: 700, counts: { oleanderward_starts: 30 } })
    abortController.abort()
  })

  it('records each delay in a histogram', async () => {
    const { clock, metrics, abortController } = createHarness()
    clock.latenessMs = 25
    await clock.advance(3000)
    expect(metrics.render()).to.contain(`${LOOP_LAG_METRIC}_count 5`).and.to.contain(`${LOOP_LAG_METRIC}{quantile="0.5"} 25`)
    abortController.abort()
  })
})
