import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import type { SessionContext } from '../../control/session/context.js'
import { parseRules, type Rules } from '../../contracts/rules/index.js'
import type { Command, CommandMap, CommandType } from '../../state/commands.js'
import { FleetState } from '../../state/index.js'
import { MovePlanner } from './index.js'

const SLOTS = 8
const VMS = ['a', 'a', 'b', 'b', 'b', 'b', 'spare'].map((pool, index) => ({ id: `vm${index}`, rack: 'r', zone: 'z', pool, cores: 8, memoryGb: 8, accelerators: 0 }))

function rulesWith (moveWeight: number): Rules {
  return parseRules(`sparePool: spare
services:
  one: { pools: [a], budget: { maxDown: 1 } }
  two: { pools: [b], budget: { maxDown: 1 } }
policy: { idleVmWeight: 1, moveWeight: ${moveWeight}, sustainSeconds: 30 }
`, 'rules').rules as Rules
}

describe('MovePlanner', () => {
  let clock: ManualClock
  let state: FleetState
  let planner: MovePlanner
  let index: number

  function apply<K extends CommandType> (type: K, input: CommandMap[K]['input']): unknown {
    return state.apply(++index, { type, at: clock.now(), ...input } as Command)
  }

  function start (moveWeight: number): void {
    clock = new ManualClock()
    state = new FleetState()
    index = 0
    apply('applyConfig', { operation: 'o', expectedVersion: 0, by: 't', summary: '', vms: VMS, rules: rulesWith(moveWeight) })
    apply('setHealth', { changes: VMS.map((vm) => ({ vm: vm.id, health: 'up' as const })) })
    const context = {
      clock,
      data: () => state.data,
      endpoints: { find: () => ({ record: { slots: SLOTS } }) },
      log: { info: () => {} },
      propose: (type: CommandType, input: never) => Promise.resolve(apply(type, input))
    }
    planner = new MovePlanner(context as unknown as SessionContext)
  }

  async function runFor (seconds: number, busySlots: number): Promise<void> {
    for (let step = 0; step < seconds * 2; step += 1) {
      await clock.advance(500)
      planner.observe({ entry: 'e', changed: [], heard: [], tasks: [], demand: [{ service: 'one', arrived: 1, busyMs: busySlots * 500, waiting: 0 }] })
      await planner.plan()
    }
  }

  function moving (): string[] {
    return [...state.data.vms.values()].filter((vm) => vm.purpose?.kind === 'move').map((vm) => vm.id)
  }

  it('moves nothing for a short surge', async () => {
    start(1)
    await runFor(20, 2 * SLOTS)
    await runFor(30, 1)
    expect(moving()).to.deep.equal([])
  })

  it('moves one VM from the pool with free capacity after a sustained shift in demand', async () => {
    start(1)
    await runFor(60, 2 * SLOTS)
    expect(moving()).to.deep.equal(['vm2'])
  })

  it('waits longer when the weight of moves is higher', async () => {
    start(4)
    await runFor(60, 2 * SLOTS)
    expect(moving()).to.deep.equal([])
    await runFor(90, 2 * SLOTS)
    expect(moving()).to.deep.equal(['vm2'])
  })
})
