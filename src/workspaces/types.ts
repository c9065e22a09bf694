/** Workspaces: the tenants that share the fleet, with the keys of their calls and their part of the capacity. */
import type { Resources } from '../batch/resources.js'

/** Configuration of one workspace. */
export interface Workspace {
  readonly name: string
  /** Digests of the keys that its calls may carry; see `digestKey`. */
  readonly keyDigests: readonly string[]
  /** Share of the capacity when all of it is in use, relative to the other workspaces; also the jobs a second that it may count on. */
  readonly weight: number
  /** Capacity that its runs may use together on all workers; 0 for no limit on a resource. */
  readonly cap: Resources
}
