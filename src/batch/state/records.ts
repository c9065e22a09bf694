/** Records of the replicated state of jobs, workers and waves. */
import type { Millis } from '../../clock/index.js'
import type { CrashSuspicion } from '../judgeCrash/index.js'
import type { JobSpec, Queue, QueueConfig, WorkerReport } from '../types.js'
import type { RateBucket } from '../../workspaces/rateBucket/index.js'
import type { Workspace } from '../../workspaces/types.js'

/** A run whose placement is committed and whose end is not; it may be running. */
export interface ActiveRun {
  readonly run: number
  /** Key of the worker's incarnation. */
  readonly worker: string
  readonly placedAt: Millis
  /** Set once its worker has confirmed that it has begun; missing before, and in snapshots of earlier builds. */
  hasBegun?: true
}

/** One task of one occurrence. */
export interface TaskRecord {
  isDone: boolean
  failures: number
  /** Workers that have crashed under it since a worker last survived a run of it. */
  crashes: number
  /** Machine, or id where the worker named none, of each of them on which no other job had fresh runs. */
  soleCrashesOn: string[]
  /** Highest run number used. */
  lastRun: number
  /** Newest checkpoint that an ended run has left, shared by the members of a gang; empty for none. */
  checkpoint: string
  /** Runs that may be running. */
  active: ActiveRun[]
  /** Keys of the workers on which it failed last, and names of the machines whose worker crashed under it, newest last. */
  failedOn: string[]
  lastEndAt: Millis
}

/** One step of one occurrence. */
export interface StepRecord {
  readonly tasks: TaskRecord[]
  doneCount: number
}

/** One job, from its acceptance until it is purged. */
export interface JobRecord extends JobSpec {
  /** Key of the queue: host and prefix. */
  readonly queue: string
  /** Service of the queue at acceptance, used when the settings of the queue are not known any more. */
  readonly service: string
  /** Name of the workspace that submitted it; empty for none. */
  readonly workspace: string
  /** Whether its workspace had sent more jobs than its weight counts on when it was accepted. */
  readonly isBeyondRate: boolean
  readonly acceptedAt: Millis
  state: 'active' | 'completed' | 'failed' | 'cancelled'
  /** Whether a run of one of its tasks has begun on a worker. Entries of earlier builds set it with the first placement. */
  hasStarted: boolean
  /** Whether a worker has crashed under one of its tasks and no worker has survived a run of that task since. */
  isSuspect: boolean
  /** 0 while the job is active. */
  endedAt: Millis
  /** Step records by number of the occurrence, created on first use. */
  occurrences: Map<number, StepRecord[]>
  doneOccurrences: number
}

/** One incarnation of a worker. */
export interface WorkerRecord extends Omit<WorkerReport, 'state' | 'drainLeftMs' | 'sequence'> {
  isDraining: boolean
}

/**
 * Progress of one machine in a wave. `ordered`: the order is repeated until the platform accepts it; `begun`: the platform
 * has accepted it; `done`: the machine is back; `gone`: the platform doesn't have it, or not in this wave.
 */
export type MaintenanceState = 'waiting' | 'ordered' | 'begun' | 'done' | 'gone'

/** A maintenance wave. */
export interface MaintenanceWave {
  readonly id: number
  readonly machines: Map<string, MaintenanceState>
  readonly startedAt: Millis
  /** Time from the start to the deadline. */
  readonly deadlineMs: Millis
  /** Maximum number of machines in maintenance at a time. */
  readonly cap: number
  /** Whether the maintenance of every machine has at least begun, or the machine is gone. */
  isCompleted: boolean
}

/** A worker that was silent until its lease expired, with the tasks that have crashed it if its next incarnation reports. */
export interface UnconfirmedCrash {
  readonly id: string
  readonly machine: string
  readonly born: number
  readonly tasks: string[]
  readonly at: Millis
}

/** The latest known incarnation of a worker. */
export interface LatestIncarnation {
  readonly born: number
  /** Incarnations under the same id before it. */
  readonly restarts: number
  /** When it was first recorded. */
  readonly since: Millis
  /** When it was last recorded, or dismissed since. */
  readonly seenAt: Millis
  /** When the first run was placed on it; undefined before, and in snapshots of earlier builds. */
  readonly placedAt?: Millis
}

/** All data of the replicated state. */
export interface BatchData {
  /** Highest wall-clock time of the applied commands. */
  now: Millis
  config: QueueConfig | null
  /** Queues that are no longer configured, as they were configured last, by key; see `retireQueues`. */
  retiredQueues: Map<string, Queue>
  /** Workspaces that are no longer configured and have jobs, as they were configured last, by name. */
  retiredWorkspaces: Map<string, Workspace>
  /** How many jobs each workspace may still send within its rate, by name. */
  rateBuckets: Map<string, RateBucket>
  jobs: Map<string, JobRecord>
  workers: Map<string, WorkerRecord>
  waves: Map<number, MaintenanceWave>
  /** By key of the worker's incarnation. */
  unconfirmedCrashes: Map<string, UnconfirmedCrash>
  /** By id of the worker; kept for a while after the worker is dismissed. */
  incarnations: Map<string, LatestIncarnation>
}

/** The end of a run, reported by its worker or concluded by the leader. */
export interface RunEnd {
  readonly task: string
  readonly run: number
  readonly worker: string
  /** See {@link RunOutcome}; also `refused`: it was not started; `lost`: it can no longer be running and reported no end. */
  readonly outcome: 'done' | 'failed' | 'stopped' | 'lapsed' | 'broken' | 'alone' | 'refused' | 'lost'
  readonly checkpoint: string
  /** Set when the leader has concluded the end from the loss of the worker; null when that tells nothing about the task. */
  readonly evidence?: CrashEvidence | null
  /** Whether the worker is known to have ended; otherwise its lease has expired, and it may have been cut off. */
  readonly isCrashConfirmed?: boolean
}

/** What the loss of a worker tells about a run on it; `survived`: the worker had gone on listing the run. */
export type CrashEvidence = CrashSuspicion | 'survived'

/** A run placed on a worker. */
export interface Placement {
  readonly task: string
  readonly run: number
  readonly worker: string
}

/** Places runs on workers, and records which runs that were placed before have begun. */
export interface PlaceCommand {
  readonly type: 'place'
  readonly at: Millis
  readonly placements: readonly Placement[]
  /** Whether the build that placed them also records that they have begun; earlier builds don't. */
  readonly recordsStarts?: true
  /** Placed runs that their workers have confirmed. */
  readonly started?: readonly Placement[]
}

/** Commands of the log, by name. */
export type BatchCommand =
  | { readonly type: 'configure', readonly at: Millis, readonly config: QueueConfig }
  | { readonly type: 'accept', readonly at: Millis, readonly jobs: ReadonlyArray<JobSpec & { readonly queue: string, readonly service: string, readonly workspace?: string }> }
  | { readonly type: 'cancel', readonly at: Millis, readonly ids: readonly string[] }
  | { readonly type: 'end', readonly at: Millis, readonly ends: readonly RunEnd[] }
  | PlaceCommand
  | { readonly type: 'enrol', readonly at: Millis, readonly workers: readonly WorkerRecord[] }
  | { readonly type: 'dismiss', readonly at: Millis, readonly workers: readonly string[] }
  | { readonly type: 'startWave', readonly at: Millis, readonly wave: { readonly id: number, readonly machines: readonly string[], readonly deadlineMs: Millis, readonly cap: number } }
  | { readonly type: 'markUpkeep', readonly at: Millis, readonly wave: number, readonly marks: ReadonlyArray<{ readonly machine: string, readonly state: MaintenanceState }> }
  | { readonly type: 'purge', readonly at: Millis, readonly endedBefore: Millis }

/** Command names. */
export type BatchCommandType = BatchCommand['type']

/** The command with a given name. */
export type BatchCommandOf<K extends BatchCommandType> = Extract<BatchCommand, { readonly type: K }>
