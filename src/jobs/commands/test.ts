import { expect } from 'chai'
import { parseRules, type Rules } from '../../contracts/rules/index.js'
import { FleetState } from '../../state/index.js'
import type { Command, CommandMap, CommandResult, CommandType } from '../../state/commands.js'
import type { Job } from '../../state/types.js'

const RULES = parseRules('services:\n  one: { pools: [a], budget: { maxDown: 2 } }\n', 'rules').rules as Rules
const VMS = ['vm0', 'vm1'].map((id) => ({ id, rack: 'r', zone: 'z', pool: 'a', cores: 8, memoryGb: 8, accelerators: 0 }))

/** A repeatable job that was lost with its VM and waits to run again. */
function createRequeuedJob () {
  const state = new FleetState()
  let index = 0
  const apply = <K extends CommandType>(type: K, input: CommandMap[K]['input']): CommandResult<K> => state.apply(++index, { type, at: index, ...input } as Command) as CommandResult<K>
  apply('applyConfig', { operation: 'first', expectedVersion: 0, by: 'test', summary: '', vms: VMS, rules: RULES })
  apply('setHealth', { changes: VMS.map(({ id }) => ({ vm: id, health: 'up' as const })) })
  const { job: id } = apply('submitJob', { key: 'k', team: 't', class: 'normal', service: 'one', label: '', payload: 'p', cores: 1, memoryGb: 1, accelerators: 0, runMs: 10, repeatable: true, checkpointable: false })
  const job = state.data.jobs.get(id) as Job
  const place = (vm: string): void => { apply('placeTasks', { placements: [{ job: id, vm, boot: 'b' }] }) }
  place('vm0')
  const { token } = job
  apply('revokeTasks', { jobs: [id], reason: 'its VM was lost' })
  apply('endRevocation', { jobs: [{ job: id, token }] })
  return { job, place, report: (state: 'done' | 'failed') => apply('reportTasks', { vm: 'vm0', reports: [{ job: id, token, state }] }) }
}

describe('reportTasks', () => {
  it('takes the late "done" of a job that waits to run again (task ran twice)', () => {
    const { job, report } = createRequeuedJob()
    expect(job.state).to.equal('queued')
    expect(report('done')).to.equal(1)
    expect(job.state).to.equal('done')
  })

  it('takes no report of a job that was never placed', () => {
    const state = new FleetState()
    const apply = (command: unknown, index: number): unknown => state.apply(index, command as Command)
    apply({ type: 'applyConfig', at: 1, operation: 'first', expectedVersion: 0, by: 'test', summary: '', vms: VMS, rules: RULES }, 1)
    apply({ type: 'submitJob', at: 2, key: 'k', team: 't', class: 'normal', service: 'one', label: '', payload: 'p', cores: 1, memoryGb: 1, accelerators: 0, runMs: 10, repeatable: true, checkpointable: false }, 2)
    expect(apply({ type: 'reportTasks', at: 3, vm: 'vm0', reports: [{ job: 'job-2', token: 0, state: 'done' }] }, 3)).to.equal(0)
  })

  it('takes no other late report of it, and none once it has been placed again', () => {
    const { job, place, report } = createRequeuedJob()
    expect(report('failed')).to.equal(0)
    expect(job.state).to.equal('queued')
    place('vm1')
    expect(report('done')).to.equal(0)
    expect(job).to.include({ state: 'placed', vm: 'vm1' })
  })
})
