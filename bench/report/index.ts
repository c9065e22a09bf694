/** What every run of the bench reports. */

/** Use of one process over a run. */
export interface ResourceUsage {
  readonly cpuPercent: number
  readonly rssMb: number
  readonly bytesPerSecond: number
}

/** Result of one scenario. A field that the scenario does not measure is null. */
export interface BenchResult {
  readonly scenario: string
  readonly deployment: string
  readonly faults: readonly string[]
  readonly seed: number
  readonly seconds: number
  readonly requests: number | null
  readonly answered: number | null
  readonly notRun: number | null
  readonly unknown: number | null
  readonly doubles: number | null
  readonly foreign: number | null
  readonly short: number | null
  readonly falseNotRun: number | null
  readonly cut: number | null
  readonly budgetOverruns: number | null
  readonly lostChanges: number | null
  readonly lateAfterLeaving: number | null
  readonly goodputRatio: number | null
  readonly latenessByClass: Readonly<Record<string, number>> | null
  readonly latencyMsByClass: Readonly<Record<string, { readonly p50: number, readonly p99: number }>> | null
  readonly bufferCost: number | null
  readonly rolloutRatio: number | null
  readonly moves: number | null
  readonly inForceMsMax: number | null
  readonly control: Readonly<Record<string, ResourceUsage>> | null
  /** Figures that only this scenario has. */
  readonly extra: Readonly<Record<string, number>>
  /** What must not have happened, in sentences. */
  readonly violations: readonly string[]
}

/** Counts that must be zero. */
const COUNTS_THAT_MUST_BE_ZERO = ['doubles', 'foreign', 'short', 'falseNotRun', 'cut', 'budgetOverruns', 'lostChanges', 'lateAfterLeaving'] as const

/** Fields of a result that a scenario fills in. */
export type Measurements = Partial<Omit<BenchResult, 'scenario' | 'deployment' | 'faults' | 'seed' | 'seconds'>>

/**
 * Completes a result: what was not measured is null.
 *
 * @param runInfo - which run it was
 * @param measurements - what was measured
 */
export function completeResult (runInfo: Pick<BenchResult, 'scenario' | 'deployment' | 'faults' | 'seed' | 'seconds'>, measurements: Measurements): BenchResult {
  return {
    requests: null,
    answered: null,
    notRun: null,
    unknown: null,
    doubles: null,
    foreign: null,
    short: null,
    falseNotRun: null,
    cut: null,
    budgetOverruns: null,
    lostChanges: null,
    lateAfterLeaving: null,
    goodputRatio: null,
    latenessByClass: null,
    latencyMsByClass: null,
    bufferCost: null,
    rolloutRatio: null,
    moves: null,
    inForceMsMax: null,
    control: null,
    extra: {},
    violations: [],
    ...runInfo,
    ...measurements
  }
}

/**
 * Lists what makes a run fail.
 *
 * @param result - the run's result
 */
export function listFailures (result: BenchResult): string[] {
  const counts = COUNTS_THAT_MUST_BE_ZERO.filter((name) => (result[name] ?? 0) > 0).map((name) => `${name} is ${result[name] ?? 0}`)
  return [...counts, ...result.violations]
}

/**
 * Lays a result out for people.
 *
 * @param result - the run's result
 */
export function formatResult (result: BenchResult): string {
  const lines: string[] = []
  for (const [name, value] of Object.entries(result)) {
    if (value === null || name === 'control') continue
    lines.push(`${name.padEnd(18)} ${typeof value === 'object' ? JSON.stringify(value) : String(value)}`)
  }
  for (const [name, usage] of Object.entries(result.control ?? {})) {
    lines.push(`${name.padEnd(18)} ${usage.cpuPercent.toFixed(2)} % of a core, ${usage.rssMb.toFixed(1)} MB, ${usage.bytesPerSecond.toFixed(0)} bytes/s`)
  }
  const failures = listFailures(result)
  lines.push(failures.length === 0 ? 'All counts that must be zero are zero.' : `FAILED: ${failures.join('; ')}`)
  return lines.join('\n')
}
