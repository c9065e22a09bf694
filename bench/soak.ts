/** Soaks: many seeded runs of the real programs under faults, each failure written with its replay. */
import { Command, Option } from 'commander'
import { runSoak } from '../integration/soak/run.js'
import { FLEETS, type DeploymentName } from './harness/fleet.js'
import { completeResult, listFailures } from './report/index.js'
import { mixed } from './scenarios/mixed.js'

const SECONDS_PER_RUN = 30

/** Seconds of faults in one run of jobs on the users' platform. */
const JOBS_SECONDS_PER_RUN = 10

async function main (): Promise<number> {
  const program = new Command('soak')
    .addOption(new Option('--what <programs>', 'requests: entry and control with all scenarios mixed; jobs: the programs of the users\' platform').choices(['requests', 'jobs']).default('requests'))
    .option('--minutes <m>', 'how long', '30')
    .option('--seed <n>', 'first seed', '1')
    .parse()
  const { what, minutes, seed } = program.opts<{ what: 'requests' | 'jobs', minutes: string, seed: string }>()
  const until = Date.now() + Number(minutes) * 60_000
  return await (what === 'jobs' ? soakJobs(Number(seed), until) : soakRequests(Number(seed), until))
}

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

/** Runs the mixed scenario over seeds and both deployments. */
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
