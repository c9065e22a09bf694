/** Finds the settings of queues, also of those that are no longer configured. Deterministic, like the command handlers that use it. */
import type { Queue, QueueConfig } from '../../types.js'
import type { BatchData } from '../records.js'

/**
 * Returns the key of a queue: its host and prefix.
 *
 * @param queue - the queue
 */
export function queueKey (queue: { readonly host: string, readonly prefix: string }): string {
  return `${queue.host} ${queue.prefix}`
}

/**
 * Returns the settings of a queue: as configured now, or as configured last while it has active jobs.
 *
 * @param data - replicated state
 * @param key - key of the queue
 * @returns the settings; undefined for a queue that had been removed before the state kept such settings
 */
export function findQueue ({ config, retiredQueues }: Pick<BatchData, 'config' | 'retiredQueues'>, key: string): Queue | undefined {
  return (config === null ? undefined : queuesByKey(config).get(key)) ?? retiredQueues.get(key)
}

/**
 * Keeps the settings of the queues that a new configuration removes: until the next configuration, since a job may be about to be accepted,
 * and as long as they have active jobs, which go on under them.
 *
 * @param data - replicated state with the earlier configuration
 * @param next - the new configuration
 */
export function retireQueues (data: BatchData, next: QueueConfig): void {
  const configured = queuesByKey(next)
  const active = new Set<string>()
  for (const { queue, state } of data.jobs.values()) if (state === 'active') active.add(queue)
  const kept = [...data.retiredQueues].filter(([key]) => active.has(key))
  const removed = data.config === null ? [] : queuesByKey(data.config)
  data.retiredQueues = new Map([...kept, ...removed].filter(([key]) => !configured.has(key)))
}

const indexes = new WeakMap<QueueConfig, ReadonlyMap<string, Queue>>()

/** Returns the queues by key. Built once for each configuration, since it may have hundreds of queues. */
function queuesByKey (config: QueueConfig): ReadonlyMap<string, Queue> {
  let index = indexes.get(config)
  if (index === undefined) indexes.set(config, index = new Map(config.queues.map((queue) => [queueKey(queue), queue])))
  return index
}
