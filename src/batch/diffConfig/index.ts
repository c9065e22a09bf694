/** Compares two configurations by what they mean. */
import { queueKey } from '../state/queues/index.js'
import type { QueueConfig } from '../types.js'

/** How an entry differs. */
export type ConfigChangeKind = 'added' | 'removed' | 'changed'

/** One entry that differs between two configurations. */
export interface ConfigChange {
  readonly kind: ConfigChangeKind
  /** What the entry is and its name, such as `queue cleanup`. */
  readonly entry: string
  /** Fields that differ, as `name: before -> after`; empty for entries that were added or removed. */
  readonly fields: readonly string[]
}

type Entries = ReadonlyMap<string, { readonly entry: string, readonly fields: Readonly<Record<string, unknown>> }>

/**
 * Lists the differences between two configurations. The order of entries and the layout of the document mean nothing, and a queue is the same
 * as long as its host and prefix are. Keys of workspaces are counted, never shown.
 *
 * @param before - the configuration in force
 * @param after - the one to compare with it
 */
export function diffConfig (before: QueueConfig, after: QueueConfig): ConfigChange[] {
  return [listQueues, listServices, listWorkspaces].flatMap((list) => compare(list(before), list(after)))
}

/**
 * Formats a change as one line.
 *
 * @param change - the change
 */
export function formatConfigChange ({ kind, entry, fields }: ConfigChange): string {
  const signs: Readonly<Record<ConfigChangeKind, string>> = { added: '+', removed: '-', changed: '!' }
  return `${signs[kind]} ${entry}${fields.length === 0 ? '' : `: ${fields.join(', ')}`}`
}

function listQueues ({ queues }: QueueConfig): Entries {
  return new Map(queues.map((queue) => [queueKey(queue), { entry: `queue ${queue.name} (${queueKey(queue)})`, fields: { ...queue } }]))
}

function listServices ({ services }: QueueConfig): Entries {
  return new Map(services.map((service) => [service.name, { entry: `service ${service.name}`, fields: { ...service } }]))
}

function listWorkspaces ({ workspaces }: QueueConfig): Entries {
  return new Map((workspaces ?? []).map(({ name, keyDigests, weight, cap }) => [name, { entry: `workspace ${name}`, fields: { keys: new Set(keyDigests), weight, cap } }]))
}

function compare (before: Entries, after: Entries): ConfigChange[] {
  const changes: ConfigChange[] = []
  for (const [key, { entry, fields }] of after) {
    const known = before.get(key)
    if (known === undefined) changes.push({ kind: 'added', entry, fields: [] })
    else {
      const changed = Object.keys(fields).map((name) => describeField(name, known.fields[name], fields[name])).filter((text) => text !== null)
      if (changed.length > 0) changes.push({ kind: 'changed', entry, fields: changed })
    }
  }
  for (const [key, { entry }] of before) if (!after.has(key)) changes.push({ kind: 'removed', entry, fields: [] })
  return changes
}

function describeField (name: string, before: unknown, after: unknown): string | null {
  if (before instanceof Set && after instanceof Set) {
    const added = [...after].filter((key) => !before.has(key)).length
    const removed = [...before].filter((key) => !after.has(key)).length
    return added + removed === 0 ? null : `${name}: ${added} added, ${removed} withdrawn`
  }
  const [from, to] = [JSON.stringify(before), JSON.stringify(after)]
  return from === to ? null : `${name}: ${from ?? '-'} -> ${to ?? '-'}`
}
