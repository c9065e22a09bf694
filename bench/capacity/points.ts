/** Measures the cost of a group of a given size. */
import { mkdtempSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { setTimeout as sleep } from 'node:timers/promises'
import { Deployment } from '../harness/deployment.js'
import { FLEETS } from '../harness/fleet.js'
import { UsageMeter } from '../harness/usage.js'
import { ChangeTracker } from '../operators/index.js'
import type { ResourceUsage } from '../report/index.js'
import { Announcer } from './announcer.js'

/** Size of a group and rate of its configuration changes. */
export interface CapacityPoint {
  readonly vms: number
  readonly pools: number
  readonly entries: number
  readonly controls: number
  /** Configuration changes a second. */
  readonly changes: number
}

/** Resource usage of each role at one point. */
export interface PointCost {
  readonly point: CapacityPoint
  readonly leader: ResourceUsage
  readonly follower: ResourceUsage
  readonly entry: ResourceUsage
  readonly announcementsPerSecond: number
  /** VMs that were up at the end of the measurement. */
  readonly up: number
}

const ZONES = 21
const VMS_PER_RACK = 4
const TEAMS = 43
const WARM_UP_MS = 7000
const MEASUREMENT_MS = 8000

/** Writes inventory and rules of a group to a temporary folder. */
function writeGroupFiles (point: CapacityPoint): { readonly inventory: string, readonly rules: string, readonly vms: string[] } {
  const folder = mkdtempSync(join(tmpdir(), 'oleanderward-capacity-'))
  const vms = Array.from({ length: point.vms }, (_each, index) => `vm-${index}`)
  const rows = vms.map((vm, index) => `${vm},r${Math.floor(index / VMS_PER_RACK)},z${Math.floor(index / VMS_PER_RACK) % ZONES},p${index % point.pools},16,32,${index % 4 === 0 ? 9 : 0}`)
  const services = Array.from({ length: point.pools }, (_each, index) => `  s${index}: { pools: [p${index}], budget: { maxDown: 1 } }`)
  const teams = Array.from({ length: TEAMS }, (_each, index) => `  t${index}: { weight: 1, quota: { cores: 1000 } }`)
  const inventory = join(folder, 'inventory.csv')
  const rules = join(folder, 'rules.yaml')
  writeFileSync(inventory, ['id,rack,zone,pool,cores,memoryGb,accelerators', ...rows, ''].join('\n'))
  writeFileSync(rules, ['services:', ...services, 'teams:', ...teams, ''].join('\n'))
  return { inventory, rules, vms }
}

function averageUsage (usages: readonly ResourceUsage[]): ResourceUsage {
  const mean = (read: (use: ResourceUsage) => number): number => usages.reduce((sum, use) => sum + read(use), 0) / usages.length
  return { cpuPercent: mean((use) => use.cpuPercent), rssMb: mean((use) => use.rssMb), bytesPerSecond: mean((use) => use.bytesPerSecond) }
}

/**
 * Starts a group, waits for it to warm up and measures its resource usage.
 *
 * @param point - size of the group and rate of changes
 */
export async function measurePoint (point: CapacityPoint): Promise<PointCost> {
  const { inventory, rules, vms } = writeGroupFiles(point)
  const deployment = new Deployment({ fleet: FLEETS.inla, controls: point.controls, entries: point.entries, files: { inventory, rules }, hasNoEndpoints: true })
  try {
    await deployment.start()
    const announcer = new Announcer(vms, deployment.entryAddresses)
    void announcer.run()
    const until = Date.now() + WARM_UP_MS + MEASUREMENT_MS + 2000
    const tracker = point.changes > 0 ? new ChangeTracker(deployment) : null
    const churning = tracker?.churn('ana', until, 1000 / point.changes)
    await sleep(WARM_UP_MS)
    const meter = new UsageMeter(deployment)
    await meter.begin()
    const sentBefore = announcer.sent
    await sleep(MEASUREMENT_MS)
    const usages = await meter.end()
    const sent = announcer.sent - sentBefore
    const status = await deployment.status()
    await churning
    await tracker?.measure()
    announcer.stop()
    const selectByPrefix = (prefix: string): ResourceUsage[] => Object.entries(usages).filter(([name]) => name.startsWith(prefix)).map(([, use]) => use)
    const leaderName = status?.leader.id ?? ''
    const followers = Object.entries(usages).filter(([name]) => name.startsWith('c') && name !== leaderName).map(([, use]) => use)
    return {
      point,
      leader: usages[leaderName] ?? averageUsage(selectByPrefix('c')),
      follower: averageUsage(followers),
      entry: averageUsage(selectByPrefix('e')),
      announcementsPerSecond: sent * 1000 / MEASUREMENT_MS,
      up: status?.fleet.vms.up ?? 0
    }
  } finally {
    await deployment.stop()
  }
}
