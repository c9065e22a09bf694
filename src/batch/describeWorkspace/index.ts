/** Describes a workspace to an operator: what it uses, its cap and its share, and whether its cap holds tasks back. */
import { isWithinCap } from '../../workspaces/capBudget/index.js'
import { NO_AMOUNTS, RESOURCE_NAMES } from '../../workspaces/amounts.js'
import type { Workspace } from '../../workspaces/types.js'
import type { BatchState } from '../state/index.js'
import type { JobRecord } from '../state/records.js'
import { findWorkspaceOfJobs } from '../state/workspaces/index.js'
import type { Resources, Step } from '../types.js'

const UNITS: Readonly<Record<keyof Resources, { readonly label: string, readonly divisor: number }>> = {
  cpu: { label: 'cores', divisor: 1000 },
  memory: { label: 'MB', divisor: 1 },
  accelerators: { label: 'accelerators', divisor: 1 }
}

/**
 * Describes a workspace.
 *
 * @param state - replicated state
 * @param name - name of the workspace
 * @returns one sentence per line, or null when the configuration has none of this name and no job of one is left
 */
export function describeWorkspace (state: BatchState, name: string): string[] | null {
  const workspace = findWorkspaceOfJobs(state.data, name)
  if (workspace === undefined) return null
  const jobs = [...state.activeJobs.values()].filter((job) => job.workspace === name)
  const configured = state.data.config?.workspaces ?? []
  const totalWeight = configured.reduce((sum, { weight }) => sum + weight, 0)
  const isConfigured = configured.some((other) => other.name === name)
  return [
    `Workspace ${name} uses ${describeUse(state.workspaceUse.getTotal(name), workspace.cap)}.`,
    isConfigured
      ? `Its weight is ${workspace.weight} of ${totalWeight}, ${formatPercent(workspace.weight, totalWeight)} of a full pool, and it counts on ${workspace.weight} jobs a second.`
      : 'It is no longer configured; its jobs go on under its last cap, and its calls are refused.',
    `${jobs.length} of its jobs are active, of which ${jobs.filter(({ hasStarted }) => !hasStarted).length} have not started and ${jobs.filter(({ isBeyondRate }) => isBeyondRate).length} were sent beyond its rate.`
  ]
}

/**
 * Describes what the workspace of a job means for it.
 *
 * @param state - replicated state
 * @param job - the job
 * @returns one sentence per line; none for a job without a workspace
 */
export function describeJobWorkspace (state: BatchState, job: JobRecord): string[] {
  const workspace = findWorkspaceOfJobs(state.data, job.workspace)
  if (workspace === undefined) return []
  const use = state.workspaceUse.getTotal(job.workspace)
  const lines = [`It is of workspace ${job.workspace}, which uses ${describeUse(use, workspace.cap)}.`]
  if (job.isBeyondRate) lines.push(`Its workspace had sent more than ${workspace.weight} jobs a second, so that it waits behind jobs within their rate.`)
  if (job.state !== 'active') return lines
  for (const [occurrence, records] of job.occurrences) {
    records.forEach(({ tasks }, i) => {
      const step = job.steps[i] as Step
      const waiting = tasks.filter(({ isDone, active }) => !isDone && active.length === 0).length
      if (waiting > 0 && isHeldBack(workspace, NO_AMOUNTS, step)) lines.push(`The gang of step ${occurrence}.${i} is larger than the cap and can't start under it.`)
      else if (waiting > 0 && isHeldBack(workspace, use, step)) lines.push(`${waiting} tasks of step ${occurrence}.${i} wait until its workspace uses less: ${describeNeed(step)} more would exceed the cap.`)
    })
  }
  // Without records no task has been looked at by the scheduler, as when the cap is used up.
  if (job.occurrences.size === 0 && job.steps.some((step) => step.after.length === 0 && isHeldBack(workspace, use, step))) lines.push('Its first tasks wait until its workspace uses less.')
  return lines
}

function isHeldBack ({ cap }: Workspace, use: Resources, step: Step): boolean {
  return !isWithinCap(cap, use, step.isGang ? Array.from({ length: step.count }, () => step) : [step])
}

function describeNeed (step: Step): string {
  return RESOURCE_NAMES.filter((name) => step[name] > 0).map((name) => `${formatAmount(step, name)} ${UNITS[name].label}`).join(' and ')
}

function describeUse (use: Resources, cap: Resources): string {
  return RESOURCE_NAMES.map((name) => `${formatAmount(use, name)} of ${cap[name] > 0 ? formatAmount(cap, name) : 'unlimited'} ${UNITS[name].label}`).join(', ')
}

function formatAmount (amounts: Resources, name: keyof Resources): string {
  return String(Math.round(amounts[name] / UNITS[name].divisor * 10) / 10)
}

function formatPercent (part: number, total: number): string {
  return `${Math.round(100 * part / Math.max(Number.MIN_VALUE, total))} %`
}
