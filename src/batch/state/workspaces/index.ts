/** Finds the settings of workspaces, also of those that are no longer configured, and counts their jobs. Deterministic, like the command handlers that use it. */
import type { Millis } from '../../../clock/index.js'
import { findWorkspace } from '../../../workspaces/findWorkspace/index.js'
import { countJob } from '../../../workspaces/rateBucket/index.js'
import type { Workspace } from '../../../workspaces/types.js'
import type { QueueConfig } from '../../types.js'
import type { BatchData } from '../records.js'

/**
 * Returns the settings of the workspace of a job: as configured now, or as configured last while it has jobs.
 *
 * @param data - replicated state
 * @param name - name of the workspace
 * @returns the settings; undefined for jobs without a workspace
 */
export function findWorkspaceOfJobs ({ config, retiredWorkspaces }: Pick<BatchData, 'config' | 'retiredWorkspaces'>, name: string): Workspace | undefined {
  return (config === null ? undefined : findWorkspace(config, name)) ?? retiredWorkspaces.get(name)
}

/**
 * Keeps the settings of the workspaces that a new configuration removes: until the next configuration, since a job may be about to be
 * accepted, and as long as they have jobs, which go on under the cap that was configured last.
 *
 * @param data - replicated state with the earlier configuration
 * @param next - the new configuration
 */
export function retireWorkspaces (data: BatchData, next: QueueConfig): void {
  const removed = data.config?.workspaces ?? []
  if (removed.length === 0 && data.retiredWorkspaces.size === 0) return
  const used = new Set<string>()
  for (const { workspace } of data.jobs.values()) used.add(workspace)
  const kept = [...data.retiredWorkspaces].filter(([name]) => used.has(name))
  const configured = new Set(next.workspaces?.map(({ name }) => name))
  const entries = [...kept, ...removed.map((workspace) => [workspace.name, workspace] as const)]
  data.retiredWorkspaces = new Map(entries.filter(([name]) => !configured.has(name)))
  for (const name of data.rateBuckets.keys()) if (!configured.has(name)) data.rateBuckets.delete(name)
}

/**
 * Counts a job of a workspace against its rate.
 *
 * @param data - replicated state
 * @param name - name of the workspace; empty for none
 * @param at - time of the command that accepts the job
 * @returns whether the job is beyond the rate
 */
export function countJobOf (data: BatchData, name: string, at: Millis): boolean {
  const workspace = findWorkspaceOfJobs(data, name)
  if (workspace === undefined) return false
  const { bucket, isBeyondRate } = countJob(data.rateBuckets.get(name), workspace.weight, at)
  data.rateBuckets.set(name, bucket)
  return isBeyondRate
}
