/** State that the simulated workers of one simulation share. */
import type { ManualClock } from '../../clock/index.js'
import type { Step } from '../types.js'
import type { CapOracle } from './capOracle.js'
import type { EndOracle, Violation } from './endOracle.js'
import type { Random } from './random.js'
import type { SimWorker } from './simFleet.js'
import type { SimGangs } from './simGang.js'
import type { CallFaults, SimVariant } from './simVariant.js'

/** State shared by all simulated workers. */
export interface SimWorld {
  /** Tasks that crash each worker that starts them. */
  readonly crashingTasks: Set<string>
  /** Ids of jobs whose tasks fail wherever they run. */
  readonly hopelessJobs?: Set<string>
  /** Number of workers that have crashed while a task ran there, by task. */
  readonly crashesUnder: Map<string, number>
  /** Number of starts after the third of those crashes, by task. */
  readonly startsAfterThirdCrash: Map<string, number>
  /** Called when a worker has crashed because of a task. */
  onCrash: (worker: SimWorker) => void
  readonly clock: ManualClock
  readonly random: Random
  readonly violations: Violation[]
  readonly getStep: (task: string) => Step
  /** Workers on which each task is running, by task. */
  readonly runningOn: Map<string, Set<SimWorker>>
  /** Tasks whose outcome `done` was acknowledged. */
  readonly finishedTasks: Set<string>
  faults: CallFaults
  /** Plain by default. */
  readonly variant?: SimVariant
  /** Checks the ends as well, where it is set. */
  readonly oracle?: EndOracle
  /** Checks the caps of workspaces, where there are some. */
  capOracle?: CapOracle
  /** Prints what the workers do. */
  readonly trace?: (event: string) => void
  /** Set where steps may be gangs. */
  readonly gangs?: SimGangs
}
