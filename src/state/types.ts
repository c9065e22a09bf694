/** Types of the replicated state. Their field names are stored in snapshots. */
import type { Millis } from '../clock/index.js'
import type { InventoryVm } from '../contracts/inventory/index.js'
import type { Rules } from '../contracts/rules/index.js'
import type { DrainPurpose, TaskOrder, VmHealth, VmPhase, WorkClass } from '../contracts/types.js'

/** A VM. Only the `finishDrain` command changes its pool. */
export interface VmRecord extends InventoryVm {
  /** Log index of the last change that is part of the entries' view. */
  rev: number
  health: VmHealth
  phase: VmPhase
  /** Why the VM drains or reboots; null while it serves. */
  purpose: DrainPurpose | null
  /** When the current phase began. */
  phaseSince: Millis
  /**
   * Boot identity of the VM when its last reboot was decided, or null when it was unknown; another one shows that the VM
   * has rebooted.
   */
  bootBefore: string | null
  lastMaintainedAt: Millis
  quarantinedUntil: Millis
  /** Ids of the jobs whose tasks have failed on the VM since its last success. */
  failedJobs: string[]
  tasks: Map<string, TaskOrder>
}

/**
 * State of a job. In state `revoking`, its task is revoked but its lease may not have expired; `parked` means that the
 * job has failed permanently; `unknown` means that a non-repeatable job may have run; `refused` means that no VM could
 * run the job when it was submitted.
 */
export type JobState = 'queued' | 'placed' | 'running' | 'revoking' | 'done' | 'cancelled' | 'unknown' | 'parked' | 'refused'

/** A job as submitted by a caller. */
export interface JobRequest {
  readonly key: string
  readonly service: string
  readonly team: string
  readonly class: WorkClass
  readonly cores: number
  readonly memoryGb: number
  readonly accelerators: number
  /** Run time as estimated by the caller. */
  readonly runMs: Millis
  /** Whether the job may be run again when it may already have run. */
  readonly repeatable: boolean
  readonly checkpointable: boolean
  readonly label: string
  readonly payload: unknown
}

/** A job and its progress. */
export interface Job extends JobRequest {
  readonly id: string
  state: JobState
  readonly submittedAt: Millis
  startedAt: Millis | null
  endedAt: Millis | null
  vm: string | null
  /** Fencing token of the last placement. */
  token: number
  checkpoint: unknown
  result: unknown
  /** VMs on which the job has failed. */
  failedOn: string[]
  /** Why the job is in its state, as a sentence for people. */
  reason: string
  /** Whether cancellation was requested. The job is then not queued again when its task ends without completing. */
  cancelRequested: boolean
}

/** State of a wave. */
export type WaveState = 'running' | 'paused' | 'aborted' | 'done'

/** A maintenance wave over a set of VMs. */
export interface Wave {
  readonly id: string
  state: WaveState
  reason: string
  readonly startedAt: Millis
  endedAt: Millis | null
  /** VMs that are not yet stopped. */
  pending: string[]
  /** VMs that are stopped or being stopped. */
  active: string[]
  done: string[]
  /** VMs that were removed from the inventory before the wave was done with them. */
  failed: string[]
}

/** An answer stored for resends. */
export interface StoredAnswer {
  readonly status: number
  readonly headers: Readonly<Record<string, string>>
  /** Body in base64. */
  readonly body: string
}

/** Permission to run a non-repeatable request once. */
export interface Claim {
  /** Id of the request that holds the claim; the same request is granted it again. */
  readonly request: string
  readonly entry: string
  readonly claimedAt: Millis
  /** `running` until the entry reports the outcome. */
  state: 'running' | 'answered' | 'unknown'
  /** Answer for resends; null until there is one, and again once it has been evicted. */
  answer: StoredAnswer | null
}

/** An accepted configuration change, as listed by `history`. */
export interface HistoryItem {
  readonly version: number
  readonly index: number
  readonly at: Millis
  readonly by: string
  readonly operation: string
  readonly summary: string
}

/** Result of an operation, returned to resends. */
export interface StoredOperation {
  readonly at: Millis
  readonly result: unknown
}

/** The replicated state. */
export interface FleetData {
  /** Largest time stamp of any applied command; serves as the clock of all handlers. */
  now: Millis
  /** Number of accepted configuration changes. */
  version: number
  rules: Rules | null
  /** Log index of the last change of the rules. */
  rulesRev: number
  /** Log index of the last command that may have changed the entries' view. */
  viewRev: number
  vms: Map<string, VmRecord>
  /** Removed VMs with the log index of their removal, from which entries learn to delete them. */
  removedVms: Map<string, number>
  operations: Map<string, StoredOperation>
  history: HistoryItem[]
  /** Entries that hold view leases or may recently have held one. */
  entries: Set<string>
  claims: Map<string, Claim>
  /** Total size of the answers stored in claims, in bytes of base64. */
  storedAnswerBytes: number
  jobs: Map<string, Job>
  /** Job ids by `team/key`. */
  jobKeys: Map<string, string>
  /** Fencing token of the next placement. */
  nextToken: number
  waves: Map<string, Wave>
}

/** Returns the state before the first command. */
export function createFleetData (): FleetData {
  return {
    now: 0,
    version: 0,
    rules: null,
    rulesRev: 0,
    viewRev: 0,
    vms: new Map(),
    removedVms: new Map(),
    operations: new Map(),
    history: [],
    entries: new Set(),
    claims: new Map(),
    storedAnswerBytes: 0,
    jobs: new Map(),
    jobKeys: new Map(),
    nextToken: 1,
    waves: new Map()
  }
}
