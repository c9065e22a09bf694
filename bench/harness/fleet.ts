/** Defines the fleets of the two users and renders them as inventory and rules. */

/** Name of a user's deployment. */
export type DeploymentName = 'inla' | 'lindenhof'

/** A fleet that stand-ins simulate. */
export interface FleetSpec {
  readonly name: DeploymentName
  /** Number of VMs by pool. */
  readonly pools: Readonly<Record<string, number>>
  readonly zones: readonly string[]
  /** Cores of each VM. */
  readonly cores: number
  /** Memory of each VM, in GB. */
  readonly memoryGb: number
  /** Concurrent requests that each endpoint serves. */
  readonly slots: number
  /** Connections that each endpoint accepts. */
  readonly connections: number
  readonly sparePool: string
  /** Service of each pool that serves requests, by pool. */
  readonly services: Readonly<Record<string, string>>
  readonly teams: readonly string[]
  readonly idleVmWeight: number
  readonly moveWeight: number
}

/** One VM of a fleet. */
export interface FleetVm {
  readonly id: string
  readonly rack: string
  readonly zone: string
  readonly pool: string
}

const VMS_PER_RACK = 4

/** Fleets by deployment, in their present sizes. */
export const FLEETS: Readonly<Record<DeploymentName, FleetSpec>> = {
  inla: {
    name: 'inla',
    pools: { clean: 7, master: 9, align: 6, publish: 6, spare: 7 },
    zones: ['gt-a', 'gt-b', 'gt-c'],
    cores: 16,
    memoryGb: 32,
    slots: 8,
    connections: 64,
    sparePool: 'spare',
    services: { clean: 'take-check', master: 'mastering', align: 'alignment', publish: 'publishing' },
    teams: ['narrators', 'editors', 'librarians'],
    idleVmWeight: 4,
    moveWeight: 1
  },
  lindenhof: {
    name: 'lindenhof',
    pools: { sweep: 8, netting: 8, interest: 8, reports: 8, spare: 8 },
    zones: ['at-1', 'at-2', 'at-3', 'at-4'],
    cores: 64,
    memoryGb: 256,
    slots: 8,
    connections: 64,
    sparePool: 'spare',
    services: { sweep: 'sweeps', netting: 'netting', interest: 'interest', reports: 'reporting' },
    teams: ['treasury', 'accounting'],
    idleVmWeight: 1,
    moveWeight: 4
  }
}

/**
 * Lists the VMs of a fleet.
 *
 * Each rack holds four VMs, racks are assigned to zones round-robin, and each pool is spread over the racks.
 *
 * @param fleet - fleet whose VMs are listed
 */
export function listVms (fleet: FleetSpec): FleetVm[] {
  const members = Object.entries(fleet.pools).flatMap(([pool, count]) => Array.from({ length: count }, (_each, order) => ({ pool, order })))
  // Sorted by number in the pool, so that the VMs of a pool are assigned to different racks and zones.
  members.sort((a, b) => a.order - b.order)
  const racks = Math.ceil(members.length / VMS_PER_RACK)
  return members.map(({ pool, order }, position) => {
    const rackNumber = position % racks
    return { id: `${pool}-${order + 1}`, rack: `r${rackNumber + 1}`, zone: fleet.zones[rackNumber % fleet.zones.length] ?? '', pool }
  })
}

/**
 * Renders the inventory of a fleet as CSV.
 *
 * @param fleet - fleet to render
 */
export function toInventoryCsv (fleet: FleetSpec): string {
  const rows = listVms(fleet).map((vm) => [vm.id, vm.rack, vm.zone, vm.pool, fleet.cores, fleet.memoryGb, 0].join(','))
  return ['id,rack,zone,pool,cores,memoryGb,accelerators', ...rows, ''].join('\n')
}

/** Settings in the rules of a fleet that scenarios change. */
export interface RuleSettings {
  readonly secondsPerVm: number
  readonly maxDown: string | number
  readonly sustainSeconds: number
  readonly attemptTimeoutMs: number
  readonly queueLimit: number
}

/** Rule settings of most scenarios. */
export const DEFAULT_RULE_SETTINGS: RuleSettings = { secondsPerVm: 2, maxDown: '34%', sustainSeconds: 600, attemptTimeoutMs: 2000, queueLimit: 2000 }

/**
 * Renders the rules of a fleet as YAML.
 *
 * @param fleet - fleet to render
 * @param settings - settings that differ between scenarios
 */
export function toRulesYaml (fleet: FleetSpec, settings: RuleSettings = DEFAULT_RULE_SETTINGS): string {
  const services = Object.entries(fleet.services).map(([pool, service]) => `  ${service}:
    pools: [${pool}]
    budget: { maxDown: ${JSON.stringify(settings.maxDown)} }
    repeatable: [GET]
    attemptTimeoutMs: ${settings.attemptTimeoutMs}
    queueLimit: ${settings.queueLimit}`)
  const teams = fleet.teams.map((team, index) => `  ${team}: { weight: ${fleet.teams.length - index} }`)
  return `sparePool: ${fleet.sparePool}
services:
${services.join('\n')}
teams:
${teams.join('\n')}
maintenance:
  secondsPerVm: ${settings.secondsPerVm}
policy:
  idleVmWeight: ${fleet.idleVmWeight}
  moveWeight: ${fleet.moveWeight}
  sustainSeconds: ${settings.sustainSeconds}
`
}
