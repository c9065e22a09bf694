/** Defines the type of a scenario. */
import type { DeploymentName } from '../harness/fleet.js'
import type { Measurements } from '../report/index.js'

/** Options of a run, from the command line. */
export interface RunOptions {
  /** Seed of every random choice. */
  readonly seed: number
  /** Length of the run, in seconds. */
  readonly seconds: number
  readonly deployment: DeploymentName
  /** Names of the faults that `--fault` selects. */
  readonly faults: readonly string[]
}

/** A scenario of the bench. */
export interface Scenario {
  readonly name: string
  /** Description in one line, for `--list`. */
  readonly description: string
  run (options: RunOptions): Promise<Measurements>
}
