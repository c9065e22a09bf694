/** Command line of the soak test: repeats seeded runs of the real programs under faults and prints the replay command of each failure. */
import { Command, Option } from 'commander'
import { runSoak } from '../integration/soak/run.js'
import { FLEETS, type DeploymentName } from './harness/fleet.js'
import { completeResult, listFailures } from './report/index.js'
import { mixed } from './scenarios/mixed.js'

/** Length of one run of requests. */
const SECONDS_PER_RUN = 30

/** Time with faults in one run of jobs on the users' platform. */
const JOBS_SECONDS_PER_RUN = 10

async function main (): Promise<number> {
  const program = new Command('soak')
    .addOption(new Option('--what <programs>', 'requests: entry and control in the scenario "mixed"; jobs: the programs of the users\' platform').choices(['requests', 'jobs']).default('requests'))
    .option('--minutes <m>', 'length of the soak test in minutes; the last run may exceed it', '30')
    .option('--seed <n>', 'seed of the first run; each further run uses the next one', '1')
    .parse()
  const { what, minutes, seed } = program.opts<{ what: 'requests' | 'jobs', minutes: string, seed: string }>()
  const until = Date.now() + Number(minutes) * 60_000
  return await (what === 'jobs' ? soakJobs(Number(seed), until) : soakRequests(Number(seed), until))
}

/** Repeats runs of jobs with consecutive seeds until a wall clock, in milliseconds; returns the exit code. */
async function soakJobs (seed: number, until: number): Promise<number> {
  let failures = 0
  let runs = 0
  for (let runSeed = seed; Date.now() < until; runSeed += 1) {
    const result = await runSoak(runSeed, JOBS_SECONDS_PER_RUN)
    runs += 1
    if (result.violations.length > 0) failures += 1
    process.stdout.write(`${JSON.stringify({ ...result, ...(result.violations.length > 0 ? { replay: `SEED=${runSeed} npx mocha integration/soak/test.ts` } : {}) })}\n`)
  }
  process.stdout.write(`${runs} runs, ${failures} with failures\n`)
  return failures === 0 ? 0 : 1
}

/** Repeats the mixed scenario with consecutive seeds and both deployments in turn; returns the exit code. */
async function soakRequests (seed: number, until: number): Promise<number> {
  const deployments = Object.keys(FLEETS) as DeploymentName[]
  let failures = 0
  let runs = 0
  for (let runSeed = seed; Date.now() < until; runSeed += 1) {
    const runInfo = { scenario: mixed.name, deployment: deployments[runSeed % deployments.length] ?? 'inla', faults: [], seed: runSeed, seconds: SECONDS_PER_RUN }
    const replay = `npm run --silent bench -- --scenario mixed --deployment ${runInfo.deployment} --seed ${runSeed} --seconds ${SECONDS_PER_RUN} --json`
    runs += 1
    try {
      const result = completeResult(runInfo, await mixed.run(runInfo))
      const found = listFailures(result)
      if (found.length > 0) failures += 1
      process.stdout.write(`${JSON.stringify({ seed: runSeed, deployment: runInfo.deployment, failures: found, answered: result.answered, notRun: result.notRun, unknown: result.unknown, inForceMsMax: result.inForceMsMax, lateness: result.latenessByClass, extra: result.extra, ...(found.length > 0 ? { replay } : {}) })}\n`)
    } catch (err) {
      failures += 1
      process.stdout.write(`${JSON.stringify({ seed: runSeed, deployment: runInfo.deployment, failures: [(err as Error).message.split('\n')[0]], replay })}\n`)
    }
  }
  process.stdout.write(`${runs} runs, ${failures} with failures\n`)
  return failures === 0 ? 0 : 1
}

process.exit(await main())
