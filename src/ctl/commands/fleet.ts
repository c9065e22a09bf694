/** Commands for the fleet: waves, moves, jobs, explanations. */
import { randomUUID } from 'node:crypto'
import type { Command } from 'commander'
import { EXPLAIN_KINDS, type ExplainKind } from '../../control/explain/index.js'
import type { JobSelector } from '../../state/commands.js'
import type { WaveSelector } from '../../waves/plan/index.js'
import { print, toTable } from '../print/index.js'
import { CommandError, EXIT_CODES, type CtlSession } from '../session/index.js'

const WAVE_STATES = { pause: 'paused', resume: 'running', abort: 'aborted' } as const

interface SelectionOptions {
  readonly pool?: string
  readonly zone?: string
  readonly rack?: string
  readonly vm?: string
  readonly olderThanDays?: string
  readonly operation?: string
}

interface JobOptions {
  readonly id?: string
  readonly team?: string
  readonly class?: string
  readonly label?: string
}

/**
 * Adds the commands for the fleet.
 *
 * @param program - program to extend
 * @param session - returns the session, which it opens at the first call
 */
export function addFleetCommands (program: Command, session: () => CtlSession): void {
  addWaveCommands(program, session)
  addJobCommands(program, session)

  program.command('move <vm> <pool>')
    .description('drain a VM and move it to another pool')
    .action(async (vm: string, toPool: string) => {
      const ctl = session()
      const message = await ctl.call((calls, signal) => calls.moveVm.mutate({ vm, toPool }, { signal }))
      print({ message }, ctl.isJson, [message])
    })

  program.command('explain <kind> <name>')
    .description(`explain the state of an object; kinds: ${EXPLAIN_KINDS.join(', ')}`)
    .action(async (kind: string, name: string) => {
      const known = EXPLAIN_KINDS.find((candidate) => candidate === kind)
      if (known === undefined) throw new CommandError(`<kind>: expected one of ${EXPLAIN_KINDS.join(', ')}, got "${kind}".`, EXIT_CODES.badInput)
      const ctl = session()
      const lines = await ctl.call((calls, signal) => calls.explain.mutate({ kind: known satisfies ExplainKind, name }, { signal }))
      print(lines, ctl.isJson, lines)
    })
}

function addWaveCommands (program: Command, session: () => CtlSession): void {
  const wave = program.command('wave').description('plan, start, pause, resume and abort maintenance waves')
  addSelectionOptions(wave.command('plan').description('show the order of VMs in a wave, its earliest end and what limits its speed'))
    .action(async (options: SelectionOptions) => {
      const ctl = session()
      const plan = await ctl.call((calls, signal) => calls.planWave.mutate(toWaveSelector(options), { signal }))
      const end = new Date(Date.now() + plan.boundMs).toISOString()
      print(plan, ctl.isJson, [`${plan.vms.length} VMs, in this order: ${plan.vms.join(', ')}.`, `Earliest end if it starts now: ${end}.`, `Limited by ${plan.limitedBy}.`])
    })
  addSelectionOptions(wave.command('start').description('start a wave').option('--operation <id>', 'idempotency key of this start: a repeated command with the same id starts no second wave'))
    .action(async (options: SelectionOptions) => {
      const ctl = session()
      const operation = options.operation ?? randomUUID()
      const started = await ctl.call((calls, signal) => calls.startWave.mutate({ operation, selector: toWaveSelector(options) }, { signal }))
      print(started, ctl.isJson, [`Started ${started.wave}.`])
    })
  for (const [name, state] of Object.entries(WAVE_STATES)) {
    wave.command(`${name} <wave>`)
      .description(`${name} a wave`)
      .action(async (id: string) => {
        const ctl = session()
        const result = await ctl.call((calls, signal) => calls.setWave.mutate({ wave: id, state }, { signal }))
        print({ result }, ctl.isJson, [result === 'changed' ? `Wave ${id} is ${state}.` : `Wave ${id} is unchanged.`])
      })
  }
  wave.command('status')
    .description('list waves')
    .action(async () => {
      const ctl = session()
      const waves = await ctl.call((calls, signal) => calls.waves.mutate({}, { signal }))
      print(waves, ctl.isJson, toTable(waves.map(({ id, state, reason, pending, active, done }) => ({ wave: id, state, reason, pending: pending.length, active: active.length, done: done.length }))))
    })
}

function addJobCommands (program: Command, session: () => CtlSession): void {
  const jobs = program.command('jobs').description('list and cancel jobs')
  addJobSelectionOptions(jobs.command('list').description('list jobs'))
    .action(async (options: JobOptions) => {
      const ctl = session()
      const found = await ctl.call((calls, signal) => calls.jobs.mutate({ selector: toJobSelector(options), most: 1000 }, { signal }))
      print(found, ctl.isJson, toTable(found.map(({ id, team, class: workClass, state, vm, reason }) => ({ job: id, team, class: workClass, state, vm, reason }))))
    })
  addJobSelectionOptions(jobs.command('cancel').description('cancel all jobs that match'))
    .action(async (options: JobOptions) => {
      const selector = toJobSelector(options)
      if (Object.keys(selector).length === 0) throw new CommandError('Expected at least one of --id, --team, --class and --label.', EXIT_CODES.badInput)
      const ctl = session()
      const operation = randomUUID()
      const result = await ctl.call((calls, signal) => calls.stopJobs.mutate({ operation, selector }, { signal }))
      print(result, ctl.isJson, [`Cancelled ${result.cancelled} jobs.`])
    })
}

function addSelectionOptions (command: Command): Command {
  return command
    .option('--pool <pool>', 'only VMs of this pool')
    .option('--zone <zone>', 'only VMs of this availability zone')
    .option('--rack <rack>', 'only VMs of this rack')
    .option('--vm <vm>', 'only this VM')
    .option('--older-than-days <days>', 'only VMs whose last maintenance was at least this many days ago')
}

function addJobSelectionOptions (command: Command): Command {
  return command
    .option('--id <job>', 'only this job')
    .option('--team <team>', 'only jobs of this team')
    .option('--class <class>', 'only jobs of this class')
    .option('--label <label>', 'only jobs with this label')
}

function toWaveSelector ({ pool, zone, rack, vm, olderThanDays }: SelectionOptions): WaveSelector {
  const days = olderThanDays === undefined ? undefined : Number(olderThanDays)
  if (days !== undefined && !(days >= 0)) throw new CommandError(`--older-than-days: expected a non-negative number of days, got "${olderThanDays ?? ''}"`, EXIT_CODES.badInput)
  return omitUndefined({ pool, zone, rack, vm, olderThanDays: days })
}

function toJobSelector ({ id, team, class: workClass, label }: JobOptions): JobSelector {
  return omitUndefined({ id, team, class: workClass as JobSelector['class'], label })
}

function omitUndefined<T extends object> (value: T): { [K in keyof T]?: Exclude<T[K], undefined> } {
  return Object.fromEntries(Object.entries(value).filter(([, each]) => each !== undefined)) as never
}
