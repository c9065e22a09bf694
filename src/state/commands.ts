/** Commands of the replicated log and their results. */
import type { Millis } from '../clock/index.js'
import type { InventoryVm } from '../contracts/inventory/index.js'
import type { Rules } from '../contracts/rules/index.js'
import type { DrainPurpose, TaskReport, VmHealth, WorkClass } from '../contracts/types.js'
import type { FleetData, JobRequest, StoredAnswer } from './types.js'

/** Selects jobs; every field that is set must match. */
export interface JobSelector {
  readonly id?: string
  readonly team?: string
  readonly class?: WorkClass
  readonly label?: string
}

/**
 * Input and result of each command, by command type. A result that is a number counts the items that the command changed
 * or accepted; a boolean tells whether it changed the state.
 */
export interface CommandMap {
  applyConfig: {
    input: { operation: string, expectedVersion: number, by: string, summary: string, vms: readonly InventoryVm[] | null, rules: Rules | null }
    result: ApplyResult
  }
  enterEntry: { input: { entry: string }, result: boolean }
  dropEntries: { input: { entries: readonly string[] }, result: number }
  setHealth: { input: { changes: ReadonlyArray<{ vm: string, health: VmHealth }> }, result: number }
  startDrain: { input: { vms: readonly string[], purpose: DrainPurpose }, result: { started: string[], refused: Array<{ vm: string, reason: string }> } }
  cancelDrain: { input: { vms: readonly string[] }, result: string[] }
  startReboot: { input: { vm: string, bootBefore: string | null }, result: boolean }
  finishDrain: { input: { vm: string }, result: boolean }
  startWave: { input: { operation: string, vms: readonly string[] }, result: { wave: string } }
  setWave: { input: { wave: string, state: 'running' | 'paused' | 'aborted', reason: string }, result: 'changed' | 'unchanged' | 'unknown' }
  claim: { input: { service: string, key: string, created: Millis, request: string, entry: string }, result: ClaimResult }
  settle: { input: { settlements: readonly Settlement[] }, result: number }
  submitJob: { input: JobRequest, result: { job: string, state: string, reason: string } }
  cancelJobs: { input: { operation: string, selector: JobSelector }, result: { cancelled: number } }
  placeTasks: { input: { placements: ReadonlyArray<{ job: string, vm: string, boot: string }> }, result: number }
  reportTasks: { input: { vm: string, reports: readonly TaskReport[] }, result: number }
  revokeTasks: { input: { jobs: readonly string[], reason: string }, result: number }
  checkpointTasks: { input: { jobs: readonly string[] }, result: number }
  endRevocation: { input: { jobs: ReadonlyArray<{ job: string, token: number }> }, result: number }
  purge: { input: Record<never, never>, result: number }
}

/** Type of a command. */
export type CommandType = keyof CommandMap

/** A command as it is written to the log. `at` is the leader's wall clock in milliseconds. */
export type Command<K extends CommandType = CommandType> = { [T in K]: { readonly type: T, readonly at: Millis } & Readonly<CommandMap[T]['input']> }[K]

/** Result of a command. */
export type CommandResult<K extends CommandType> = CommandMap[K]['result']

/** Handles a command. It must be deterministic: only the state, the command and its log index may affect the result. */
export type CommandHandler<K extends CommandType> = (data: FleetData, command: Command<K>, index: number) => CommandResult<K>

/** Handlers by command type. */
export type CommandHandlers = { readonly [K in CommandType]: CommandHandler<K> }

/**
 * Result of a configuration change. `rev` is the revision that entries must acknowledge, `winner` the accepted change
 * that it conflicts with.
 */
export type ApplyResult =
  | { readonly status: 'accepted', readonly version: number, readonly rev: number }
  | { readonly status: 'conflict', readonly version: number, readonly winner: string }

/**
 * Result of an entry's claim to run a non-repeatable request. `granted` permits the run. `running` names the entry that
 * runs an earlier request with the same key, `answered` has the answer to it, and `unknown` means that it may have run and
 * that no answer is stored. `expired` means that the key is too old.
 */
export type ClaimResult =
  | { readonly status: 'granted' }
  | { readonly status: 'running', readonly entry: string }
  | { readonly status: 'answered', readonly answer: StoredAnswer }
  | { readonly status: 'unknown', readonly reason: string }
  | { readonly status: 'expired' }

/** Outcome of a claimed request. */
export interface Settlement {
  readonly service: string
  readonly key: string
  readonly request: string
  /** `notRun` releases the claim, so that the key can be claimed again. */
  readonly outcome: 'answered' | 'notRun' | 'unknown'
  readonly answer: StoredAnswer | null
}
