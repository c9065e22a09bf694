/** Says in plain sentences how a job, a task, a worker, a queue, a wave or the configuration stands, and what it waits for. */
import type { Millis } from '../../clock/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import { dueOccurrences } from '../candidates/index.js'
import { queueKey } from '../state/handlers.js'
import type { BatchState } from '../state/index.js'
import type { JobRecord, StepRecord } from '../state/records.js'
import { parseTask, type Queue } from '../types.js'

/** Things that can be explained. */
export type BatchExplainKind = 'job' | 'task' | 'worker' | 'queue' | 'wave' | 'config'

/** What an explanation draws on. */
export interface BatchExplainContext {
  readonly state: BatchState
  readonly sessions: readonly WorkerSession[]
  /** Wall clock. */
  readonly wall: Millis
}

type Explainer = (context: BatchExplainContext, name: string) => string[] | null

const EXPLAINERS: Readonly<Record<BatchExplainKind, Explainer>> = {
  job: explainJob,
  task: explainTask,
  worker: explainWorker,
  queue: explainQueue,
  wave: explainWave,
  config: explainConfig
}

/** All kinds, for help texts and for checks of input. */
export const BATCH_EXPLAIN_KINDS = Object.keys(EXPLAINERS) as readonly BatchExplainKind[]

/** Most runs and machines that are listed one by one. */
const MOST_LISTED = 20

/**
 * Explains one thing.
 *
 * @param context - state to draw on
 * @param kind - what it is
 * @param name - its name; not used for the configuration
 * @returns sentences; a single one when there is no such thing
 */
export function explainBatch (context: BatchExplainContext, kind: BatchExplainKind, name: string): string[] {
  return EXPLAINERS[kind](context, name) ?? [`There is no ${kind} ${name}.`]
}

function explainJob (context: BatchExplainContext, name: string): string[] | null {
  const job = context.state.data.jobs.get(name)
  if (job === undefined) return null
  const queue = findQueue(context, job)
  const service = queue?.service ?? job.service
  const lines = [`Job ${job.id} is ${job.state}, was accepted ${since(context, job.acceptedAt)} ago in queue ${queue?.name ?? `${job.queue}, which is no longer configured`}, and runs on ${service}.`]
  if (job.repeatCount > 0) lines.push(`Of its ${job.repeatCount} occurrences ${job.doneOccurrences} are done and ${dueOccurrences(job, context.wall)} are due.`)
  for (const [occurrence, steps] of job.occurrences) lines.push(...steps.map((step, i) => describeStep(job, occurrence, i, step)))
  if (job.state === 'active' && !job.hasStarted) lines.push('Nothing of it has begun.', describePool(context, service))
  return lines
}

function describeStep (job: JobRecord, occurrence: number, index: number, { tasks, doneCount }: StepRecord): string {
  const running = tasks.filter(({ active }) => active.length > 0).length
  const failures = tasks.reduce((sum, task) => sum + task.failures, 0)
  const after = job.steps[index]?.after ?? []
  return `Step ${occurrence}.${index}: ${tasks.length} tasks, ${doneCount} done, ${running} running or being started, ${failures} failures${after.length === 0 ? '' : `, waits for step ${after.join(' and ')}`}.`
}

function explainTask (context: BatchExplainContext, name: string): string[] | null {
  const place = parseTask(name)
  const job = place === null ? undefined : context.state.data.jobs.get(place.job)
  const task = place === null ? undefined : job?.occurrences.get(place.occurrence)?.[place.step]?.tasks[place.index]
  if (job === undefined || task === undefined) return null
  const lines = [`Task ${name} has had ${task.lastRun} runs and ${task.failures} failures; it is ${task.isDone ? 'done' : 'not done'}.`]
  for (const { run, worker, placedAt } of task.active) lines.push(`Run ${run} was placed on ${worker} ${since(context, placedAt)} ago: ${describeRun(context, worker, name)}.`)
  if (task.failedOn.length > 0) lines.push(`It failed on ${task.failedOn.join(', ')}.`)
  if (!task.isDone && task.active.length === 0 && job.state === 'active') {
    lines.push(task.lastRun === 0 ? 'It waits.' : `It waits since its last run ended ${since(context, task.lastEndAt)} ago.`)
    lines.push(describePool(context, findQueue(context, job)?.service ?? job.service))
  }
  return lines
}

function describeRun ({ sessions }: BatchExplainContext, worker: string, task: string): string {
  const session = sessions.find(({ key }) => key === worker)
  if (session === undefined) return 'the worker is not known'
  if (session.goneReason !== null) return `the worker is gone, ${session.goneReason}`
  if (!session.isLive) return `the worker has not answered for ${Math.round(session.unresponsiveMs)} ms, and its lease is waited out`
  const order = session.orders.get(task)
  return order === undefined ? 'nothing was heard of it yet' : `${order.phase}, ${Math.max(0, order.percent)} % done${order.isStopRequested ? ', to be stopped' : ''}`
}

function describePool ({ sessions }: BatchExplainContext, service: string): string {
  const own = sessions.filter(({ record }) => record.service === service)
  const live = own.filter((session) => session.isLive)
  return `Service ${service} has ${own.length} workers: ${live.length} answer, ${live.filter(({ record }) => record.isDraining).length} of these drain.`
}

function explainWorker (context: BatchExplainContext, name: string): string[] | null {
  const found = context.sessions.filter(({ key, record }) => key === name || record.id === name || record.machine === name)
  if (found.length === 0) return null
  return found.flatMap((session) => {
    const { record } = session
    const runs = context.state.runsOn(session.key)
    const phase = session.goneReason !== null ? `gone: ${session.goneReason}` : session.isLive ? 'answering' : `silent for ${Math.round(session.unresponsiveMs)} ms`
    return [
      `Worker ${session.key} on machine ${record.machine}, service ${record.service}, availability zone ${record.zone}, is ${phase}${record.isDraining ? ', and drains' : ''}.`,
      `It has ${runs.size} runs${session.consecutiveRefusals > 0 ? `, and refused the last ${session.consecutiveRefusals} starts` : ''}.`,
      ...[...runs].slice(0, MOST_LISTED).map(([task, { run }]) => `Run ${run} of ${task}: ${describeRun(context, session.key, task)}.`)
    ]
  })
}

function explainQueue (context: BatchExplainContext, name: string): string[] | null {
  const queue = context.state.data.config?.queues.find((queue) => queue.name === name || queueKey(queue) === name)
  if (queue === undefined) return null
  const active = [...context.state.activeJobs.values()].filter((job) => job.queue === queueKey(queue))
  return [
    `Queue ${queue.name} (${queueKey(queue)}) is served by ${queue.service}, priority ${queue.priority}; a task is given up after ${queue.maxAttempts} failures.`,
    `${active.length} jobs are active, of which ${context.state.pendingOf(queueKey(queue))} have not begun.`,
    describePool(context, queue.service)
  ]
}

function explainWave ({ state, wall }: BatchExplainContext, name: string): string[] | null {
  const wave = state.data.waves.get(Number(name))
  if (wave === undefined) return null
  const counts = new Map<string, number>()
  for (const phase of wave.machines.values()) counts.set(phase, (counts.get(phase) ?? 0) + 1)
  const leftSeconds = Math.round((wave.startedAt + wave.deadlineMs - wall) / 1000)
  return [
    `Wave ${wave.id} of ${wave.machines.size} machines, at most ${wave.cap} at once, is ${wave.isCompleted ? 'completed' : `running, ${leftSeconds} s before its deadline`}.`,
    `Machines: ${[...counts].map(([phase, count]) => `${count} ${phase}`).join(', ')}.`,
    ...[...wave.machines].filter(([, phase]) => phase !== 'done').slice(0, MOST_LISTED).map(([machine, phase]) => `${machine}: ${phase}.`)
  ]
}

function explainConfig ({ state }: BatchExplainContext): string[] {
  const { config } = state.data
  if (config === null) return ['No configuration was accepted yet.']
  return [
    `Configuration version ${config.version} is in force: ${config.queues.length} queues, ${config.services.length} services.`,
    ...config.queues.map(({ name, service, priority }) => `Queue ${name}: service ${service}, priority ${priority}.`)
  ]
}

function findQueue ({ state }: BatchExplainContext, job: JobRecord): Queue | undefined {
  return state.data.config?.queues.find((queue) => queueKey(queue) === job.queue)
}

function since ({ wall }: BatchExplainContext, at: Millis): string {
  return `${((wall - at) / 1000).toFixed(1)} s`
}
