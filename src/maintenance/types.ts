/** Machines as the platform that owns them sees them, in the project's own words. */
import type { Millis } from '../clock/index.js'

/** One machine. */
export interface MachineStatus {
  readonly machine: string
  readonly service: string
  readonly state: 'up' | 'moving' | 'upkeep' | 'down'
  /** Id of its worker, or an empty string. */
  readonly worker: string
}

/** What the platform answers to an order. */
export type MachineVerdict =
  /** It is carried out, now or before. */
  | 'accepted'
  /** A later leader has given an order for the machine. */
  | 'fenced'
  /** It is not up, or on its way out. */
  | 'busy'
  | 'wrongWave'
  | 'unknownMachine'
  /** Too many calls; nothing was done. */
  | 'throttled'
  /** The platform can't do it now; nothing was done. */
  | 'unavailable'

/** Who orders. */
export interface OrderSource {
  readonly holder: string
  readonly token: number
}

/** The platform's machines. Calls reject when their fate is unknown. */
export interface MachineCalls {
  list (timeoutMs: Millis): Promise<readonly MachineStatus[]>
  startMaintenance (machine: string, wave: number, source: OrderSource, timeoutMs: Millis): Promise<MachineVerdict>
  move (machine: string, service: string, source: OrderSource, timeoutMs: Millis): Promise<MachineVerdict>
}
