/** Checks that no start brings what a workspace has running above its cap and one task more. */
import type { Clock, Millis } from '../../clock/index.js'
import { parseTask } from '../types.js'
import type { Violation } from './endOracle.js'
import type { SimWorld } from './simWorld.js'

/** An order that was sent under an earlier cap may arrive this much later. */
const MAX_ORDER_MS: Millis = 6000

interface CapChange {
  readonly cpu: number
  readonly until: Millis
}

/** Watches the starts on all workers. It sums up what runs, and knows nothing of the leader. */
export class CapOracle {
  readonly #clock: Clock
  readonly #world: SimWorld
  readonly #violations: Violation[]
  readonly #workspaceOf = new Map<string, string>()
  readonly #caps = new Map<string, number>()
  readonly #earlierCaps = new Map<string, CapChange[]>()
  /** Highest use of any workspace with a cap, as a share of it. */
  highestShare = 0

  /**
   * @param clock - source of time
   * @param world - state shared by all workers
   * @param violations - receives what it finds
   */
  constructor (clock: Clock, world: SimWorld, violations: Violation[]) {
    this.#clock = clock
    this.#world = world
    this.#violations = violations
  }

  /**
   * Records the cap of a workspace.
   *
   * @param workspace - its name
   * @param cpu - thousandths of a core
   */
  setCap (workspace: string, cpu: number): void {
    const previous = this.#caps.get(workspace)
    if (previous !== undefined) this.#earlierCaps.set(workspace, [...this.#earlierCaps.get(workspace) ?? [], { cpu: previous, until: this.#clock.now() + MAX_ORDER_MS }])
    this.#caps.set(workspace, cpu)
  }

  /**
   * Records a job.
   *
   * @param job - its id
   * @param workspace - name of its workspace
   */
  recordJob (job: string, workspace: string): void {
    this.#workspaceOf.set(job, workspace)
  }

  /** @param task - a task that has just been started */
  recordStart (task: string): void {
    const workspace = this.#findWorkspace(task)
    const cap = workspace === undefined ? undefined : this.#caps.get(workspace)
    if (workspace === undefined || cap === undefined) return
    const highestCap = Math.max(cap, ...(this.#earlierCaps.get(workspace) ?? []).filter(({ until }) => until >= this.#clock.now()).map(({ cpu }) => cpu))
    let use = 0
    let largest = 0
    for (const [other, workers] of this.#world.runningOn) {
      if (workers.size === 0 || this.#findWorkspace(other) !== workspace) continue
      const { cpu } = this.#world.getStep(other)
      use += cpu * workers.size
      largest = Math.max(largest, cpu)
    }
    this.highestShare = Math.max(this.highestShare, use / highestCap)
    if (use > highestCap + largest) this.#violations.push(`${task} brings workspace ${workspace} to ${use} of ${highestCap} and ${largest} for one task`)
  }

  #findWorkspace (task: string): string | undefined {
    return this.#workspaceOf.get(parseTask(task)?.job ?? '')
  }
}
