/** Finds what a valid configuration can hardly mean: entries that never match and limits that contradict each other. */
import type { Finding } from '../../contracts/findings/index.js'
import type { AdviceSettings, Queue, QueueConfig } from '../types.js'

/** A worker that the advisor is asked about at most, as many as one call may name. */
const ADVISED_WORKERS = 30

type Check<T> = (entry: T, config: QueueConfig) => string | null

const QUEUE_CHECKS: ReadonlyArray<Check<Queue>> = [
  ({ host }) => host === '' || host.includes(':') || host.includes('/') ? `host: "${host}" is never the name of a host, so that no call matches` : null,
  ({ prefix }) => prefix.startsWith('/') ? null : `prefix: no path begins with "${prefix}", so that no call matches`,
  ({ prefix }) => /[?#]/.test(prefix) ? 'prefix: paths are compared without their query, so that no call matches' : null,
  (queue, { queues }) => {
    const earlier = queues.slice(0, queues.indexOf(queue)).find((other) => other.prefix === queue.prefix && other.host !== queue.host && other.host.toLowerCase() === queue.host.toLowerCase())
    return earlier === undefined ? null : `host: queue "${earlier.name}" takes all its calls, since hosts are compared without regard to case`
  },
  ({ service }, { services }) => services.some(({ name, isStandby }) => name === service && isStandby) ? `service: "${service}" holds the powered-off machines, so that no task ever starts` : null,
  ({ timeoutMs, targetLatencyMs }) => timeoutMs > 0 && timeoutMs < targetLatencyMs ? `timeoutMs: ${timeoutMs} ms end before the objective of ${targetLatencyMs} ms` : null,
  ({ slackFactor }) => slackFactor < 1 ? `slackFactor: ${slackFactor} sets an objective below the run time of the tasks` : null,
  ({ maxAttempts }) => maxAttempts === 0 ? 'maxAttempts: 0 lets a task that always fails start without end' : null,
  ({ advice, targetLatencyMs }) => advice !== null && computeDecisionMs(advice) > targetLatencyMs ? `advice: a decision on ${ADVISED_WORKERS} workers takes ${computeDecisionMs(advice)} ms, longer than the objective of ${targetLatencyMs} ms` : null,
  ({ advice }) => advice !== null && advice.validityMs < computeDecisionMs(advice) ? `advice: tickets of ${advice.validityMs} ms may expire before the decision has arrived` : null,
  ({ isPublic }, { workspaces }) => !isPublic && workspaces !== null && workspaces.every(({ keyDigests }) => keyDigests.length === 0) ? 'public: no workspace holds a key, so that every call is refused' : null
]

/**
 * Lists warnings about a configuration, each with its location.
 *
 * @param config - a decoded configuration
 * @returns the findings, all of them warnings
 */
export function reviewConfig (config: QueueConfig): Finding[] {
  const findings: Finding[] = []
  const warn = (source: string, message: string | null): void => { if (message !== null) findings.push({ severity: 'warning', source, message }) }
  config.queues.forEach((queue, i) => {
    for (const check of QUEUE_CHECKS) warn(`queues[${i}] (${queue.name})`, check(queue, config))
  })
  config.services.forEach(({ name, isStandby }, i) => {
    const source = `services[${i}] (${name})`
    if (!isStandby && !config.queues.some(({ service }) => service === name)) warn(source, 'no queue uses it, so that its workers run nothing')
    if (config.services.findIndex((other) => other.name === name) < i) warn(source, 'the name is used before')
  })
  if (config.services.filter(({ isStandby }) => isStandby).length > 1) warn('services', 'only the first standby service takes machines that are powered off')
  for (const [i, { name, keyDigests, weight }] of (config.workspaces ?? []).entries()) {
    const source = `workspaces[${i}] (${name})`
    if (keyDigests.length === 0) warn(source, 'holds no key, so that no call is its own')
    if (weight === 0) warn(source, 'weight: 0 leaves it without a share whenever all capacity is in use')
  }
  return findings
}

function computeDecisionMs ({ decisionMs, perWorkerMs }: AdviceSettings): number {
  return decisionMs + perWorkerMs * ADVISED_WORKERS
}
