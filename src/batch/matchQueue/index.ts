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
  for (const queue of queuesByHost(config).get(hostname) ?? []) {
    if (!path.startsWith(queue.prefix)) continue
    if (best === undefined || queue.prefix.length > best.prefix.length) best = queue
  }
  return best
}

const indexes = new WeakMap<QueueConfig, Map<string, Queue[]>>()

/** Returns the queues by host in lower case. Built once for each configuration, since it may have hundreds of queues. */
function queuesByHost (config: QueueConfig): ReadonlyMap<string, readonly Queue[]> {
  let index = indexes.get(config)
  if (index === undefined) {
    index = new Map()
    for (const queue of config.queues) {
      const host = queue.host.toLowerCase()
      const queues = index.get(host)
      if (queues === undefined) index.set(host, [queue])
      else queues.push(queue)
    }
    indexes.set(config, index)
  }
  return index
}
