/** Prints results as text or, with `--json`, as JSON. */

/** Row of a table: values by column. */
export type Row = Readonly<Record<string, string | number | null>>

/**
 * Prints a result to the standard output stream.
 *
 * @param value - the result for programs
 * @param isJson - whether to print the value as JSON instead of the lines
 * @param lines - the result for people
 */
export function print (value: unknown, isJson: boolean, lines: readonly string[]): void {
  const text = isJson ? JSON.stringify(value) : lines.join('\n')
  process.stdout.write(`${text}\n`)
}

/**
 * Formats rows as a table with aligned columns.
 *
 * @param rows - rows with the same columns
 * @returns a header and one line for each row, or `(none)` without rows
 */
export function toTable (rows: readonly Row[]): string[] {
  const columns = Object.keys(rows[0] ?? {})
  if (columns.length === 0) return ['(none)']
  const cells = [columns, ...rows.map((row) => columns.map((column) => String(row[column] ?? '-')))]
  const widths = columns.map((_column, index) => Math.max(...cells.map((line) => line[index]?.length ?? 0)))
  return cells.map((line) => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd())
}
