/**
 * Keeps what each workspace has running within its cap.
 *
 * Handles a workspace that sends several times its usual, on all pools at once: one budget holds for all pools of a scheduling
 * cycle, and what is planned is deducted before it is committed. A task larger than the rest of the cap starts only while
 * at most half of the cap is in use, so that a task that is larger than the whole cap runs too; with this one exception the cap
 * is not exceeded.
 */
import type { Resources } from '../../batch/types.js'
import { addAmounts, NO_AMOUNTS, RESOURCE_NAMES, type Amounts } from '../amounts.js'
import type { Workspace } from '../types.js'

/** Share of the cap up to which a task may start that is larger than the rest. */
const LARGE_TASK_SHARE = 0.5

/** Relative rounding error of sums of fractions. */
const TOLERANCE = 1e-9

/** Where the budget reads the workspaces and what they use. */
export interface CapSource {
  /** Returns a workspace by its name, or undefined when it has no cap. */
  readonly findWorkspace: (name: string) => Pick<Workspace, 'cap'> | undefined
  /** Returns what its runs use. */
  readonly getUse: (name: string) => Resources
}

/** What may still start in one scheduling cycle, by workspace. */
export class CapBudget {
  readonly #source: CapSource
  readonly #uses = new Map<string, Amounts>()
  readonly #refused = new Set<string>()

  /** @param source - the workspaces and what they use at the beginning of the cycle */
  constructor (source: CapSource) {
    this.#source = source
  }

  /** Names of the workspaces that something was refused to. */
  get refusedWorkspaces (): ReadonlySet<string> {
    return this.#refused
  }

  /**
   * Returns whether tasks may start together.
   *
   * @param name - name of their workspace; empty for none
   * @param demands - what each of them uses
   */
  allows (name: string, demands: readonly Resources[]): boolean {
    const cap = this.#source.findWorkspace(name)?.cap
    if (cap === undefined) return true
    const isAllowed = isWithinCap(cap, this.#useOf(name), demands)
    if (!isAllowed) this.#refused.add(name)
    return isAllowed
  }

  /**
   * Returns whether nothing more may start.
   *
   * @param name - name of the workspace; empty for none
   */
  isExhausted (name: string): boolean {
    const cap = this.#source.findWorkspace(name)?.cap
    if (cap === undefined) return false
    const use = this.#useOf(name)
    return RESOURCE_NAMES.some((resource) => cap[resource] > 0 && use[resource] > withTolerance(cap[resource]))
  }

  /**
   * Deducts tasks whose starts are planned.
   *
   * @param name - name of their workspace
   * @param demands - what each of them uses
   */
  take (name: string, demands: readonly Resources[]): void {
    const use = this.#useOf(name)
    for (const demand of demands) addAmounts(use, demand)
  }

  #useOf (name: string): Amounts {
    let use = this.#uses.get(name)
    if (use === undefined) this.#uses.set(name, use = { ...this.#source.getUse(name) })
    return use
  }
}

/**
 * Returns whether tasks may start together under a cap.
 *
 * @param cap - the cap; 0 for no limit on a resource
 * @param use - what is in use
 * @param demands - what each of the tasks uses; several are the members of a gang
 */
export function isWithinCap (cap: Resources, use: Resources, demands: readonly Resources[]): boolean {
  const [only] = demands
  if (only !== undefined && demands.length === 1 && fits(cap, use, only)) return true
  const sum = { ...NO_AMOUNTS }
  for (const demand of demands) addAmounts(sum, demand)
  const limited = RESOURCE_NAMES.filter((resource) => cap[resource] > 0)
  if (limited.every((resource) => use[resource] + sum[resource] <= withTolerance(cap[resource]))) return true
  // The rest of a gang has to be within the cap without its largest member.
  return limited.every((resource) => {
    const largest = Math.max(...demands.map((demand) => demand[resource]))
    return use[resource] <= withTolerance(LARGE_TASK_SHARE * cap[resource]) && use[resource] + sum[resource] - largest <= withTolerance(cap[resource])
  })
}

/** Whether one task fits. The usual case, in a cycle for each waiting task. */
function fits (cap: Resources, use: Resources, { cpu, memory, accelerators }: Resources): boolean {
  return (cap.cpu <= 0 || use.cpu + cpu <= withTolerance(cap.cpu)) &&
    (cap.memory <= 0 || use.memory + memory <= withTolerance(cap.memory)) &&
    (cap.accelerators <= 0 || use.accelerators + accelerators <= withTolerance(cap.accelerators))
}

function withTolerance (amount: number): number {
  return amount * (1 + TOLERANCE)
}
