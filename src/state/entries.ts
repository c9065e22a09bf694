/** Handlers of the commands about entries that may hold view leases. */
import type { CommandHandlers } from './commands.js'

/** Handlers of the commands about entries, by command type. */
export const entryHandlers: Pick<CommandHandlers, 'enterEntry' | 'dropEntries'> = {
  enterEntry: (data, { entry }) => {
    const isNew = !data.entries.has(entry)
    data.entries.add(entry)
    return isNew
  },

  dropEntries: (data, { entries }) => entries.filter((entry) => data.entries.delete(entry)).length
}
