/** Types that callers, endpoints, entries and control share. */
import type { Millis } from '../clock/index.js'

/** Outcome of a request. `notRun` guarantees that it did not run and will not run. */
export type Outcome = 'answered' | 'notRun' | 'unknown'

/** Priority of work, highest first. */
export type WorkClass = 'urgent' | 'normal' | 'bulk'

/** All classes, highest priority first. */
export const WORK_CLASSES: readonly WorkClass[] = ['urgent', 'normal', 'bulk']

/** Whether a VM is in contact: `absent` until its first announcement, `lost` once its announcements stop. */
export type VmHealth = 'absent' | 'up' | 'lost'

/** Phase of a VM in a planned stop. */
export type VmPhase = 'serving' | 'draining' | 'rebooting'

/** Why a VM is being drained. */
export type DrainPurpose =
  | { readonly kind: 'wave', readonly wave: string }
  | { readonly kind: 'move', readonly toPool: string }

/** Resources that a VM offers to jobs. */
export interface Capacity {
  readonly cores: number
  readonly memoryGb: number
  readonly accelerators: number
}

/** Order to a worker to run or checkpoint a task. */
export interface TaskOrder {
  readonly job: string
  /** Fencing token, which increases with each placement of the job. */
  readonly token: number
  /** Incarnation of the endpoint that the task was placed on. A later incarnation has lost the task. */
  readonly boot: string
  readonly action: 'run' | 'checkpoint'
  readonly payload?: unknown
  readonly checkpoint?: unknown
}

/** Report of a worker on a task. */
export interface TaskReport {
  readonly job: string
  readonly token: number
  /** `stopped` means that the worker ended the unfinished task, since its lease expired. */
  readonly state: 'running' | 'done' | 'failed' | 'checkpointed' | 'stopped'
  readonly checkpoint?: unknown
  readonly result?: unknown
  /** Resources used so far, measured with some delay. */
  readonly usage?: { readonly cores: number, readonly memoryGb: number, readonly ranMs: Millis }
}
