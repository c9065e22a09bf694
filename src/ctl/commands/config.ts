/** Commands about inventory and rules: check, apply, show, diff, history. */
import { randomUUID } from 'node:crypto'
import { readFileSync } from 'node:fs'
import type { Command } from 'commander'
import { formatFinding, hasError, type Finding } from '../../contracts/findings/index.js'
import { parseInventory, type InventoryVm } from '../../contracts/inventory/index.js'
import { parseRules, type Rules } from '../../contracts/rules/index.js'
import { checkFleet, type LocatePath } from '../../machines/checkFleet/index.js'
import { print, toTable } from '../print/index.js'
import { CommandError, EXIT_CODES, type CtlSession } from '../session/index.js'

interface FileOptions {
  readonly inventory?: string
  readonly rules?: string
}

interface LoadedFiles {
  readonly vms: readonly InventoryVm[] | null
  readonly rules: Rules | null
}

/**
 * Adds the commands about configuration.
 *
 * @param program - where they are added
 * @param session - opens the connection to control
 */
export function addConfigCommands (program: Command, session: () => CtlSession): void {
  program.command('check')
    .description('check inventory and rules without contacting control')
    .option('--inventory <file>', 'inventory from the asset register, CSV or JSON')
    .option('--rules <file>', 'rules, YAML')
    .action((options: FileOptions) => {
      loadFiles(options)
      print({ ok: true }, false, ['No errors were found.'])
    })

  program.command('apply')
    .description('submit inventory and rules; returns when they are in force everywhere')
    .option('--inventory <file>', 'inventory from the asset register, CSV or JSON')
    .option('--rules <file>', 'rules, YAML')
    .option('--expect <version>', 'version that this change is based on; by default the one in force')
    .option('--operation <id>', 'id of this change; a resend with it gets the first answer again')
    .action(async (options: FileOptions & { expect?: string, operation?: string }) => { await apply(options, session()) })

  program.command('show')
    .description('show the configuration in force')
    .action(async () => {
      const ctl = session()
      const config = await ctl.call((calls, signal) => calls.show.mutate({}, { signal }))
      print(config, ctl.isJson, [`version ${config.version}`, '', ...toTable(config.vms), '', JSON.stringify(config.rules, null, 2)])
    })

  program.command('diff')
    .description('show what applying files would change')
    .option('--inventory <file>', 'inventory from the asset register, CSV or JSON')
    .option('--rules <file>', 'rules, YAML')
    .action(async (options: FileOptions) => { await diff(options, session()) })

  program.command('history')
    .description('list the accepted changes')
    .action(async () => {
      const ctl = session()
      const items = await ctl.call((calls, signal) => calls.history.mutate({}, { signal }))
      print(items, ctl.isJson, toTable(items.map(({ version, at, by, operation, summary }) => ({ version, at: new Date(at).toISOString(), by, operation, summary }))))
    })
}

async function apply (options: FileOptions & { expect?: string, operation?: string }, ctl: CtlSession): Promise<void> {
  const { vms, rules } = loadFiles(options)
  const expectedVersion = options.expect === undefined
    ? (await ctl.call((calls, signal) => calls.show.mutate({}, { signal }))).version
    : Number(options.expect)
  if (!Number.isInteger(expectedVersion)) throw new CommandError(`--expect: "${options.expect ?? ''}" is no version`, EXIT_CODES.badInput)
  const operation = options.operation ?? randomUUID()
  const summary = [options.inventory === undefined ? '' : `inventory of ${vms?.length ?? 0} VMs`, options.rules === undefined ? '' : 'rules'].filter((part) => part !== '').join(' and ')
  const input = { operation, expectedVersion, by: ctl.operator, summary, vms: vms === null ? null : [...vms], rules }
  const result = await ctl.call((calls, signal) => calls.applyConfig.mutate(input, { signal }))
  if (result.status === 'conflict') {
    throw new CommandError(`Conflict: version ${expectedVersion} was expected, but version ${result.version} is in force; it came from ${result.winner}.`, EXIT_CODES.conflict)
  }
  const fenced = result.inForce?.fenced ?? []
  const lines = [`Version ${result.version} is in force at ${result.inForce?.acknowledged.length ?? 0} entries.`]
  if (fenced.length > 0) lines.push(`Fenced, since they did not acknowledge it: ${fenced.join(', ')}.`)
  print(result, ctl.isJson, [...result.warnings, ...lines])
}

async function diff (options: FileOptions, ctl: CtlSession): Promise<void> {
  const { vms, rules } = loadFiles(options)
  const shown = await ctl.call((calls, signal) => calls.show.mutate({}, { signal }))
  const lines: string[] = []
  if (vms !== null) lines.push(...diffInventory(shown.vms, vms))
  if (rules !== null && JSON.stringify(rules) !== JSON.stringify(shown.rules)) lines.push(...diffRules(shown.rules, rules))
  print(lines, ctl.isJson, lines.length === 0 ? ['Nothing would change.'] : lines)
}

function diffInventory (current: ReadonlyArray<{ readonly id: string, readonly pool: string }>, next: readonly InventoryVm[]): string[] {
  const before = new Map(current.map((vm) => [vm.id, vm.pool]))
  const after = new Map(next.map((vm) => [vm.id, vm.pool]))
  const added = next.filter((vm) => !before.has(vm.id)).map((vm) => `+ VM ${vm.id} in pool ${vm.pool}`)
  const removed = current.filter((vm) => !after.has(vm.id)).map((vm) => `- VM ${vm.id} in pool ${vm.pool}`)
  const moved = next.filter((vm) => before.has(vm.id) && before.get(vm.id) !== vm.pool).map((vm) => `! VM ${vm.id} stays in pool ${before.get(vm.id) ?? ''}; use "oleanderctl move" to bring it to ${vm.pool}`)
  return [...added, ...removed, ...moved]
}

function diffRules (current: unknown, next: Rules): string[] {
  const before = JSON.stringify(current, null, 2).split('\n')
  const after = JSON.stringify(next, null, 2).split('\n')
  const removed = before.filter((line) => !after.includes(line)).map((line) => `- ${line}`)
  const added = after.filter((line) => !before.includes(line)).map((line) => `+ ${line}`)
  return [...removed, ...added]
}

/** Reads and checks the files named, reporting all findings together. */
function loadFiles (options: FileOptions): LoadedFiles {
  if (options.inventory === undefined && options.rules === undefined) throw new CommandError('Name an inventory, rules or both.', EXIT_CODES.badInput)
  const inventory = options.inventory === undefined ? null : parseInventory(read(options.inventory), options.inventory)
  const rules = options.rules === undefined ? null : parseRules(read(options.rules), options.rules)
  const findings: Finding[] = [...inventory?.findings ?? [], ...rules?.findings ?? []]
  if (inventory?.vms != null && rules?.rules != null) findings.push(...checkFleet(rules.rules, inventory.vms, rules.place as LocatePath))
  for (const finding of findings) process.stderr.write(`${formatFinding(finding)}\n`)
  if (hasError(findings)) throw new CommandError(`${findings.filter((finding) => finding.severity === 'error').length} errors; nothing was applied.`, EXIT_CODES.badInput)
  return { vms: inventory?.vms ?? null, rules: rules?.rules ?? null }
}

function read (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (err) {
    throw new CommandError(`${path}: ${(err as Error).message}`, EXIT_CODES.badInput)
  }
}
