/** Parses the inventory that is exported from the asset register as CSV or JSON. */
import { parse } from 'csv-parse/sync'
import { isNode, LineCounter, parseDocument } from 'yaml'
import * as z from 'zod'
import type { Finding } from '../findings/index.js'

const vmSchema = z.strictObject({
  id: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$/, 'expected letters, digits, dots, underscores and hyphens'),
  rack: z.string().min(1),
  zone: z.string().min(1),
  pool: z.string().regex(/^[a-z0-9][a-z0-9.-]{0,62}$/, 'expected lower-case letters, digits, dots and hyphens'),
  cores: z.coerce.number().min(0),
  memoryGb: z.coerce.number().min(0),
  accelerators: z.coerce.number().int().min(0).default(0)
})

/** VM of the inventory. */
export type InventoryVm = z.output<typeof vmSchema>

/** Result of parsing an inventory. */
export interface ParsedInventory {
  /** The VMs, or null when there is an error. */
  readonly vms: readonly InventoryVm[] | null
  readonly findings: readonly Finding[]
}

interface Row {
  readonly value: unknown
  readonly line?: number
  readonly label: string
}

type Reader = (text: string, source: string) => { readonly rows: readonly Row[], readonly findings: readonly Finding[] }

const READERS: Readonly<Record<'csv' | 'json', Reader>> = { csv: readCsv, json: readJson }

/**
 * Parses an inventory and checks it against the schema.
 *
 * @param text - content of the file
 * @param source - name of the file; a name that ends in `.json` selects JSON, any other CSV
 * @returns the VMs, or null when there is an error, and all findings
 */
export function parseInventory (text: string, source: string): ParsedInventory {
  const { rows, findings } = READERS[source.endsWith('.json') ? 'json' : 'csv'](text, source)
  const allFindings = [...findings]
  const vms: InventoryVm[] = []
  const seen = new Map<string, Row>()
  for (const row of rows) {
    const parsed = vmSchema.safeParse(row.value)
    if (parsed.success) {
      const first = seen.get(parsed.data.id)
      if (first !== undefined) allFindings.push({ severity: 'error', ...locationOf(row, source), message: `VM ${parsed.data.id} is listed twice, first at ${first.label}` })
      seen.set(parsed.data.id, row)
      vms.push(parsed.data)
      continue
    }
    for (const issue of parsed.error.issues) {
      const field = issue.path.map(String).join('.')
      allFindings.push({ severity: 'error', ...locationOf(row, source), message: `${row.label}: ${field === '' ? '' : `${field}: `}${issue.message}` })
    }
  }
  if (rows.length === 0 && allFindings.length === 0) allFindings.push({ severity: 'error', source, line: 1, message: 'the inventory must list at least one VM' })
  return { vms: allFindings.length === 0 ? vms : null, findings: allFindings }
}

function locationOf (row: Row, source: string): Pick<Finding, 'source' | 'line' | 'column'> {
  return row.line === undefined ? { source } : { source, line: row.line, column: 1 }
}

function readCsv (text: string, source: string): ReturnType<Reader> {
  try {
    const records = parse(text, { columns: true, info: true, trim: true, skip_empty_lines: true, comment: '#', bom: true }) as unknown as Array<{ record: Record<string, string>, info: { lines: number } }>
    return { rows: records.map(({ record, info }) => ({ value: omitEmptyValues(record), line: info.lines, label: `line ${info.lines}` })), findings: [] }
  } catch (err) {
    const line = (err as { lines?: number }).lines
    return { rows: [], findings: [{ severity: 'error', source, ...(line === undefined ? {} : { line, column: 1 }), message: (err as Error).message }] }
  }
}

function omitEmptyValues (record: Readonly<Record<string, string>>): Record<string, string> {
  return Object.fromEntries(Object.entries(record).filter(([, value]) => value !== ''))
}

function readJson (text: string, source: string): ReturnType<Reader> {
  const lines = new LineCounter()
  // The YAML parser, which reads JSON as well, gives the positions that the JSON parser lacks.
  const document = parseDocument(text, { lineCounter: lines, schema: 'json' })
  const locationAt = (offset: number): Pick<Finding, 'source' | 'line' | 'column'> => {
    const { line, col } = lines.linePos(offset)
    return { source, line, column: col }
  }
  try {
    const value: unknown = JSON.parse(text)
    const path = Array.isArray(value) ? [] : ['vms']
    const list = Array.isArray(value) ? value : (value as { vms?: unknown } | null)?.vms
    if (!Array.isArray(list)) return { rows: [], findings: [{ severity: 'error', ...locationAt(0), message: 'expected an array of VMs, or an object with such an array in "vms"' }] }
    const rows = list.map((each: unknown, index): Row => {
      const node = document.getIn([...path, index], true)
      const offset = isNode(node) ? node.range?.[0] ?? 0 : 0
      return { value: each, line: lines.linePos(offset).line, label: `vms[${index}]` }
    })
    return { rows, findings: [] }
  } catch (err) {
    const offset = document.errors[0]?.pos[0] ?? 0
    return { rows: [], findings: [{ severity: 'error', ...locationAt(offset), message: (err as Error).message }] }
  }
}
