/** Interface of the planners that run while a process leads, and their dependencies. */
import type { Clock } from '../../clock/index.js'
import type { EndpointRegistry } from '../../endpoints/registry/index.js'
import type { EntryRegistry } from '../../links/entryRegistry/index.js'
import type { Logger } from '../../logs/index.js'
import type { PlatformClient } from '../../platform/client/index.js'
import type { CommandMap, CommandResult, CommandType } from '../../state/commands.js'
import type { FleetData } from '../../state/types.js'

/** Commits a command through the replicated log and returns its result. */
export type Propose = <K extends CommandType>(type: K, input: CommandMap[K]['input']) => Promise<CommandResult<K>>

/** Dependencies of the planners during one term as leader. */
export interface SessionContext {
  readonly clock: Clock
  /** Clock reading at which the term began. */
  readonly since: number
  readonly data: () => FleetData
  readonly propose: Propose
  readonly entries: EntryRegistry
  readonly endpoints: EndpointRegistry
  readonly platform: PlatformClient
  readonly log: Logger
}

/** A control loop that runs until the term ends. */
export interface Planner {
  readonly name: string
  /** Maximum pause between two cycles, in milliseconds; a change starts the next cycle earlier. */
  readonly intervalMs: number
  /** Runs one cycle. */
  plan (): Promise<void>
}
