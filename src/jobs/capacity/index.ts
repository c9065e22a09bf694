/** What VMs offer to jobs and what is left of it. */
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
 * Tells whether a need fits into what is offered.
 *
 * @param required - what a job needs
 * @param available - what is free
 */
export function fits (required: Capacity, available: Capacity): boolean {
  return required.cores <= available.cores && required.memoryGb <= available.memoryGb && required.accelerators <= available.accelerators
}

/**
 * Computes what jobs leave free on a VM.
 *
 * @param vm - the VM
 * @param jobs - jobs placed there
 * @param estimateSize - what a job takes; by default what it declared
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
 * Tells why a job can never run.
 *
 * @param data - replicated state
 * @param job - what is asked for
 * @returns null when some VM is large enough, otherwise the reason
 */
export function findUnschedulableReason (data: FleetData, job: JobRequest): string | null {
  const pools = listServicePools(data, job.service)
  if (pools.length === 0) return `there is no service ${job.service}`
  const vms = [...data.vms.values()].filter((vm) => pools.includes(vm.pool))
  if (vms.some((vm) => fits(job, vm))) return null
  return `no VM of ${pools.join(', ')} has ${job.cores} cores, ${job.memoryGb} GB and ${job.accelerators} accelerators`
}
