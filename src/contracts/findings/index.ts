/** Findings about input, each with its source and position. They are collected and reported together. */

/** Severity of a finding. An error prevents the input from being accepted. */
export type Severity = 'error' | 'warning'

/** Problem in a file, a flag or a request. */
export interface Finding {
  readonly severity: Severity
  /** File name, flag or header. */
  readonly source: string
  /** Line and column, counted from 1, when the source is a text file. */
  readonly line?: number
  readonly column?: number
  readonly message: string
}

/**
 * Formats a finding as one line, in the form that editors recognize.
 *
 * @param finding - finding to format
 * @returns for instance `rules.yaml:3:9: error: unknown pool "mastr"`
 */
export function formatFinding (finding: Finding): string {
  const location = [finding.source, finding.line, finding.column].filter((part) => part !== undefined).join(':')
  return `${location}: ${finding.severity}: ${finding.message}`
}

/**
 * Returns whether a list of findings contains an error.
 *
 * @param findings - findings of any severity
 */
export function hasError (findings: readonly Finding[]): boolean {
  return findings.some((finding) => finding.severity === 'error')
}

/** Thrown when input is rejected; reports all findings together. */
export class FindingsError extends Error {
  override readonly name = 'FindingsError'

  /** @param findings - why the input was rejected */
  constructor (readonly findings: readonly Finding[]) {
    super(findings.map(formatFinding).join('\n'))
  }
}
