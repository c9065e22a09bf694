/** Finds the queue of a request by host and path. */
import type { Queue, QueueConfig } from '../types.js'

/**
 * Returns the queue of a host with the longest prefix of a path.
 *
 * @param config - the configuration
 * @param host - value of the Host header, with or without a port, in any case
 * @param path - path of the request without the query
 * @returns the queue, or undefined when none matches
 */
export function matchQueue (config: QueueConfig, host: string, path: string): Queue | undefined {
  const hostname = (host.split(':')[0] as string).toLowerCase()
  let best: Queue | undefined
  for (const queue of config.queues) {
    if (queue.host.toLowerCase() !== hostname || !path.startsWith(queue.prefix)) continue
    if (best === undefined || queue.prefix.length > best.prefix.length) best = queue
  }
  return best
}
