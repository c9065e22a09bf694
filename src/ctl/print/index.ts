/** Prints results for people or, with `--json`, for programs. */

/** One row of a table. */
export type Row = Readonly<Record<string, string | number | null>>

/**
 * Prints a value.
 *
 * @param value - printed whole as JSON
 * @param isJson - whether JSON is asked for
 * @param lines - lines for people
 */
export function print (value: unknown, isJson: boolean, lines: readonly string[]): void {
  const text = isJson ? JSON.stringify(value) : lines.join('\n')
  process.stdout.write(`${text}\n`)
}

/**
 * Lays rows out in columns.
 *
 * @param rows - rows with the same columns
 * @returns a header and one line for each row
 */
export function toTable (rows: readonly Row[]): string[] {
  const columns = Object.keys(rows[0] ?? {})
  if (columns.length === 0) return ['(none)']
  const cells = [columns, ...rows.map((row) => columns.map((column) => String(row[column] ?? '-')))]
  const widths = columns.map((_column, index) => Math.max(...cells.map((line) => line[index]?.length ?? 0)))
  return cells.map((line) => line.map((cell, index) => cell.padEnd(widths[index] ?? 0)).join('  ').trimEnd())
}
