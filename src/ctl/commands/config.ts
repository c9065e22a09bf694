/** Commands for inventory and rules: check, apply, show, diff, history. */
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
 * Adds the commands for the configuration.
 *
 * @param program - program to extend
 * @param session - returns the session, which it opens at the first call
 */
export function addConfigCommands (program: Command, session: () => CtlSession): void {
  program.command('check')
    .description('check inventory and rules without contacting control')
    .option('--inventory <file>', 'inventory from the asset register, as CSV or JSON')
    .option('--rules <file>', 'rules, as YAML')
    .action((options: FileOptions) => {
      loadFiles(options)
      print({ ok: true }, false, ['No errors were found.'])
    })

  program.command('apply')
    .description('submit inventory and rules, and wait until they are in force at all entries')
    .option('--inventory <file>', 'inventory from the asset register, as CSV or JSON')
    .option('--rules <file>', 'rules, as YAML')
    .option('--expect <version>', 'version that this change is based on; defaults to the version in force')
    .option('--operation <id>', 'idempotency key of this change: a repeated command with the same id gets the first answer again')
    .action(async (options: FileOptions & { expect?: string, operation?: string }) => { await apply(options, session()) })

  program.command('show')
    .description('show the configuration in force')
    .action(async () => {
      const ctl = session()
      const config = await ctl.call((calls, signal) => calls.show.mutate({}, { signal }))
      print(config, ctl.isJson, [`version ${config.version}`, '', ...toTable(config.vms), '', JSON.stringify(config.rules, null, 2)])
    })

  program.command('diff')
    .description('show what would change if the files were applied')
    .option('--inventory <file>', 'inventory from the asset register, as CSV or JSON')
    .option('--rules <file>', 'rules, as YAML')
    .action(async (options: FileOptions) => { await diff(options, session()) })

  program.command('history')
    .description('list the accepted changes of the configuration')
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
  if (!Number.isInteger(expectedVersion)) throw new CommandError(`--expect: expected an integer version, got "${options.expect ?? ''}"`, EXIT_CODES.badInput)
  const operation = options.operation ?? randomUUID()
  const summary = [options.inventory === undefined ? '' : `inventory of ${vms?.length ?? 0} VMs`, options.rules === undefined ? '' : 'rules'].filter((part) => part !== '').join(' and ')
  const input = { operation, expectedVersion, by: ctl.operator, summary, vms: vms === null ? null : [...vms], rules }
  const result = await ctl.call((calls, signal) => calls.applyConfig.mutate(input, { signal }))
  if (result.status === 'conflict') {
    throw new CommandError(`Conflict: expected version ${expectedVersion}, but version ${result.version} is in force; it was applied by ${result.winner}.`, EXIT_CODES.conflict)
  }
  const fenced = result.inForce?.fenced ?? []
  const lines = [`Version ${result.version} is in force at ${result.inForce?.acknowledged.length ?? 0} entries.`]
  if (fenced.length > 0) lines.push(`Fenced entries, which did not acknowledge it before their lease expired: ${fenced.join(', ')}.`)
  print(result, ctl.isJson, [...result.warnings, ...lines])
}

async function diff (options: FileOptions, ctl: CtlSession): Promise<void> {
  const { vms, rules } = loadFiles(options)
  const shown = await ctl.call((calls, signal) => calls.show.mutate({}, { signal }))
  const lines: string[] = []
  if (vms !== null) lines.push(...diffInventory(shown.vms, vms))
  if (rules !== null && JSON.stringify(rules) !== JSON.stringify(shown.rules)) lines.push(...diffRules(shown.rules, rules))
  print(lines, ctl.isJson, lines.length === 0 ? ['No changes.'] : lines)
}

function diffInventory (current: ReadonlyArray<{ readonly id: string, readonly pool: string }>, next: readonly InventoryVm[]): string[] {
  const before = new Map(current.map((vm) => [vm.id, vm.pool]))
  const after = new Map(next.map((vm) => [vm.id, vm.pool]))
  const added = next.filter((vm) => !before.has(vm.id)).map((vm) => `+ VM ${vm.id} in pool ${vm.pool}`)
  const removed = current.filter((vm) => !after.has(vm.id)).map((vm) => `- VM ${vm.id} in pool ${vm.pool}`)
  const moved = next.filter((vm) => before.has(vm.id) && before.get(vm.id) !== vm.pool).map((vm) => `! VM ${vm.id} stays in pool ${before.get(vm.id) ?? ''}; use "oleanderctl move" to move it to ${vm.pool}`)
  return [...added, ...removed, ...moved]
}

function diffRules (current: unknown, next: Rules): string[] {
  const before = JSON.stringify(current, null, 2).split('\n')
  const after = JSON.stringify(next, null, 2).split('\n')
  const removed = before.filter((line) => !after.includes(line)).map((line) => `- ${line}`)
  const added = after.filter((line) => !before.includes(line)).map((line) => `+ ${line}`)
  return [...removed, ...added]
}

/** Reads and checks the given files, and reports all findings together. */
function loadFiles (options: FileOptions): LoadedFiles {
  if (options.inventory === undefined && options.rules === undefined) throw new CommandError('Expected --inventory, --rules or both.', EXIT_CODES.badInput)
  const inventory = options.inventory === undefined ? null : parseInventory(readInputFile(options.inventory), options.inventory)
  const rules = options.rules === undefined ? null : parseRules(readInputFile(options.rules), options.rules)
  const findings: Finding[] = [...inventory?.findings ?? [], ...rules?.findings ?? []]
  if (inventory?.vms != null && rules?.rules != null) findings.push(...checkFleet(rules.rules, inventory.vms, rules.place as LocatePath))
  for (const finding of findings) process.stderr.write(`${formatFinding(finding)}\n`)
  if (hasError(findings)) throw new CommandError(`${findings.filter((finding) => finding.severity === 'error').length} errors were found; nothing was applied.`, EXIT_CODES.badInput)
  return { vms: inventory?.vms ?? null, rules: rules?.rules ?? null }
}

function readInputFile (path: string): string {
  try {
    return readFileSync(path, 'utf8')
  } catch (err) {
    throw new CommandError(`${path}: ${(err as Error).message}`, EXIT_CODES.badInput)
  }
}
