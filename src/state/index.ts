/** Replicated state machine of the fleet. */
import { Packr } from 'msgpackr/pack'
import { claimHandlers } from '../callers/claims/index.js'
import type { StateMachine } from '../consensus/types.js'
import { jobHandlers } from '../jobs/commands/index.js'
import { machineHandlers } from '../machines/commands/index.js'
import { waveHandlers } from '../waves/commands/index.js'
import type { Command, CommandHandler, CommandHandlers, CommandType } from './commands.js'
import { configHandlers } from './config.js'
import { entryHandlers } from './entries.js'
import { purgeHandlers } from './purge.js'
import { createFleetData, type FleetData } from './types.js'

const HANDLERS: CommandHandlers = {
  ...configHandlers,
  ...entryHandlers,
  ...machineHandlers,
  ...waveHandlers,
  ...claimHandlers,
  ...jobHandlers,
  ...purgeHandlers
}

/** Commands that may change the view of the entries. */
const VIEW_COMMANDS: ReadonlySet<CommandType> = new Set(['applyConfig', 'setHealth', 'startDrain', 'cancelDrain', 'startReboot', 'finishDrain', 'cancelJobs', 'placeTasks', 'reportTasks', 'revokeTasks', 'checkpointTasks'])

/** Applies commands to {@link FleetData}, and writes and reads its snapshots. */
export class FleetState implements StateMachine {
  #data = createFleetData()

  /** The current state. Only {@link FleetState.apply} and {@link FleetState.restore} may change it. */
  get data (): FleetData {
    return this.#data
  }

  /**
   * Applies a committed command.
   *
   * @param index - log index of the command
   * @param command - the command; its type must be known
   * @returns the result of its handler
   */
  apply (index: number, command: unknown): unknown {
    const typedCommand = command as Command
    this.#data.now = Math.max(this.#data.now, typedCommand.at)
    const handler = HANDLERS[typedCommand.type] as CommandHandler<typeof typedCommand.type>
    if (VIEW_COMMANDS.has(typedCommand.type)) this.#data.viewRev = index
    return handler(this.#data, typedCommand, index)
  }

  /** Returns a snapshot of the state. */
  serialize (): Uint8Array {
    return new Packr({ useRecords: true, moreTypes: true }).pack(this.#data)
  }

  /**
   * Replaces the state by that of a snapshot.
   *
   * @param data - the snapshot
   */
  restore (data: Uint8Array): void {
    this.#data = new Packr({ useRecords: true, moreTypes: true }).unpack(data) as FleetData
  }
}
