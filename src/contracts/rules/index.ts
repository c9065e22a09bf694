/** Parses the rules file and gives the position of each finding. */
import { isNode, LineCounter, parseDocument, type Document } from 'yaml'
import type { Finding } from '../findings/index.js'
import { rulesSchema, type Rules } from './types.js'

export type { Rules, ServiceRules, TeamRules, MaintenanceWindow } from './types.js'

/** Result of parsing a rules file. */
export interface ParsedRules {
  /** The rules, or null when there is an error. */
  readonly rules: Rules | null
  readonly findings: readonly Finding[]
  /** Returns the position in the file of a path such as `['services', 'publishing']`, for findings of later checks. */
  readonly place: (path: ReadonlyArray<PropertyKey>) => Pick<Finding, 'source' | 'line' | 'column'>
}

/**
 * Parses a rules file and checks it against the schema.
 *
 * @param text - content of the file
 * @param source - name of the file, for findings
 * @returns the rules, or null when there is an error, and all findings
 */
export function parseRules (text: string, source: string): ParsedRules {
  const lines = new LineCounter()
  const document = parseDocument(text, { lineCounter: lines, uniqueKeys: true })
  const place = (path: ReadonlyArray<PropertyKey>): Pick<Finding, 'source' | 'line' | 'column'> => {
    const offset = offsetOf(document, path)
    const position = lines.linePos(offset)
    return { source, line: position.line, column: position.col }
  }
  if (document.errors.length > 0) {
    const findings = document.errors.map((err): Finding => {
      const position = lines.linePos(err.pos[0])
      const message = err.message.split('\n')[0] ?? err.message
      return { severity: 'error', source, line: position.line, column: position.col, message }
    })
    return { rules: null, findings, place }
  }
  const parsed = rulesSchema.safeParse(document.toJS() ?? {})
  if (parsed.success) return { rules: parsed.data, findings: [], place }
  const findings = parsed.error.issues.map((issue): Finding => {
    const path = issue.code === 'unrecognized_keys' ? [...issue.path, issue.keys[0] as PropertyKey] : issue.path
    return { severity: 'error', ...place(path), message: `${path.map(String).join('.')}: ${issue.message}` }
  })
  return { rules: null, findings, place }
}

/** Returns the offset of the deepest node on a path that exists in the document. */
function offsetOf (document: Document, path: ReadonlyArray<PropertyKey>): number {
  for (let length = path.length; length > 0; length -= 1) {
    const node = document.getIn(path.slice(0, length), true)
    if (isNode(node) && node.range != null) return node.range[0]
  }
  return 0
}
