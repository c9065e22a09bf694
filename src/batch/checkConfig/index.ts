/** Validates a configuration of queues and services. */
import type { Finding } from '../../contracts/findings/index.js'
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
  return findings
}
