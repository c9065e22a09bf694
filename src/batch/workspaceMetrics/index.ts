/** Publishes what each workspace uses, with a bounded number of series. */
import { NO_AMOUNTS, RESOURCE_NAMES, addAmounts, type Amounts } from '../../workspaces/amounts.js'
import type { Labels, Metrics } from '../../metrics/index.js'
import type { BatchState } from '../state/index.js'

/** Workspaces with series of their own, those with the largest weights; the others are summed up. */
const MAX_WORKSPACES = 50

const OTHERS = 'other'

interface WorkspaceFigures {
  readonly use: Amounts
  jobs: number
}

/**
 * Registers the metrics of the workspaces.
 *
 * @param metrics - registry that receives them
 * @param state - replicated state
 * @param isActive - whether this process leads; otherwise nothing is published
 */
export function registerWorkspaceMetrics (metrics: Metrics, state: BatchState, isActive: () => boolean): void {
  metrics.collect('oleanderward_workspace_use', () => isActive() ? listUse(state) : [])
  metrics.collect('oleanderward_workspace_active_jobs', () => isActive() ? listJobs(state) : [])
}

function * listUse (state: BatchState): Generator<readonly [Labels, number]> {
  for (const [workspace, { use }] of sumUp(state)) for (const resource of RESOURCE_NAMES) yield [{ workspace, resource }, use[resource]]
}

function * listJobs (state: BatchState): Generator<readonly [Labels, number]> {
  for (const [workspace, { jobs }] of sumUp(state)) yield [{ workspace }, jobs]
}

function sumUp (state: BatchState): ReadonlyMap<string, WorkspaceFigures> {
  const figures = new Map<string, WorkspaceFigures>()
  const configured = [...state.data.config?.workspaces ?? []].sort((a, b) => b.weight - a.weight).slice(0, MAX_WORKSPACES)
  if (configured.length === 0) return figures
  for (const name of [...configured.map(({ name }) => name), OTHERS]) figures.set(name, { use: { ...NO_AMOUNTS }, jobs: 0 })
  const figuresOf = (workspace: string): WorkspaceFigures => figures.get(workspace) ?? figures.get(OTHERS) as WorkspaceFigures
  for (const workspace of state.workspaceUse.workspaces) addAmounts(figuresOf(workspace).use, state.workspaceUse.getTotal(workspace))
  for (const { workspace } of state.activeJobs.values()) figuresOf(workspace).jobs += 1
  return figures
}
