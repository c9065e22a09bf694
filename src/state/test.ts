import { expect } from 'chai'
import fc from 'fast-check'
import { parseRules, type Rules } from '../contracts/rules/index.js'
import { measureBudgets } from '../machines/budget/index.js'
import type { Command, CommandMap, CommandResult, CommandType } from './commands.js'
import { FleetState } from './index.js'
import type { TaskReport } from '../contracts/types.js'
import type { JobState } from './types.js'

const RUNS = Number(process.env['FUZZ_RUNS'] ?? 200)
const SEED = Number(process.env['SEED'] ?? 11)

const RULES = parseRules(`sparePool: spare
services:
  one: { pools: [a], budget: { maxDown: 2, maxDownPerZone: 1 } }
  two: { pools: [b], budget: { maxDown: 50% } }
`, 'rules').rules as Rules

const VMS = Array.from({ length: 12 }, (_each, order) => ({
  id: `vm${order}`, rack: `r${order % 4}`, zone: `z${order % 3}`, pool: ['a', 'b', 'spare'][order % 3] ?? '', cores: 8, memoryGb: 8, accelerators: 0
}))

class StateDriver {
  readonly state = new FleetState()
  readonly submitted = new Set<string>()
  readonly placements = new Map<string, number>()
  index = 0
  now = 1000

  constructor () {
    this.apply('applyConfig', { operation: 'first', expectedVersion: 0, by: 'test', summary: '', vms: VMS, rules: RULES })
    this.apply('setHealth', { changes: VMS.map((vm) => ({ vm: vm.id, health: 'up' as const })) })
  }

  apply<K extends CommandType> (type: K, input: CommandMap[K]['input']): CommandResult<K> {
    this.index += 1
    this.now += 10
    return this.state.apply(this.index, { type, at: this.now, ...input } as Command) as CommandResult<K>
  }
}

const vmArbitrary = fc.nat(11).map((order) => `vm${order}`)
const jobOrderArbitrary = fc.nat(20)

type Action = (driver: StateDriver) => void

/** Returns the id of the n-th submitted job, modulo their number. */
function findJobId (driver: StateDriver, order: number): string {
  return [...driver.submitted][order % Math.max(1, driver.submitted.size)] ?? 'none'
}

const actions: fc.Arbitrary<Action> = fc.oneof(
  fc.record({ vms: fc.uniqueArray(vmArbitrary, { maxLength: 5 }), move: fc.boolean() }).map(({ vms, move }): Action => (driver) => { drain(driver, vms, move) }),
  vmArbitrary.map((id): Action => (driver) => { driver.apply('cancelDrain', { vms: [id] }) }),
  vmArbitrary.map((id): Action => (driver) => { driver.apply('startReboot', { vm: id, bootBefore: 'b' }) }),
  vmArbitrary.map((id): Action => (driver) => { driver.apply('finishDrain', { vm: id }) }),
  fc.record({ id: vmArbitrary, health: fc.constantFrom('up' as const, 'up' as const, 'lost' as const) }).map(({ id, health }): Action => (driver) => { driver.apply('setHealth', { changes: [{ vm: id, health }] }) }),
  fc.record({ key: fc.nat(20), repeatable: fc.boolean(), cores: fc.integer({ min: 1, max: 10 }) }).map(({ key, repeatable, cores }): Action => (driver) => { submit(driver, key, repeatable, cores) }),
  fc.record({ order: jobOrderArbitrary, id: vmArbitrary }).map(({ order, id }): Action => (driver) => { place(driver, findJobId(driver, order), id) }),
  fc.record({ order: jobOrderArbitrary, state: fc.constantFrom('running' as const, 'done' as const, 'failed' as const, 'checkpointed' as const, 'stopped' as const), stale: fc.boolean() }).map(({ order, state, stale }): Action => (driver) => { report(driver, findJobId(driver, order), state, stale) }),
  jobOrderArbitrary.map((order): Action => (driver) => { driver.apply('revokeTasks', { jobs: [findJobId(driver, order)], reason: 'test' }) }),
  jobOrderArbitrary.map((order): Action => (driver) => {
    const id = findJobId(driver, order)
    driver.apply('endRevocation', { jobs: [{ job: id, token: driver.state.data.jobs.get(id)?.token ?? 0 }] })
  }),
  jobOrderArbitrary.map((order): Action => (driver) => { driver.apply('cancelJobs', { operation: `c${driver.index}`, selector: { id: findJobId(driver, order) } }) }),
  fc.constant<Action>((driver) => {
    const before = driver.state.data
    driver.state.restore(driver.state.serialize())
    expect(driver.state.data).to.deep.equal(before)
  })
)

function drain (driver: StateDriver, vms: string[], move: boolean): void {
  const purpose = move ? { kind: 'move' as const, toPool: 'b' } : { kind: 'wave' as const, wave: 'w' }
  const { started } = driver.apply('startDrain', { vms, purpose })
  if (started.length === 0) return
  for (const use of measureBudgets(driver.state.data).values()) {
    const isAffected = started.some((id) => `pool ${driver.state.data.vms.get(id)?.pool ?? ''}` === use.name || RULES.services[use.name]?.pools.includes(driver.state.data.vms.get(id)?.pool ?? '') === true)
    // A VM that is already lost may be drained beyond the budget, since that takes no further VM down.
    const healthy = started.filter((id) => driver.state.data.vms.get(id)?.health === 'up')
    if (isAffected && healthy.length === started.length) expect(use.down, use.name).to.be.at.most(use.maxDown)
  }
}

function submit (driver: StateDriver, key: number, repeatable: boolean, cores: number): void {
  const first = driver.apply('submitJob', { key: `k${key}`, service: 'one', team: 't', class: 'normal', cores, memoryGb: 1, accelerators: 0, runMs: 10, repeatable, checkpointable: true, label: '', payload: null })
  const again = driver.apply('submitJob', { key: `k${key}`, service: 'one', team: 't', class: 'normal', cores, memoryGb: 1, accelerators: 0, runMs: 10, repeatable, checkpointable: true, label: '', payload: null })
  expect(again.job).to.equal(first.job)
  driver.submitted.add(first.job)
}

function place (driver: StateDriver, id: string, target: string): void {
  const placed = driver.apply('placeTasks', { placements: [{ job: id, vm: target, boot: 'b' }] })
  driver.placements.set(id, (driver.placements.get(id) ?? 0) + placed)
}

function report (driver: StateDriver, id: string, state: TaskReport['state'], isStale: boolean): void {
  const job = driver.state.data.jobs.get(id)
  const before = job?.state
  const accepted = driver.apply('reportTasks', { vm: job?.vm ?? 'vm0', reports: [{ job: id, token: (job?.token ?? 0) - (isStale ? 1 : 0), state }] })
  if (isStale) expect([accepted, driver.state.data.jobs.get(id)?.state]).to.deep.equal([0, before])
  // A checkpointed job resumes, so its next placement is not a repetition.
  if (state === 'checkpointed' && accepted === 1) driver.placements.set(id, 0)
}

const STATES_WITH_TASK: ReadonlySet<JobState> = new Set(['placed', 'running'])

function expectInvariants (driver: StateDriver): void {
  const { jobs, vms } = driver.state.data
  const vmsByJob = new Map<string, string[]>()
  for (const each of vms.values()) {
    expect(['a', 'b', 'spare']).to.include(each.pool)
    for (const id of each.tasks.keys()) vmsByJob.set(id, [...vmsByJob.get(id) ?? [], each.id])
  }
  for (const id of driver.submitted) {
    const job = jobs.get(id)
    expect(job, `${id} is missing from the state`).not.to.equal(undefined)
    const assignedVms = vmsByJob.get(id) ?? []
    expect(assignedVms, id).to.deep.equal(job !== undefined && STATES_WITH_TASK.has(job.state) ? [job.vm] : [])
    if (job?.repeatable === false) expect(driver.placements.get(id) ?? 0, `${id} ran again`).to.be.at.most(1)
  }
}

describe('fleet state', () => {
  it('fuzz: keeps each VM in one pool, the budgets, at most one task for each job, and every submitted job', () => {
    fc.assert(fc.property(fc.array(actions, { maxLength: 60, size: 'max' }), (sequence) => {
      const driver = new StateDriver()
      for (const action of sequence) {
        action(driver)
        expectInvariants(driver)
      }
    }), { numRuns: RUNS, seed: SEED })
  })

  it('accepts one of two changes with the same expected version, and names it in the conflict of the other', () => {
    const driver = new StateDriver()
    const change = (operation: string, by: string): CommandResult<'applyConfig'> => driver.apply('applyConfig', { operation, expectedVersion: 1, by, summary: '', vms: null, rules: RULES })
    expect(change('op-a', 'ana').status).to.equal('accepted')
    expect(change('op-b', 'ben')).to.deep.equal({ status: 'conflict', version: 2, winner: 'ana with operation op-a' })
    expect(change('op-a', 'ana')).to.include({ status: 'accepted', version: 2 })
    expect(change('op-b', 'ben').status).to.equal('conflict')
  })

  it('keeps the pool of a known VM when the inventory lists a different pool', () => {
    const driver = new StateDriver()
    driver.apply('applyConfig', { operation: 'x', expectedVersion: 1, by: 't', summary: '', rules: null, vms: VMS.map((each) => ({ ...each, pool: 'b' })) })
    expect(driver.state.data.vms.get('vm0')?.pool).to.equal('a')
  })

  it('pauses a wave when a VM fails that the wave has not stopped', () => {
    const driver = new StateDriver()
    const { wave } = driver.apply('startWave', { operation: 'w', vms: ['vm0', 'vm3'] })
    driver.apply('startDrain', { vms: ['vm0'], purpose: { kind: 'wave', wave } })
    driver.apply('startReboot', { vm: 'vm0', bootBefore: 'b' })
    driver.apply('setHealth', { changes: [{ vm: 'vm0', health: 'lost' }] })
    expect(driver.state.data.waves.get(wave)?.state).to.equal('running')
    driver.apply('setHealth', { changes: [{ vm: 'vm6', health: 'lost' }] })
    expect(driver.state.data.waves.get(wave)).to.include({ state: 'paused', reason: 'VM vm6 failed while the wave was under way' })
  })

  it('ends a wave when its last VM is removed from the inventory', () => {
    const driver = new StateDriver()
    const { wave } = driver.apply('startWave', { operation: 'w', vms: ['vm0', 'vm3'] })
    driver.apply('startDrain', { vms: ['vm0'], purpose: { kind: 'wave', wave } })
    driver.apply('startReboot', { vm: 'vm0', bootBefore: 'b' })
    driver.apply('applyConfig', { operation: 'x', expectedVersion: 1, by: 't', summary: '', rules: null, vms: VMS.filter((each) => each.id !== 'vm3') })
    expect(driver.state.data.waves.get(wave)).to.deep.include({ state: 'running', failed: ['vm3'] })
    driver.apply('applyConfig', { operation: 'y', expectedVersion: 2, by: 't', summary: '', rules: null, vms: VMS.slice(1, 3) })
    expect(driver.state.data.waves.get(wave)?.state).to.equal('done')
  })

  it('ends a wave that was paused at its last step', () => {
    const driver = new StateDriver()
    const { wave } = driver.apply('startWave', { operation: 'w', vms: ['vm0'] })
    driver.apply('startDrain', { vms: ['vm0'], purpose: { kind: 'wave', wave } })
    driver.apply('startReboot', { vm: 'vm0', bootBefore: 'b' })
    driver.apply('setWave', { wave, state: 'paused', reason: 'test' })
    driver.apply('finishDrain', { vm: 'vm0' })
    expect(driver.state.data.waves.get(wave)?.state).to.equal('done')
  })

  it('parks a job that fails on three VMs and quarantines a VM that fails three jobs', () => {
    const driver = new StateDriver()
    const fail = (id: string, target: string): void => {
      place(driver, id, target)
      report(driver, id, 'failed', false)
    }
    submit(driver, 1, true, 1)
    const [first = ''] = driver.submitted
    for (const target of ['vm0', 'vm3', 'vm6']) fail(first, target)
    expect(driver.state.data.jobs.get(first)?.state).to.equal('parked')
    for (const key of [2, 3]) {
      submit(driver, key, true, 1)
      fail([...driver.submitted].at(-1) ?? '', 'vm0')
    }
    expect(driver.state.data.vms.get('vm0')?.quarantinedUntil).to.be.greaterThan(driver.now)
  })
})
