/** Checks a configuration of queues and services. */
import type { Finding } from '../../contracts/findings/index.js'
import { queueKey } from '../state/handlers.js'
import type { QueueConfig } from '../types.js'

/**
 * Lists what is wrong with a configuration, each with its place.
 *
 * @param config - a configuration whose fields have been decoded
 * @returns no findings when it is valid
 */
export function checkConfig (config: QueueConfig): Finding[] {
  const findings: Finding[] = []
  const services = new Set(config.services.map(({ name }) => name))
  const seen = new Map<string, string>()
  config.queues.forEach((queue, i) => {
    const location = `queues[${i}] (${queue.name})`
    if (!services.has(queue.service)) findings.push({ severity: 'error', source: location, message: `there is no service "${queue.service}"` })
    if (queue.timeoutMs <= 0) findings.push({ severity: 'error', source: location, message: 'the timeout must be more than 0 ms' })
    const key = queueKey(queue)
    const other = seen.get(key)
    if (other !== undefined) findings.push({ severity: 'error', source: location, message: `"${other}" has the same host and prefix` })
    seen.set(key, queue.name)
  })
  return findings
}
