import { expect } from 'chai'
import { PollGate, type LeaveGate, type PollPriority } from './index.js'

function createHarness (limit: number) {
  const gate = new PollGate(() => limit)
  const admitted: string[] = []
  const leave = new Map<string, LeaveGate>()
  const enter = (name: string, priority: PollPriority): void => {
    void gate.enter(priority).then((leaveGate) => {
      admitted.push(name)
      leave.set(name, leaveGate)
    })
  }
  const settle = (): Promise<void> => new Promise((resolve) => setImmediate(resolve))
  return { gate, admitted, leave, enter, settle }
}

describe('PollGate', () => {
  it('admits as many polls as may be in flight, and the next one when one is answered', async () => {
    const { admitted, leave, enter, settle } = createHarness(2)
    for (const name of ['a', 'b', 'c']) enter(name, 'idle')
    await settle()
    expect(admitted).to.deep.equal(['a', 'b'])
    leave.get('a')?.()
    await settle()
    expect(admitted).to.deep.equal(['a', 'b', 'c'])
  })

  it('admits workers with runs before idle ones, and both before retries', async () => {
    const { gate, admitted, leave, enter, settle } = createHarness(1)
    enter('first', 'idle')
    enter('retry', 'retry')
    enter('idle', 'idle')
    enter('busy', 'withRuns')
    await settle()
    expect(gate.hasWaitingFirstPolls).to.equal(true)
    for (const name of ['first', 'busy', 'idle', 'retry']) {
      leave.get(name)?.()
      await settle()
    }
    expect(admitted).to.deep.equal(['first', 'busy', 'idle', 'retry'])
    expect(gate.hasWaitingFirstPolls).to.equal(false)
  })

  it('leaves half of the polls to workers that have not failed', async () => {
    const { admitted, enter, settle } = createHarness(4)
    for (const name of ['r1', 'r2', 'r3', 'r4']) enter(name, 'retry')
    await settle()
    expect(admitted).to.deep.equal(['r1', 'r2'])
    for (const name of ['a', 'b', 'c']) enter(name, 'withRuns')
    await settle()
    expect(admitted).to.deep.equal(['r1', 'r2', 'a', 'b'])
  })
})
