/** Explains the state of a job, task, worker, queue, workspace, wave or the configuration to an operator, in plain sentences. */
import type { Millis } from '../../clock/index.js'
import type { WorkerSession } from '../../workers/session/index.js'
import { countDueOccurrences } from '../candidates/index.js'
import { describeJobWorkspace, describeWorkspace } from '../describeWorkspace/index.js'
import type { CurrentWait } from '../placeWait/index.js'
import { findQueue, queueKey } from '../state/queues/index.js'
import type { BatchState } from '../state/index.js'
import type { JobRecord, StepRecord } from '../state/records.js'
import { parseTask, type Queue } from '../types.js'

/** Kinds of objects that can be explained. */
export type BatchExplainKind = 'job' | 'task' | 'worker' | 'queue' | 'workspace' | 'wave' | 'config'

/** Data that explanations are derived from. */
export interface BatchExplainContext {
  readonly state: BatchState
  readonly sessions: readonly WorkerSession[]
  /** Returns the address of the process through which a worker is called, or null when the leader calls it itself. */
  readonly relayOf: (worker: string) => string | null
  /** Returns the wait of a task for a near place, or null when it does not wait. */
  readonly waitOf: (task: string) => CurrentWait | null
  /** Wall-clock time in milliseconds. */
  readonly wall: Millis
}

type Explainer = (context: BatchExplainContext, name: string) => string[] | null

const EXPLAINERS: Readonly<Record<BatchExplainKind, Explainer>> = {
  job: explainJob,
  task: explainTask,
  worker: explainWorker,
  queue: explainQueue,
  workspace: ({ state }, name) => describeWorkspace(state, name),
  wave: explainWave,
  config: explainConfig
}

/** All kinds, for help texts and input validation. */
export const BATCH_EXPLAIN_KINDS = Object.keys(EXPLAINERS) as readonly BatchExplainKind[]

/** Maximum number of runs or machines listed individually. */
const MAX_LISTED = 20

/**
 * Explains the state of one object.
 *
 * @param context - data to derive the explanation from
 * @param kind - kind of the object
 * @param name - name of the object; ignored for the configuration
 * @returns one sentence per line; a single line when no such object exists
 */
export function explainBatch (context: BatchExplainContext, kind: BatchExplainKind, name: string): string[] {
  return EXPLAINERS[kind](context, name) ?? [`There is no ${kind} ${name}.`]
}

function explainJob (context: BatchExplainContext, name: string): string[] | null {
  const job = context.state.data.jobs.get(name)
  if (job === undefined) return null
  const { config } = context.state.data
  const queue = findQueue(context.state.data, job.queue)
  const isConfigured = config?.queues.some((other) => queueKey(other) === job.queue) === true
  const service = queue?.service ?? job.service
  const lines = [`Job ${job.id} is ${job.state}, was accepted ${formatAge(context, job.acceptedAt)} ago in queue ${queue?.name ?? job.queue}${isConfigured ? '' : ', which is no longer configured'}, and runs on ${service}.`]
  if (job.repeatCount > 0) lines.push(`Of its ${job.repeatCount} occurrences ${job.doneOccurrences} are done and ${countDueOccurrences(job, context.wall)} are due.`)
  lines.push(...describeJobWorkspace(context.state, job))
  for (const [occurrence, steps] of job.occurrences) lines.push(...steps.map((step, i) => describeStep(job, occurrence, i, step)))
  if (job.state === 'active' && !job.hasStarted) lines.push('None of its tasks has started.', describePool(context, service))
  return lines
}

function describeStep (job: JobRecord, occurrence: number, index: number, { tasks, doneCount }: StepRecord): string {
  const running = tasks.filter(({ active }) => active.length > 0).length
  const failures = tasks.reduce((sum, task) => sum + task.failures, 0)
  const after = job.steps[index]?.after ?? []
  return `Step ${occurrence}.${index}: ${tasks.length} tasks, ${doneCount} done, ${running} running or being started, ${failures} failures${after.length === 0 ? '' : `, depends on step ${after.join(' and ')}`}.`
}

function explainTask (context: BatchExplainContext, name: string): string[] | null {
  const position = parseTask(name)
  const job = position === null ? undefined : context.state.data.jobs.get(position.job)
  const task = position === null ? undefined : job?.occurrences.get(position.occurrence)?.[position.step]?.tasks[position.index]
  if (job === undefined || task === undefined) return null
  const lines = [`Task ${name} has had ${task.lastRun} runs and ${task.failures} failures; it is ${task.isDone ? 'done' : 'not done'}.`]
  for (const { run, worker, placedAt } of task.active) lines.push(`Run ${run} was placed on ${worker} ${formatAge(context, placedAt)} ago: ${describeRun(context, worker, name)}.`)
  if (task.failedOn.length > 0) lines.push(`It failed on ${task.failedOn.join(', ')}.`)
  if (!task.isDone && task.active.length === 0 && job.state === 'active') {
    lines.push(task.lastRun === 0 ? 'It is waiting for its first run.' : `It has been waiting since its last run ended ${formatAge(context, task.lastEndAt)} ago.`)
    const wait = context.waitOf(name)
    if (wait !== null) lines.push(describeWait(context, wait))
    lines.push(describePool(context, findQueue(context.state.data, job.queue)?.service ?? job.service))
  }
  return lines
}

function describeWait (context: BatchExplainContext, { rack, sinceWall, untilWall }: CurrentWait): string {
  const place = rack === '' ? 'a rack with room for its whole gang' : `a place on rack ${rack}, near its data`
  return `It has waited ${formatAge(context, sinceWall)} for ${place}, and starts elsewhere in ${((untilWall - context.wall) / 1000).toFixed(1)} s at the latest.`
}

function describeRun ({ sessions }: BatchExplainContext, worker: string, task: string): string {
  const session = sessions.find(({ key }) => key === worker)
  if (session === undefined) return 'the worker is unknown'
  if (session.goneReason !== null) return `the worker is gone, ${session.goneReason}`
  if (!session.isLive) return `the worker has not answered for ${Math.round(session.contact.unresponsiveMs)} ms, and the leader waits for its lease to expire`
  const order = session.orders.get(task)
  return order === undefined ? 'the worker has not reported on it yet' : `${order.phase}, ${Math.max(0, order.percent)} % done${order.isStopRequested ? ', stop requested' : ''}`
}

function describePool ({ sessions }: BatchExplainContext, service: string): string {
  const poolSessions = sessions.filter(({ record }) => record.service === service)
  const live = poolSessions.filter((session) => session.isLive)
  return `Service ${service} has ${poolSessions.length} workers: ${live.length} responsive, ${live.filter(({ record }) => record.isDraining).length} of them draining.`
}

function explainWorker (context: BatchExplainContext, name: string): string[] | null {
  const found = context.sessions.filter(({ key, record }) => key === name || record.id === name || record.machine === name)
  if (found.length === 0) return null
  return found.flatMap((session) => {
    const { record } = session
    const runs = context.state.runsOn(session.key)
    const phase = session.goneReason !== null ? `gone: ${session.goneReason}` : session.isLive ? 'responsive' : `unresponsive for ${Math.round(session.contact.unresponsiveMs)} ms`
    return [
      `Worker ${session.key} on machine ${record.machine}, service ${record.service}, availability zone ${record.zone}, is ${phase}${record.isDraining ? ', and draining' : ''}.`,
      context.relayOf(session.key) === null ? 'The leader calls it directly.' : `The leader calls it through ${context.relayOf(session.key)}.`,
      `It has ${runs.size} runs${session.consecutiveRefusals > 0 ? `, and refused the last ${session.consecutiveRefusals} starts` : ''}.`,
      ...[...runs].slice(0, MAX_LISTED).map(([task, { run }]) => `Run ${run} of ${task}: ${describeRun(context, session.key, task)}.`)
    ]
  })
}

function explainQueue (context: BatchExplainContext, name: string): string[] | null {
  const { config, retiredQueues } = context.state.data
  const isNamed = (queue: Queue): boolean => queue.name === name || queueKey(queue) === name
  const configured = config?.queues.find(isNamed)
  const queue = configured ?? [...retiredQueues.values()].find(isNamed)
  if (queue === undefined) return null
  const active = [...context.state.activeJobs.values()].filter((job) => job.queue === queueKey(queue))
  return [
    `Queue ${queue.name} (${queueKey(queue)}) is served by ${queue.service}, priority ${queue.priority}; a task fails permanently after ${queue.maxAttempts} failures.${configured === undefined ? ' It is no longer configured; its jobs go on.' : ''}`,
    `${active.length} jobs are active, of which ${context.state.getPendingCount(queueKey(queue))} have not started.`,
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
    ...[...wave.machines].filter(([, phase]) => phase !== 'done').slice(0, MAX_LISTED).map(([machine, phase]) => `${machine}: ${phase}.`)
  ]
}

function explainConfig ({ state }: BatchExplainContext): string[] {
  const { config } = state.data
  if (config === null) return ['No configuration has been accepted yet.']
  return [
    `Configuration version ${config.version} is in force: ${config.queues.length} queues, ${config.services.length} services.`,
    ...config.queues.map(({ name, service, priority }) => `Queue ${name}: service ${service}, priority ${priority}.`)
  ]
}

function formatAge ({ wall }: BatchExplainContext, at: Millis): string {
  return `${((wall - at) / 1000).toFixed(1)} s`
}
