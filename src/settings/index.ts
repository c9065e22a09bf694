/** Settings of a binary: flags, each with an environment variable, all checked at start and reported together. */
import { Command, CommanderError, Option } from 'commander'
import { formatFinding, hasError, type Finding } from '../contracts/findings/index.js'

/** Exit code for settings that are not valid. */
export const INVALID_SETTINGS_EXIT_CODE = 2

/** One setting. */
export interface SettingSpec<T> {
  /** Flag without dashes, for instance `listen-callers`. */
  readonly flag: string
  /** Shown in `--help`. */
  readonly help: string
  /** Placeholder of the value in `--help`. */
  readonly value: string
  readonly fallback?: string
  readonly isRequired?: boolean
  /** Turns the text into a value; throws an Error that says what is wrong. */
  readonly parse: (text: string) => T
}

/** A binary's settings by name. */
export type SettingSpecs = Readonly<Record<string, SettingSpec<unknown>>>

/** Values of settings; one that is neither given nor has a default is undefined. */
export type SettingValues<S extends SettingSpecs> = {
  readonly [K in keyof S]: S[K] extends { fallback: string } | { isRequired: true } ? ReturnType<S[K]['parse']> : ReturnType<S[K]['parse']> | undefined
}

/** What the settings of a start came to. */
export interface LoadedSettings<S extends SettingSpecs> {
  readonly values: SettingValues<S>
  /** Whether the process shall only check and exit. */
  readonly isCheck: boolean
}

/**
 * Returns the environment variable of a flag.
 *
 * @param flag - for instance `listen-callers`
 * @returns for instance `OLEANDERWARD_LISTEN_CALLERS`
 */
export function envVariableOf (flag: string): string {
  return `OLEANDERWARD_${flag.replaceAll('-', '_').toUpperCase()}`
}

/**
 * Reads settings from arguments and environment.
 *
 * @param name - name of the binary
 * @param description - first lines of `--help`
 * @param specs - its settings
 * @param argv - arguments without interpreter and script
 * @param check - finds what is wrong between settings that are valid by themselves
 * @returns the values, or null when the process must exit with the code
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
      if (spec.isRequired === true) findings.push({ severity: 'error', source, message: `is required; give the flag or set ${envVariableOf(spec.flag)}` })
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
