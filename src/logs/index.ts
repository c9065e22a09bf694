/** Logger for messages to people, with a tag for each component. */
import { createConsola, type ConsolaInstance, type LogObject } from 'consola'

/** Least severe level that is written. */
export type LogLevel = 'error' | 'warn' | 'info' | 'debug'

/** Output format. */
export type LogFormat = 'text' | 'json'

/** Logger of one component. */
export type Logger = ConsolaInstance

const LEVELS: Readonly<Record<LogLevel, number>> = { error: 0, warn: 1, info: 3, debug: 4 }

/** Writes one JSON object per line. */
const jsonReporter = {
  log: (entry: LogObject): void => {
    const line = { at: entry.date.toISOString(), level: entry.type, part: entry.tag, message: entry.args.map(String).join(' ') }
    process.stderr.write(`${JSON.stringify(line)}\n`)
  }
}

/** Writes lines of time, level, tag and message. */
const textReporter = {
  log: (entry: LogObject): void => {
    process.stderr.write(`${entry.date.toISOString()} ${entry.type} [${entry.tag}] ${entry.args.map(String).join(' ')}\n`)
  }
}

const REPORTERS: Readonly<Record<LogFormat, typeof jsonReporter>> = { json: jsonReporter, text: textReporter }

/**
 * Creates the root logger, from which components derive their own with `withTag`.
 *
 * @param level - least severe level that is written
 * @param format - plain text or JSON lines
 */
export function createLogger (level: LogLevel, format: LogFormat): Logger {
  return createConsola({ level: LEVELS[level], reporters: [REPORTERS[format]] })
}
