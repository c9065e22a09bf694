/** Settings of a binary from flags and environment variables. All are checked at start, and all findings are reported together. */
import { Command, CommanderError, Option } from 'commander'
import { formatFinding, hasError, type Finding } from '../contracts/findings/index.js'

/** Exit code for invalid settings. */
export const INVALID_SETTINGS_EXIT_CODE = 2

/** Specification of one setting. */
export interface SettingSpec<T> {
  /** Flag without dashes, for instance `listen-callers`. */
  readonly flag: string
  /** Description in `--help`. */
  readonly help: string
  /** Placeholder of the value in `--help`. */
  readonly value: string
  /** Default value, as text. */
  readonly fallback?: string
  readonly isRequired?: boolean
  /** Parses the value; throws an Error that says what was expected. */
  readonly parse: (text: string) => T
}

/** Specifications of a binary's settings by name. */
export type SettingSpecs = Readonly<Record<string, SettingSpec<unknown>>>

/** Values of settings by name. A setting that is not given and has no default is undefined. */
export type SettingValues<S extends SettingSpecs> = {
  readonly [K in keyof S]: S[K] extends { fallback: string } | { isRequired: true } ? ReturnType<S[K]['parse']> : ReturnType<S[K]['parse']> | undefined
}

/** Valid settings of a process. */
export interface LoadedSettings<S extends SettingSpecs> {
  readonly values: SettingValues<S>
  /** Whether the process should exit after the check of its settings. */
  readonly isCheck: boolean
}

/**
 * Returns the name of the environment variable for a flag.
 *
 * @param flag - for instance `listen-callers`
 * @returns for instance `OLEANDERWARD_LISTEN_CALLERS`
 */
export function envVariableOf (flag: string): string {
  return `OLEANDERWARD_${flag.replaceAll('-', '_').toUpperCase()}`
}

/**
 * Loads settings from arguments and environment variables. Writes findings to the standard error stream.
 *
 * @param name - name of the binary
 * @param description - first lines of `--help`
 * @param specs - specifications of the settings
 * @param argv - arguments without interpreter and script
 * @param check - adds findings about settings that are valid one by one, for instance about the files that they name
 * @returns the values, or the exit code with which the process must end
 */
export function loadSettings<S extends SettingSpecs> (name: string, description: string, specs: S, argv: readonly string[], check: (values: SettingValues<S>, findings: Finding[]) => void = () => {}): LoadedSettings<S> | { readonly exitCode: number } {
  const command = createCommand(name, description, specs)
  const findings: Finding[] = []
  try {
    command.parse([...argv], { from: 'user' })
  } catch (err) {
    if (!(err instanceof CommanderError)) throw err
    if (err.exitCode === 0) return { exitCode: 0 }
    findings.push({ severity: 'error', source: 'arguments', message: err.message.replace(/^error: /, '') })
  }
  const values = parseValues(command, specs, findings)
  if (!hasError(findings)) check(values, findings)
  for (const finding of findings) process.stderr.write(`${formatFinding(finding)}\n`)
  if (hasError(findings)) return { exitCode: INVALID_SETTINGS_EXIT_CODE }
  return { values, isCheck: command.opts()['check'] === true }
}

function createCommand (name: string, description: string, specs: SettingSpecs): Command {
  const command = new Command(name).description(description).exitOverride().allowExcessArguments(false)
  command.configureOutput({ writeErr: () => {} })
  for (const spec of Object.values(specs)) {
    const required = spec.isRequired === true ? ' (required)' : ''
    const option = new Option(`--${spec.flag} <${spec.value}>`, `${spec.help}${required}`).env(envVariableOf(spec.flag))
    if (spec.fallback !== undefined) option.default(spec.fallback)
    command.addOption(option)
  }
  return command.addOption(new Option('--check', 'check the settings and exit'))
}

function parseValues<S extends SettingSpecs> (command: Command, specs: S, findings: Finding[]): SettingValues<S> {
  const values: Record<string, unknown> = {}
  for (const [name, spec] of Object.entries(specs)) {
    const attribute = spec.flag.replace(/-([a-z])/g, (_match, letter: string) => letter.toUpperCase())
    const text = command.opts()[attribute] as string | undefined
    const source = command.getOptionValueSource(attribute) === 'env' ? envVariableOf(spec.flag) : `--${spec.flag}`
    if (text === undefined) {
      if (spec.isRequired === true) findings.push({ severity: 'error', source, message: `is required; pass the flag or set ${envVariableOf(spec.flag)}` })
      continue
    }
    try {
      values[name] = spec.parse(text)
    } catch (err) {
      findings.push({ severity: 'error', source, message: (err as Error).message })
    }
  }
  return values as SettingValues<S>
}
