/** Defines the calls to the platform that owns the machines, independent of the wire format. */
import type { Millis } from '../clock/index.js'

/** State of one machine. */
export interface MachineStatus {
  readonly machine: string
  readonly service: string
  readonly state: 'up' | 'moving' | 'upkeep' | 'down'
  /** Id of its worker, or an empty string. */
  readonly worker: string
}

/** The platform's answer to an order. */
export type MachineVerdict =
  /** The order is carried out, or was before. */
  | 'accepted'
  /** The platform has seen a higher fencing token for the machine, of a later leader. */
  | 'fenced'
  /** The machine is not up, or is already leaving. */
  | 'busy'
  /** The machine is not part of the wave. */
  | 'wrongWave'
  | 'unknownMachine'
  /** Too many calls; the order was not carried out. */
  | 'throttled'
  /** The platform can't serve orders now; the order was not carried out. */
  | 'unavailable'

/** The leader that sends an order. */
export interface OrderSource {
  /** Name of the process, as holder of the leader lease. */
  readonly holder: string
  /** Fencing token of the term. */
  readonly token: number
}

/** Client of the platform's machines. Every call rejects when its outcome is unknown. */
export interface MachineCalls {
  list (timeoutMs: Millis): Promise<readonly MachineStatus[]>
  startMaintenance (machine: string, wave: number, source: OrderSource, timeoutMs: Millis): Promise<MachineVerdict>
  move (machine: string, service: string, source: OrderSource, timeoutMs: Millis): Promise<MachineVerdict>
}
