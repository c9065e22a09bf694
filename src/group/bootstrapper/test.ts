import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import type { Replica } from '../../consensus/replica/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import type { MsgpackLinks } from '../../links/msgpackLink/index.js'
import { GroupBootstrapper } from './index.js'

/** A process with an empty data folder, and the calls that it makes. */
function createHarness (seeds: () => readonly string[], silent: readonly string[] = []) {
  const clock = new ManualClock()
  const calls: string[] = []
  const links = {
    to: (address: string) => ({
      call: async (name: string, _input: unknown, timeoutMs: number) => {
        calls.push(`${name} ${address}`)
        if (silent.includes(address)) await clock.sleep(timeoutMs)
        throw new Error('not the leader')
      }
    })
  }
  const replica = { lastLeaderContactAt: Number.NEGATIVE_INFINITY, status: () => ({ instance: 'own-instance', lastIndex: 0, members: [] }) }
  const bootstrapper = new GroupBootstrapper({
    replica: replica as unknown as Replica,
    clock,
    links: links as unknown as MsgpackLinks,
    log: new EventLog('test', clock, { writableLength: 0, write: () => {} }),
    id: 'own',
    address: 'own:1',
    isFirstStart: false,
    seeds
  })
  const stop = new AbortController()
  void bootstrapper.run(stop.signal)
  return { clock, calls, stop }
}

describe('GroupBootstrapper', () => {
  it('asks the others again while one does not answer', async () => {
    const { clock, calls, stop } = createHarness(() => ['gone:1', 'alive:1'], ['gone:1'])
    await clock.advance(900)
    stop.abort()
    expect(calls.filter((call) => call === 'join alive:1').length).to.be.above(3)
    expect(calls.filter((call) => call === 'join gone:1').length).to.equal(1)
  })

  it('asks the seeds of changed settings, and never itself', async () => {
    let seeds = ['a:1', 'own:1']
    const { clock, calls, stop } = createHarness(() => seeds)
    await clock.advance(200)
    seeds = ['b:1']
    await clock.advance(1000)
    stop.abort()
    expect(calls.at(-1)).to.equal('join b:1')
    expect(calls).to.not.include('join own:1')
  })
})
