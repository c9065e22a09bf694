/** What a scenario is. */
import type { DeploymentName } from '../harness/fleet.js'
import type { Measurements } from '../report/index.js'

/** What a run is asked for. */
export interface RunOptions {
  readonly seed: number
  readonly seconds: number
  readonly deployment: DeploymentName
  readonly faults: readonly string[]
}

/** One scenario of the bench. */
export interface Scenario {
  readonly name: string
  /** One line for `--list`. */
  readonly description: string
  run (options: RunOptions): Promise<Measurements>
}
