/** Metrics of the resources that the process uses. */
import type { LinkTraffic } from '../../links/trpcLink/index.js'
import type { Metrics } from '../index.js'

/**
 * Registers gauges for the processor time, memory and traffic of this process.
 *
 * @param metrics - registry that receives the gauges
 * @param traffic - byte counts of the links between processes
 */
export function registerProcessMetrics (metrics: Metrics, traffic: LinkTraffic): void {
  metrics.gauge('oleanderward_process_cpu_seconds', () => {
    const { user, system } = process.cpuUsage()
    return (user + system) / 1e6
  })
  metrics.gauge('oleanderward_process_resident_bytes', () => process.memoryUsage.rss())
  metrics.gauge('oleanderward_link_sent_bytes', () => traffic.sentBytes)
  metrics.gauge('oleanderward_link_received_bytes', () => traffic.receivedBytes)
}
