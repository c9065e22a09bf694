/** Jobs of steps, the queues that they are handed in to, and the workers that run their tasks. */
import type { Millis } from '../clock/index.js'

/** Room on a worker, or what a task takes of it. */
export interface Resources {
  /** Thousandths of a core. */
  readonly cpu: number
  /** Megabytes. */
  readonly memory: number
  /** Whole accelerators. */
  readonly accelerators: number
}

/** One step of a job: a number of equal tasks. */
export interface Step extends Resources {
  readonly count: number
  /** The submitter's rough estimate of one task's run time. */
  readonly estimateMs: Millis
  /** Numbers of earlier steps that must be done first. */
  readonly after: readonly number[]
  readonly isCheckpointable: boolean
  /** The tasks work only together. */
  readonly isGang: boolean
  /** The gang is slower across racks. */
  readonly prefersOneRack: boolean
  /** Label that the worker must have, or an empty string. */
  readonly label: string
  /** Rack that holds the input data, or an empty string. */
  readonly dataRack: string
  /** Most tasks of this step on one worker; 0 for no limit. */
  readonly maxPerWorker: number
  /** Copies of one task may run side by side. */
  readonly allowsCopies: boolean
  /** The tasks run until the job is cancelled. */
  readonly isLasting: boolean
  /** What the tasks run; equal images behave alike. */
  readonly image: string
  /** Bound of the response time's tail of tasks that serve; 0 for none. */
  readonly tailTargetMs: Millis
  /** The tasks use processor time that is left over, and take no processor room. */
  readonly isFiller: boolean
  /** How many tasks that last may be away by our own actions; 0 when not limited. */
  readonly maxUnavailable: number
}

/** What a submitter hands in. */
export interface JobSpec {
  readonly id: string
  /** Opaque text passed to each task. */
  readonly payload: string
  readonly steps: readonly Step[]
  /** How often the steps run by the time of day; 0 for a job that runs once, now. */
  readonly repeatCount: number
  /** Unix time at which the first occurrence is due. */
  readonly startAt: Millis
  readonly intervalMs: Millis
}

/** One queue as configured. */
export interface Queue {
  readonly name: string
  readonly host: string
  /** Ends with a slash or not, as configured. */
  readonly prefix: string
  readonly service: string
  /** 0 comes first. */
  readonly priority: number
  readonly timeoutMs: Millis
  /** Fixed part of a job's latency objective. */
  readonly targetLatencyMs: Millis
  /** The objective's factor on the job's longest chain of work. */
  readonly slackFactor: number
  /** Failed ends after which a task is given up; 0 for no limit. */
  readonly maxAttempts: number
  /** Set when an advisor decides which workers may run a step. */
  readonly advice: AdviceSettings | null
}

/** How the advisor of a queue behaves. */
export interface AdviceSettings {
  readonly decisionMs: Millis
  readonly perWorkerMs: Millis
  readonly validityMs: Millis
}

/** One service: a pool of workers. */
export interface Service {
  readonly name: string
  /** The workers refuse what does not fit. */
  readonly guardsRoom: boolean
  /** The pool's machines are switched off. */
  readonly isStandby: boolean
}

/** One version of the configuration. */
export interface QueueConfig {
  readonly version: number
  readonly queues: readonly Queue[]
  readonly services: readonly Service[]
  /** The document as it was received. */
  readonly document: string
}

/** What a worker says of itself. */
export interface WorkerReport {
  readonly id: string
  /** Unix time of the worker's start: tells its lives under one id apart. */
  readonly born: number
  readonly address: string
  readonly service: string
  readonly zone: string
  readonly machine: string
  readonly labels: readonly string[]
  readonly room: Resources
  readonly state: 'ready' | 'draining'
  /** Least time left while it drains, or null. */
  readonly drainLeftMs: Millis | null
  /** Rises with each report. */
  readonly sequence: number
}

/** How a run ended, as its worker tells. */
export type RunOutcome = 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone'

/** One run that a worker has at the moment. */
export interface RunningTask {
  readonly task: string
  readonly run: number
  readonly checkpoint: string
  /** How much is done, or how far a task that lasts has come in its start. */
  readonly percent: number
  /** Tail of the response time in ms for tasks that serve, processor use for others; null when not told. */
  readonly load: number | null
}

/** One ended run, listed until it is acknowledged. */
export interface EndedRun {
  readonly seq: number
  readonly task: string
  readonly run: number
  readonly outcome: RunOutcome
  readonly checkpoint: string
}

/** A task's place: job, occurrence, step and index. */
export interface TaskPosition {
  readonly job: string
  readonly occurrence: number
  readonly step: number
  readonly index: number
}

/** What a submitter is shown of a job. */
export type JobPhase = 'queued' | 'running' | 'completed' | 'failed' | 'cancelled'

/** @param place - the task's place */
export function formatTask ({ job, occurrence, step, index }: TaskPosition): string {
  return `${job}.${occurrence}.${step}.${index}`
}

/**
 * Reads a task's name.
 *
 * @param name - as {@link formatTask} writes it
 * @returns the place, or null when it is no such name
 */
export function parseTask (name: string): TaskPosition | null {
  const match = /^([^.]+)\.(\d+)\.(\d+)\.(\d+)$/.exec(name)
  if (match === null) return null
  return { job: match[1] as string, occurrence: Number(match[2]), step: Number(match[3]), index: Number(match[4]) }
}

/** @param worker - id and birth of one life of a worker */
export function workerKey (worker: { readonly id: string, readonly born: number }): string {
  return `${worker.id}@${worker.born}`
}

/** Most tasks of one job, so that one body can't fill the memory of the control processes. */
export const MAX_TASKS = 10_000
