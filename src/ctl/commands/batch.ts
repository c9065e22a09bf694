/** Commands for jobs of steps, for control processes that run on the users' platform. */
import { Argument, Option, type Command } from 'commander'
import { BATCH_EXPLAIN_KINDS, type BatchExplainKind } from '../../batch/explainBatch/index.js'
import { SystemClock } from '../../clock/index.js'
import { LeaderClient } from '../../links/leaderClient/index.js'
import { MsgpackLinks } from '../../links/msgpackLink/index.js'
import { envVariableOf } from '../../settings/index.js'
import { parseAddresses } from '../../settings/parsers.js'
import { print } from '../print/index.js'
import { CommandError, EXIT_CODES } from '../session/index.js'

/** Time in which a leader must be found and answer. */
const LEADER_TIMEOUT_MS = 12_000

/**
 * Adds the commands for jobs of steps.
 *
 * @param program - program to extend
 */
export function addBatchCommands (program: Command): void {
  const batch = program.command('batch').description('show jobs of steps and what they wait for, for control processes on the users\' platform')
  batch.command('explain')
    .description('explain the state of an object in sentences')
    .addArgument(new Argument('<kind>', 'kind of the object').choices(BATCH_EXPLAIN_KINDS))
    .addArgument(new Argument('[name]', 'name of the object; a worker can also be named by its id or machine').default(''))
    .addOption(new Option('--internal <addresses>', 'comma-separated internal addresses of control processes').env(envVariableOf('internal')).makeOptionMandatory())
    .action(async (what: BatchExplainKind, name: string, options: { internal: string }) => {
      const lines = await explain(options.internal, what, name)
      print({ lines }, program.opts<{ json?: boolean }>().json === true, lines)
    })
}

async function explain (internal: string, what: BatchExplainKind, name: string): Promise<readonly string[]> {
  const addresses = parseInternalAddresses(internal)
  const links = new MsgpackLinks()
  const clock = new SystemClock()
  try {
    const answer = await new LeaderClient(links, clock, () => addresses).ask({ kind: 'explain', what, name }, clock.now() + LEADER_TIMEOUT_MS)
    if (answer.kind === 'explained') return answer.lines
    throw new CommandError(answer.kind === 'unanswered' ? `No leader answered: ${answer.reason}.` : `Unexpected answer "${answer.kind}" from the leader.`, EXIT_CODES.unreachable)
  } finally {
    links.close()
  }
}

function parseInternalAddresses (internal: string): readonly string[] {
  try {
    return parseAddresses(internal)
  } catch (err) {
    throw new CommandError(`--internal: ${(err as Error).message}`, EXIT_CODES.badInput)
  }
}
