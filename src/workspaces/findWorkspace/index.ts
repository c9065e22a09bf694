/** Finds workspaces by key and by name. */
import type { QueueConfig } from '../../batch/types.js'
import type { Workspace } from '../types.js'

/**
 * Returns the workspace that holds a key.
 *
 * @param config - the configuration
 * @param keyDigest - digest of the key; see `digestKey`
 * @returns the workspace, or undefined when no workspace holds the key
 */
export function findWorkspaceByKey (config: QueueConfig, keyDigest: string): Workspace | undefined {
  return getIndex(config).byKey.get(keyDigest)
}

/**
 * Returns the workspace with a name.
 *
 * @param config - the configuration
 * @param name - name of the workspace
 * @returns the workspace, or undefined when the configuration has none of this name
 */
export function findWorkspace (config: QueueConfig, name: string): Workspace | undefined {
  return getIndex(config).byName.get(name)
}

interface WorkspaceIndex {
  readonly byKey: ReadonlyMap<string, Workspace>
  readonly byName: ReadonlyMap<string, Workspace>
}

const indexes = new WeakMap<QueueConfig, WorkspaceIndex>()

/** Returns the workspaces by key and name. Built once for each configuration, since each call looks for its workspace. */
function getIndex (config: QueueConfig): WorkspaceIndex {
  let index = indexes.get(config)
  if (index === undefined) {
    const workspaces = config.workspaces ?? []
    index = {
      byKey: new Map(workspaces.flatMap((workspace) => workspace.keyDigests.map((digest) => [digest, workspace] as const))),
      byName: new Map(workspaces.map((workspace) => [workspace.name, workspace]))
    }
    indexes.set(config, index)
  }
  return index
}
