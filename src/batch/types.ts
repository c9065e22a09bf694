/** Jobs and their steps, the queues that they are submitted to, and the workers that run their tasks. */
import type { Millis } from '../clock/index.js'
import type { Workspace } from '../workspaces/types.js'
import type { Resources } from './resources.js'

export type { Resources } from './resources.js'

/** One step of a job: a number of identical tasks. */
export interface Step extends Resources {
  readonly count: number
  /** Rough estimate by the submitter of the run time of one task. */
  readonly estimateMs: Millis
  /** Indexes of earlier steps that must be done first. */
  readonly after: readonly number[]
  readonly isCheckpointable: boolean
  /** Whether the tasks form a gang: all of them run at the same time, or none. */
  readonly isGang: boolean
  /** Whether the gang runs slower when it is spread over several racks. */
  readonly prefersOneRack: boolean
  /** Label that the worker must have; empty for none. */
  readonly label: string
  /** Rack that holds the input data; empty for none. */
  readonly dataRack: string
  /** Maximum number of tasks of this step on one worker; 0 for no limit. */
  readonly maxPerWorker: number
  /** Whether copies of one task may run at the same time. */
  readonly allowsCopies: boolean
  /** Whether the tasks are long-running: they run until the job is cancelled. */
  readonly isLasting: boolean
  /** Image that the tasks run; tasks with the same image behave alike. */
  readonly image: string
  /** Target for the tail of the response times of serving tasks; 0 for none. */
  readonly tailTargetMs: Millis
  /** Whether the tasks are fillers: they use spare processor time and reserve no processor capacity. */
  readonly isFiller: boolean
  /** A drain stops a long-running task only while fewer than this many other tasks of the step are unavailable; 0 for no limit. */
  readonly maxUnavailable: number
}

/** A job as submitted. */
export interface JobSpec {
  readonly id: string
  /** Opaque text passed to each task. */
  readonly payload: string
  readonly steps: readonly Step[]
  /** Number of scheduled occurrences; 0 for a job that runs once, immediately. */
  readonly repeatCount: number
  /** Unix time at which the first occurrence is due, in milliseconds. */
  readonly startAt: Millis
  /** Time between two occurrences. */
  readonly intervalMs: Millis
}

/** Configuration of one queue. */
export interface Queue {
  readonly name: string
  readonly host: string
  /** Path prefix, with or without a trailing slash, as configured. */
  readonly prefix: string
  readonly service: string
  /** 0 is the highest priority. */
  readonly priority: number
  readonly timeoutMs: Millis
  /** Fixed part of a job's latency objective. */
  readonly targetLatencyMs: Millis
  /** Factor of the latency objective on the job's critical path. */
  readonly slackFactor: number
  /** Failures after which a task, and with it the job, fails permanently; 0 for no limit. */
  readonly maxAttempts: number
  /** Set when an advisor decides which workers may run a step, otherwise null. */
  readonly advice: AdviceSettings | null
  /** Whether calls need no key of a workspace. */
  readonly isPublic: boolean
}

/** Timing of the advisor of a queue. */
export interface AdviceSettings {
  /** Fixed part of the time for a decision. */
  readonly decisionMs: Millis
  /** Additional decision time for each worker in the request. */
  readonly perWorkerMs: Millis
  /** How long tickets are valid. */
  readonly validityMs: Millis
}

/** One service: a pool of workers. */
export interface Service {
  readonly name: string
  /** Whether the workers refuse tasks that exceed their free capacity. */
  readonly guardsRoom: boolean
  /** Whether the pool holds the powered-off machines. */
  readonly isStandby: boolean
}

/** One version of the configuration. */
export interface QueueConfig {
  readonly version: number
  readonly queues: readonly Queue[]
  readonly services: readonly Service[]
  /** The workspaces whose calls are served; null when calls need no keys and nothing is divided among workspaces. */
  readonly workspaces: readonly Workspace[] | null
  /** The configuration document as received. */
  readonly document: string
}

/** Periodic report of a worker about itself. */
export interface WorkerReport {
  readonly id: string
  /** Unix time of the worker's start; distinguishes its incarnations. */
  readonly born: number
  readonly address: string
  readonly service: string
  readonly zone: string
  readonly machine: string
  readonly labels: readonly string[]
  /** Total capacity. */
  readonly room: Resources
  readonly state: 'ready' | 'draining'
  /** Minimum time left before it shuts down while draining, otherwise null. */
  readonly drainLeftMs: Millis | null
  /** Increases with each report. */
  readonly sequence: number
}

/**
 * Outcome of a run as reported by its worker. `lapsed`: its lease expired; `broken`: another member of its gang ended;
 * `alone`: it waited for the other members of its gang until the gang's time-out.
 */
export type RunOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** One current run on a worker. */
export interface RunningTask {
  readonly task: string
  readonly run: number
  readonly checkpoint: string
  /** Progress of the task; for a long-running task, progress of its start-up. */
  readonly percent: number
  /** Tail of the response times in ms for serving tasks, processor use for others; null when not reported. */
  readonly load: number | null
}

/** One ended run, reported until it is acknowledged. */
export interface EndedRun {
  /** Number of the end on its worker, increasing; ends are acknowledged up to a number. */
  readonly seq: number
  readonly task: string
  readonly run: number
  readonly outcome: RunOutcome
  readonly checkpoint: string
}

/** Position of a task: job, occurrence, step and index. */
export interface TaskPosition {
  readonly job: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

/** State of a job as shown to its submitter. */
export type JobPhase = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'

/**
 * Formats the name of a task: `job.occurrence.step.index`.
 *
 * @param position - position of the task
 */
export function formatTask ({ job, occurrence, step, index }: TaskPosition): string {
  return `${job}.${occurrence}.${step}.${index}`
}

/**
 * Parses the name of a task.
 *
 * @param name - a name as formatted by {@link formatTask}
 * @returns the position, or null when the name is malformed
 */
export function parseTask (name: string): TaskPosition | null {
  const match = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/.exec(name)
  if (match === null) return null
  return { job: match[1] as string, occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4]) }
}

/**
 * Returns the key of one incarnation of a worker.
 *
 * @param worker - id and start time of the incarnation
 */
export function workerKey (worker: { readonly id: string, readonly born: number }): string {
  return `${worker.id}@${worker.born}`
}

/** Maximum number of tasks in one job, so that a single request can't exhaust the memory of the control processes. */
export const MAX_TASKS = 10_000

/** Maximum number of tasks in all occurrences of a job together, which are all kept until the job ends. */
export const MAX_REPEATED_TASKS = 100_000
