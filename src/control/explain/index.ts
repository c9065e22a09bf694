/** Explains the state of VMs, pools, services, jobs and waves in plain sentences. */
import { isDown, measureBudgets } from '../../machines/budget/index.js'
import type { FleetData, VmRecord } from '../../state/types.js'
import { remainingOpenMs } from '../../waves/windows/index.js'

/** Kinds of objects that can be explained. */
export type ExplainKind = 'vm' | 'pool' | 'service' | 'job' | 'wave'

/** All kinds, for help texts and the check of arguments. */
export const EXPLAIN_KINDS: readonly ExplainKind[] = ['vm', 'pool', 'service', 'job', 'wave']

/** Data on which explanations are based. */
export interface ExplainContext {
  readonly data: FleetData
  /** Wall clock in milliseconds since the Unix epoch. */
  readonly wall: number
  /** Returns what a draining VM still waits for, or null when it is drained. */
  readonly describeDrainBlocker: (vm: VmRecord) => string | null
}

type Explainer = (context: ExplainContext, name: string) => string[] | null

const EXPLAINERS: Readonly<Record<ExplainKind, Explainer>> = {
  vm: explainVm,
  pool: explainPool,
  service: explainService,
  job: explainJob,
  wave: explainWave
}

/**
 * Explains the state of an object.
 *
 * @param context - data on which the explanation is based
 * @param kind - kind of the object
 * @param name - name of the object
 * @returns sentences; a single one when there is no such object
 */
export function explain (context: ExplainContext, kind: ExplainKind, name: string): string[] {
  return EXPLAINERS[kind](context, name) ?? [`There is no ${kind} ${name}.`]
}

function explainVm ({ data, describeDrainBlocker }: ExplainContext, name: string): string[] | null {
  const vm = data.vms.get(name)
  if (vm === undefined) return null
  const lines = [`VM ${vm.id} is in pool ${vm.pool}, rack ${vm.rack}, availability zone ${vm.zone}.`]
  const health = { absent: 'It has not announced itself yet.', up: 'It announces itself regularly.', lost: 'It is lost: it has stopped announcing itself. Check the VM and its network; it returns automatically once it announces itself again.' }
  lines.push(health[vm.health])
  if (vm.phase === 'draining') {
    const blocker = describeDrainBlocker(vm)
    const purpose = vm.purpose?.kind === 'move' ? `to move to pool ${vm.purpose.toPool}` : `for ${vm.purpose?.wave ?? 'maintenance'}`
    lines.push(`It is draining ${purpose}${blocker === null ? '.' : ` and waits for ${blocker}.`}`)
  }
  if (vm.phase === 'rebooting') lines.push(...explainReboot(data, vm))
  if (vm.quarantinedUntil > data.now) lines.push(`It is quarantined until ${new Date(vm.quarantinedUntil).toISOString()}: tasks of several jobs failed on it in a row.`)
  if (vm.tasks.size > 0) lines.push(`It has tasks of ${[...vm.tasks.keys()].join(', ')}.`)
  return lines
}

function explainReboot (data: FleetData, vm: VmRecord): string[] {
  const seconds = Math.round((data.now - vm.phaseSince) / 1000)
  const lines = [`It has been rebooting for ${seconds} s and has not announced a new boot yet.`]
  const expected = data.rules?.maintenance.secondsPerVm ?? 0
  if (seconds > 3 * expected) lines.push(`That is more than three times the expected ${expected} s: check its console, or replace it and remove it from the inventory.`)
  return lines
}

function explainPool ({ data }: ExplainContext, name: string): string[] | null {
  const vms = [...data.vms.values()].filter((vm) => vm.pool === name)
  if (vms.length === 0) return null
  const services = Object.entries(data.rules?.services ?? {}).filter(([, service]) => service.pools.includes(name)).map(([service]) => service)
  const down = vms.filter(isDown)
  const lines = [`Pool ${name} has ${vms.length} VMs, of which ${down.length} are down.`]
  if (services.length > 0) lines.push(`It serves ${services.join(', ')}.`)
  if (data.rules?.sparePool === name) lines.push('It is the spare pool and takes over work that the pools of services have no capacity for.')
  const moving = vms.filter((vm) => vm.purpose?.kind === 'move')
  for (const vm of moving) lines.push(`VM ${vm.id} is moving to pool ${vm.purpose?.kind === 'move' ? vm.purpose.toPool : ''}.`)
  return lines
}

function explainService ({ data }: ExplainContext, name: string): string[] | null {
  const service = data.rules?.services[name]
  const use = measureBudgets(data).get(name)
  if (service === undefined || use === undefined) return null
  const lines = [`Service ${name} runs in ${service.pools.join(', ')} on ${use.vms} VMs.`]
  lines.push(`Its availability budget allows ${use.maxDown} VMs to be down; ${use.down} are down.`)
  if (use.down > use.maxDown) lines.push('Failures have exceeded the budget; no planned drain starts until VMs are back.')
  else if (use.down === use.maxDown) lines.push('The budget is used up; no planned drain starts until a VM is back.')
  for (const [zone, down] of use.downByZone) lines.push(`In availability zone ${zone}, ${down} of at most ${use.maxDownPerZone} VMs are down.`)
  return lines
}

function explainJob ({ data }: ExplainContext, name: string): string[] | null {
  const job = data.jobs.get(name)
  if (job === undefined) return null
  const lines = [`Job ${job.id} of team ${job.team} (${job.class}) is ${job.state}: ${job.reason}.`]
  if (job.failedOn.length > 0) lines.push(`It has failed on ${job.failedOn.join(', ')}.`)
  const quota = data.rules?.teams[job.team]?.quota
  if (job.state === 'queued' && quota?.cores !== undefined) lines.push(`Its team may use ${quota.cores} cores at once.`)
  return lines
}

function explainWave ({ data, wall, describeDrainBlocker }: ExplainContext, name: string): string[] | null {
  const wave = data.waves.get(name)
  if (wave === undefined) return null
  const lines = [`Wave ${wave.id} is ${wave.state}${wave.reason === '' ? '' : `: ${wave.reason}`}.`]
  lines.push(`${wave.done.length} VMs are done, ${wave.active.length} are in progress, ${wave.pending.length} are pending.`)
  const windows = data.rules?.maintenance.windows ?? []
  if (remainingOpenMs(windows, wall) === 0) lines.push('No maintenance window is open now.')
  for (const id of wave.active) {
    const vm = data.vms.get(id)
    const blocker = vm?.phase === 'draining' ? describeDrainBlocker(vm) : null
    if (blocker !== null) lines.push(`VM ${id} waits for ${blocker}.`)
  }
  const usedUp = [...measureBudgets(data).values()].filter((use) => use.down >= use.maxDown)
  for (const use of usedUp) lines.push(`The availability budget of ${use.name} is used up (${use.down} of ${use.maxDown}).`)
  return lines
}
