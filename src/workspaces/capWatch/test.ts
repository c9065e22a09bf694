import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { CapWatch } from './index.js'

function createWatch (): { readonly watch: CapWatch, readonly lines: string[] } {
  const lines: string[] = []
  const log = new EventLog('test', new ManualClock(), { writableLength: 0, write: (line) => { lines.push(/"event":"[^.]*\.(\w+)","workspace":"(\w+)"/.exec(line)?.slice(1).join(' ') ?? line) } })
  return { watch: new CapWatch(log), lines }
}

describe('CapWatch', () => {
  it('logs that a cap is reached, and that it is free once it has held nothing back for two seconds', () => {
    const { watch, lines } = createWatch()
    for (const [refused, now] of [[['a'], 0], [[], 1000], [['a'], 1900], [[], 3800], [[], 3900], [[], 9000]] as const) watch.observe(new Set(refused), now)
    expect(lines).to.deep.equal(['capReached a', 'capFree a'])
    expect([...watch.workspaces]).to.deep.equal([])
  })

  it('writes at most ten lines a second, and no end of what it did not log', () => {
    const { watch, lines } = createWatch()
    watch.observe(new Set(Array.from({ length: 43 }, (_, i) => `w${i}`)), 0)
    expect(lines).to.have.length(10)
    for (let now = 5000; now < 60_000; now += 1000) watch.observe(new Set(), now)
    expect(lines.filter((line) => line.startsWith('capFree'))).to.have.length(10)
  })
})
