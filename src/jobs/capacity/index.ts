/** Computes which pools and VMs can run a job and how much capacity they have left. */
import type { Capacity } from '../../contracts/types.js'
import type { FleetData, Job, JobRequest, VmRecord } from '../../state/types.js'

/**
 * Lists the pools whose VMs may run a service's jobs, its own pools first.
 *
 * @param data - replicated state
 * @param service - name of the service
 */
export function listServicePools (data: FleetData, service: string): readonly string[] {
  const rules = data.rules?.services[service]
  if (rules === undefined) return []
  const spare = data.rules?.sparePool
  return rules.spare && spare !== undefined ? [...rules.pools, spare] : rules.pools
}

/**
 * Tells whether a required capacity fits into the available capacity.
 *
 * @param required - capacity that a job uses
 * @param available - free capacity
 */
export function fits (required: Capacity, available: Capacity): boolean {
  return required.cores <= available.cores && required.memoryGb <= available.memoryGb && required.accelerators <= available.accelerators
}

/**
 * Computes the capacity of a VM that its jobs leave free. It is negative when they use more than the VM has.
 *
 * @param vm - VM with its total capacity
 * @param jobs - jobs placed on the VM
 * @param estimateSize - returns the capacity that a job uses; by default its declared capacity
 */
export function computeFreeCapacity (vm: VmRecord, jobs: readonly Job[], estimateSize: (job: Job) => Capacity = (job) => job): Capacity {
  let { cores, memoryGb, accelerators } = vm
  for (const job of jobs) {
    const size = estimateSize(job)
    cores -= size.cores
    memoryGb -= size.memoryGb
    accelerators -= size.accelerators
  }
  return { cores, memoryGb, accelerators }
}

/**
 * Explains why no VM can ever run a job.
 *
 * @param data - replicated state
 * @param job - the job as submitted
 * @returns the reason, or null when at least one VM is large enough
 */
export function findUnschedulableReason (data: FleetData, job: JobRequest): string | null {
  const pools = listServicePools(data, job.service)
  if (pools.length === 0) return `there is no service ${job.service}`
  const vms = [...data.vms.values()].filter((vm) => pools.includes(vm.pool))
  if (vms.some((vm) => fits(job, vm))) return null
  return `no VM of ${pools.join(', ')} has ${job.cores} cores, ${job.memoryGb} GB and ${job.accelerators} accelerators`
}
