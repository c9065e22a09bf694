/** Validates a configuration of queues and services. */
import type { Finding } from '../../contracts/findings/index.js'
import type { Workspace } from '../../workspaces/types.js'
import { queueKey } from '../state/queues/index.js'
import type { QueueConfig } from '../types.js'

/**
 * Lists the errors of a configuration with their locations.
 *
 * @param config - a decoded configuration
 * @returns the findings; empty when the configuration is valid
 */
export function checkConfig (config: QueueConfig): Finding[] {
  const findings: Finding[] = []
  const services = new Set(config.services.map(({ name }) => name))
  const seen = new Map<string, string>()
  config.queues.forEach((queue, i) => {
    const location = `queues[${i}] (${queue.name})`
    if (!services.has(queue.service)) findings.push({ severity: 'error', source: location, message: `service: "${queue.service}" is not configured` })
    if (queue.timeoutMs <= 0) findings.push({ severity: 'error', source: location, message: 'timeoutMs: expected more than 0' })
    const key = queueKey(queue)
    const other = seen.get(key)
    if (other !== undefined) findings.push({ severity: 'error', source: location, message: `host and prefix are already used by queue "${other}"` })
    seen.set(key, queue.name)
  })
  findings.push(...checkWorkspaces(config.workspaces ?? []))
  return findings
}

function checkWorkspaces (workspaces: readonly Workspace[]): Finding[] {
  const findings: Finding[] = []
  const holders = new Map<string, string>()
  workspaces.forEach(({ name, keyDigests }, i) => {
    keyDigests.forEach((digest, k) => {
      const holder = holders.get(digest)
      if (holder !== undefined && holder !== name) findings.push({ severity: 'error', source: `workspaces[${i}] (${name})`, message: `keys[${k}]: workspace "${holder}" has the same key` })
      holders.set(digest, name)
    })
  })
  return findings
}
