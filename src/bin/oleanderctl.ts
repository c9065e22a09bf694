/** Command-line client for operators. */
import { Command, CommanderError, Option } from 'commander'
import type { Finding } from '../contracts/findings/index.js'
import { formatFinding, hasError } from '../contracts/findings/index.js'
import { addBatchCommands } from '../ctl/commands/batch.js'
import { addConfigCommands } from '../ctl/commands/config.js'
import { addFleetCommands } from '../ctl/commands/fleet.js'
import { addGroupCommands } from '../ctl/commands/group.js'
import { CommandError, CtlSession, EXIT_CODES } from '../ctl/session/index.js'
import { readToken } from '../links/tokens/index.js'
import { envVariableOf } from '../settings/index.js'
import { parseAddresses } from '../settings/parsers.js'

interface GlobalOptions {
  readonly control?: string
  readonly operatorTokenFile?: string
  readonly json?: boolean
}

async function main (): Promise<void> {
  const program = new Command('oleanderctl')
    .description('Operates an oleanderward group: configuration, waves, jobs and members.')
    .addOption(new Option('--control <addresses>', 'comma-separated addresses of control processes').env(envVariableOf('control')))
    .addOption(new Option('--operator-token-file <path>', 'file with the token of operators').env(envVariableOf('operator-token-file')))
    .option('--json', 'print results as JSON')
    .exitOverride()
  let opened: CtlSession | null = null
  const session = (): CtlSession => {
    opened ??= openSession(program.opts())
    return opened
  }
  addGroupCommands(program, session)
  addConfigCommands(program, session)
  addFleetCommands(program, session)
  addBatchCommands(program)
  try {
    await program.parseAsync()
  } catch (err) {
    process.exitCode = reportError(err)
  } finally {
    (opened as CtlSession | null)?.close()
  }
}

function openSession (options: GlobalOptions): CtlSession {
  const findings: Finding[] = []
  const token = readToken(options.operatorTokenFile, '--operator-token-file', findings)
  let addresses: readonly string[] = []
  try {
    if (options.control === undefined) findings.push({ severity: 'error', source: '--control', message: `is required; pass the flag or set ${envVariableOf('control')}` })
    else addresses = parseAddresses(options.control)
  } catch (err) {
    findings.push({ severity: 'error', source: '--control', message: (err as Error).message })
  }
  if (hasError(findings)) throw new CommandError(findings.map(formatFinding).join('\n'), EXIT_CODES.badInput)
  return new CtlSession(addresses, token, options.json === true)
}

function reportError (err: unknown): number {
  if (err instanceof CommanderError) return err.exitCode === 0 ? 0 : EXIT_CODES.badInput
  process.stderr.write(`${(err as Error).message}\n`)
  return err instanceof CommandError ? err.exitCode : EXIT_CODES.failed
}

await main()
