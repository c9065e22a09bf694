/** Defines the result of a scenario, decides whether it failed and formats it. */

/** Resource usage of one process over a scenario: mean processor use of one core, resident memory at the end, mean traffic. */
export interface ResourceUsage {
  readonly cpuPercent: number
  readonly rssMb: number
  readonly bytesPerSecond: number
}

/** Result of one scenario. A field that the scenario doesn't measure is null. */
export interface BenchResult {
  readonly scenario: string
  readonly deployment: string
  readonly faults: readonly string[]
  readonly seed: number
  readonly seconds: number
  /** Requests sent, resends included. */
  readonly requests: number | null
  /** Keys that were answered. */
  readonly answered: number | null
  /** Keys whose last outcome says that the request was not run. */
  readonly notRun: number | null
  /** Keys whose outcome is unknown. */
  readonly unknown: number | null
  /** Keys or jobs that may run only once and ran more often. */
  readonly doubles: number | null
  /** Answers that belong to another key. */
  readonly foreign: number | null
  /** Answers that are shorter than the endpoint's answer. */
  readonly short: number | null
  /** Keys reported as not run in every attempt although an endpoint ran them. */
  readonly falseNotRun: number | null
  /** Requests that a planned stop of an endpoint cut off. */
  readonly cut: number | null
  /** Drains that were started although the budget was exhausted. */
  readonly budgetOverruns: number | null
  /** Accepted changes that the history lacks or has under another version. */
  readonly lostChanges: number | null
  /** Requests that reached an endpoint more than 3 s after it began to drain. */
  readonly lateAfterLeaving: number | null
  /** Requests answered in surges as a share of what the slots could answer. */
  readonly goodputRatio: number | null
  /** Share of requests answered after their deadline, or of jobs started too late, by class. */
  readonly latenessByClass: Readonly<Record<string, number>> | null
  readonly latencyMsByClass: Readonly<Record<string, { readonly p50: number, readonly p99: number }>> | null
  /** Mean share of all VMs that were idle in the spare pool. */
  readonly bufferCost: number | null
  /** Duration of a wave as a multiple of its lower bound. */
  readonly rolloutRatio: number | null
  /** Moves of VMs and tasks an hour. */
  readonly moves: number | null
  /** Longest time until a change was in force everywhere, in milliseconds. */
  readonly inForceMsMax: number | null
  /** Resource usage by process. */
  readonly control: Readonly<Record<string, ResourceUsage>> | null
  /** Figures that are specific to the scenario. */
  readonly extra: Readonly<Record<string, number>>
  /** Broken guarantees, in sentences; any of them fails the run. */
  readonly violations: readonly string[]
}

/** Fields that fail the run when they are above zero. */
const COUNTS_THAT_MUST_BE_ZERO = ['doubles', 'foreign', 'short', 'falseNotRun', 'cut', 'budgetOverruns', 'lostChanges', 'lateAfterLeaving'] as const

/** Fields of a result that a scenario measures. */
export type Measurements = Partial<Omit<BenchResult, 'scenario' | 'deployment' | 'faults' | 'seed' | 'seconds'>>

/**
 * Creates a complete result, with null in the fields that weren't measured.
 *
 * @param runInfo - scenario and options of the run
 * @param measurements - fields that the scenario measured
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
 * Lists the counts and violations that make a run fail.
 *
 * @param result - result of the run
 * @returns one sentence for each failure; empty when the run passed
 */
export function listFailures (result: BenchResult): string[] {
  const counts = COUNTS_THAT_MUST_BE_ZERO.filter((name) => (result[name] ?? 0) > 0).map((name) => `${name} is ${result[name] ?? 0}`)
  return [...counts, ...result.violations]
}

/**
 * Formats a result as text, one field a line.
 *
 * @param result - result of the run
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
  lines.push(failures.length === 0 ? 'Passed: all counts that must be zero are zero, and there are no violations.' : `FAILED: ${failures.join('; ')}`)
  return lines.join('\n')
}
