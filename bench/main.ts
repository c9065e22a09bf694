/** Command line of the bench: runs one scenario and prints its result. */
import { Command, Option } from 'commander'
import { FLEETS, type DeploymentName } from './harness/fleet.js'
import { completeResult, listFailures, formatResult } from './report/index.js'
import { SCENARIOS } from './scenarios/index.js'

interface BenchOptions {
  readonly scenario?: string
  readonly seed: string
  readonly seconds: string
  readonly deployment: DeploymentName
  readonly fault: readonly string[]
  readonly json?: boolean
  readonly list?: boolean
}

async function main (): Promise<number> {
  const program = new Command('bench')
    .option('--scenario <name>', 'name of the scenario to run')
    .option('--seed <n>', 'seed of every random choice', '1')
    .option('--seconds <s>', 'length of the run in seconds', '20')
    .addOption(new Option('--deployment <name>', 'user whose fleet is simulated').choices(Object.keys(FLEETS)).default('inla'))
    .option('--fault <name>', 'fault that the scenario "mixed" chooses from instead of all; may be repeated', (name: string, names: string[]) => [...names, name], [])
    .option('--json', 'print the result as one JSON object')
    .option('--list', 'list the scenarios and exit')
    .parse()
  const options = program.opts<BenchOptions>()
  if (options.list === true) {
    for (const { name, description } of SCENARIOS) process.stdout.write(`${name.padEnd(18)} ${description}\n`)
    return 0
  }
  const scenario = SCENARIOS.find((each) => each.name === options.scenario)
  if (scenario === undefined) {
    process.stderr.write(`--scenario: expected one of ${SCENARIOS.map((each) => each.name).join(', ')}; got "${options.scenario ?? ''}"\n`)
    return 2
  }
  const runInfo = { scenario: scenario.name, deployment: options.deployment, faults: options.fault, seed: Number(options.seed), seconds: Number(options.seconds) }
  const result = completeResult(runInfo, await scenario.run(runInfo))
  process.stdout.write(`${options.json === true ? JSON.stringify(result) : formatResult(result)}\n`)
  return listFailures(result).length === 0 ? 0 : 1
}

process.exit(await main())
