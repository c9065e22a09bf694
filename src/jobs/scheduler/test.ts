import { expect } from 'chai'
import type { SessionContext } from '../../control/session/context.js'
import { parseRules, type Rules } from '../../contracts/rules/index.js'
import type { Command, CommandMap, CommandType } from '../../state/commands.js'
import { FleetState } from '../../state/index.js'
import type { Job } from '../../state/types.js'
import { SizeEstimator } from '../sizes/index.js'
import { JobScheduler } from './index.js'

const RULES = parseRules(`sparePool: spare
services:
  one: { pools: [a], budget: { maxDown: 1 } }
teams:
  heavy: { weight: 3 }
  light: { weight: 1 }
  bounded: { quota: { cores: 2 } }
`, 'rules').rules as Rules

const VMS = ['a', 'a', 'a', 'spare'].map((pool, order) => ({ id: `vm${order}`, rack: `r${order % 2}`, zone: 'z', pool, cores: 8, memoryGb: 8, accelerators: order === 0 ? 2 : 0 }))

describe('JobScheduler', () => {
  let state: FleetState
  let scheduler: JobScheduler
  let sizeEstimator: SizeEstimator
  let index: number

  function apply<K extends CommandType> (type: K, input: CommandMap[K]['input']): unknown {
    return state.apply(++index, { type, at: index, ...input } as Command)
  }

  beforeEach(() => {
    state = new FleetState()
    index = 0
    apply('applyConfig', { operation: 'o', expectedVersion: 0, by: 't', summary: '', vms: VMS, rules: RULES })
    apply('setHealth', { changes: VMS.map((vm) => ({ vm: vm.id, health: 'up' as const })) })
    sizeEstimator = new SizeEstimator()
    const context = { endpoints: { find: () => ({ record: { boot: 'b' } }) }, data: () => state.data, propose: (type: CommandType, input: never) => Promise.resolve(apply(type, input)) }
    scheduler = new JobScheduler(context as unknown as SessionContext, sizeEstimator)
  })

  function submit (fields: Partial<CommandMap['submitJob']['input']> = {}): string {
    const job = { key: `k${index}`, service: 'one', team: 'heavy', class: 'normal' as const, cores: 1, memoryGb: 1, accelerators: 0, runMs: 10, repeatable: true, checkpointable: true, label: '', payload: null, ...fields }
    return (apply('submitJob', job) as { job: string }).job
  }

  function vmOf (job: string): string | null | undefined {
    return state.data.jobs.get(job)?.vm
  }

  it('uses the spare pool only when the service\'s own VMs are full', async () => {
    const jobs = Array.from({ length: 4 }, () => submit({ cores: 8 }))
    await scheduler.plan()
    expect(jobs.map(vmOf).sort()).to.deep.equal(['vm0', 'vm1', 'vm2', 'vm3'])
    expect(vmOf(jobs[3] ?? '')).to.equal('vm3')
  })

  it('keeps accelerators for jobs that need them', async () => {
    const plain = submit({ cores: 8 })
    const special = submit({ accelerators: 2 })
    await scheduler.plan()
    expect(vmOf(plain)).not.to.equal('vm0')
    expect(vmOf(special)).to.equal('vm0')
  })

  it('shares capacity between teams by weight', async () => {
    const jobs = ['heavy', 'light'].flatMap((team) => Array.from({ length: 32 }, () => submit({ team })))
    await scheduler.plan()
    const placed = jobs.filter((job) => vmOf(job) !== null)
    const heavy = placed.filter((job) => state.data.jobs.get(job)?.team === 'heavy')
    expect([placed.length, heavy.length]).to.deep.equal([32, 24])
  })

  it('keeps a team within its quota', async () => {
    const jobs = Array.from({ length: 5 }, () => submit({ team: 'bounded' }))
    await scheduler.plan()
    expect(jobs.filter((job) => vmOf(job) !== null)).to.have.length(2)
  })

  it('checkpoints a task of a lower class when no VM has capacity for an urgent job', async () => {
    for (let i = 0; i < 4; i += 1) submit({ cores: 8, class: 'bulk' })
    await scheduler.plan()
    submit({ cores: 2, class: 'urgent' })
    await scheduler.plan()
    const checkpointing = [...state.data.vms.values()].flatMap((vm) => [...vm.tasks.values()]).filter((task) => task.action === 'checkpoint')
    expect(checkpointing).to.have.length(1)
  })

  it('places jobs by their estimated size after enough observations', async () => {
    const declared = submit({ cores: 8 })
    const job = state.data.jobs.get(declared) as Job
    for (let i = 0; i < 30; i += 1) sizeEstimator.observe(job, { cores: 2, memoryGb: 0.5, ranMs: 10 }, true)
    const others = Array.from({ length: 3 }, () => submit({ cores: 8 }))
    await scheduler.plan()
    expect(new Set([declared, ...others].map(vmOf)).has('vm3')).to.equal(false)
  })

  it('places no job on a draining VM', async () => {
    apply('startDrain', { vms: ['vm0'], purpose: { kind: 'move', toPool: 'spare' } })
    const jobs = Array.from({ length: 30 }, () => submit())
    await scheduler.plan()
    expect(jobs.map(vmOf)).not.to.include('vm0')
  })
})
