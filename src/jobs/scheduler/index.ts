/**
 * Places queued jobs on VMs: urgent jobs first, fairly between teams, within quotas and spread over failure domains.
 */
import type { Planner, SessionContext } from '../../control/session/context.js'
import type { Capacity, WorkClass } from '../../contracts/types.js'
import { isDown } from '../../machines/budget/index.js'
import type { FleetData, Job, VmRecord } from '../../state/types.js'
import { fits, computeFreeCapacity, listServicePools } from '../capacity/index.js'
import type { SizeEstimator } from '../sizes/index.js'

/** Upper bound on the placements of one command. */
const MAX_PLACEMENTS = 200

/** Upper bound on the queued jobs that one cycle considers. */
const MAX_JOBS_CONSIDERED = 2000

const CLASS_ORDER: Readonly<Record<WorkClass, number>> = { urgent: 0, normal: 1, bulk: 2 }

/** A VM that accepts tasks, with the jobs placed on it and its free capacity. */
interface HostVm {
  readonly vm: VmRecord
  readonly boot: string
  readonly jobs: Job[]
  free: Capacity
}

/** Declared capacity of a team's jobs on the VMs that accept tasks. */
interface TeamUsage {
  cores: number
  accelerators: number
}

/** Assigns queued jobs to VMs and preempts tasks of lower classes for urgent jobs. */
export class JobScheduler implements Planner {
  readonly name = 'jobs'
  readonly intervalMs = 250
  readonly #context: SessionContext
  readonly #sizeEstimator: SizeEstimator

  /**
   * @param context - shared dependencies of the leader's term
   * @param sizeEstimator - estimates the capacity that a job uses
   */
  constructor (context: SessionContext, sizeEstimator: SizeEstimator) {
    this.#context = context
    this.#sizeEstimator = sizeEstimator
  }

  /**
   * Runs one cycle: checkpoints tasks on draining VMs, places queued jobs and preempts for urgent jobs that were not
   * placed.
   */
  async plan (): Promise<void> {
    const data = this.#context.data()
    if (data.rules === null || data.jobs.size === 0) return
    await this.#checkpointDraining(data)
    const queued = [...data.jobs.values()].filter((job) => job.state === 'queued')
    if (queued.length === 0) return
    const cycle = new PlacementCycle(data, this.#sizeEstimator, (vm) => this.#context.endpoints.find(vm)?.record.boot)
    const { placements, unplacedUrgent } = cycle.place(queued)
    if (placements.length > 0) await this.#context.propose('placeTasks', { placements })
    await this.#preemptForUrgent(cycle, unplacedUrgent)
  }

  /** Requests checkpoints of the checkpointable tasks on draining VMs, so that their jobs can resume elsewhere. */
  async #checkpointDraining (data: FleetData): Promise<void> {
    const draining = [...data.vms.values()].filter((vm) => vm.phase === 'draining' && vm.tasks.size > 0)
    const jobs = draining.flatMap((vm) => [...vm.tasks.values()].filter((task) => task.action === 'run').map((task) => task.job))
    const checkpointable = jobs.filter((id) => data.jobs.get(id)?.checkpointable === true)
    if (checkpointable.length > 0) await this.#context.propose('checkpointTasks', { jobs: checkpointable })
  }

  /** Requests checkpoints of tasks of lower classes to free capacity for urgent jobs. */
  async #preemptForUrgent (cycle: PlacementCycle, urgent: readonly Job[]): Promise<void> {
    const victims = urgent.flatMap((job) => cycle.findVictims(job))
    if (victims.length > 0) await this.#context.propose('checkpointTasks', { jobs: [...new Set(victims)] })
  }
}

/** Places jobs on a snapshot of all VMs. Tracks free capacity and team usage as jobs are placed. */
class PlacementCycle {
  readonly #data: FleetData
  readonly #sizeEstimator: SizeEstimator
  readonly #hosts: HostVm[]
  readonly #teamUsage = new Map<string, TeamUsage>()
  readonly #jobCountByServiceRack = new Map<string, number>()
  readonly #chosenVictims = new Set<string>()

  /**
   * @param data - replicated state
   * @param sizeEstimator - estimates the capacity that a job uses
   * @param findBoot - returns the boot identity of a VM's endpoint, or undefined when the VM has not announced itself
   */
  constructor (data: FleetData, sizeEstimator: SizeEstimator, findBoot: (vm: string) => string | undefined) {
    this.#data = data
    this.#sizeEstimator = sizeEstimator
    const schedulable = [...data.vms.values()].filter((vm) => !isDown(vm) && vm.quarantinedUntil <= data.now)
    this.#hosts = schedulable.flatMap((vm) => {
      const boot = findBoot(vm.id)
      if (boot === undefined) return []
      const jobs = [...vm.tasks.keys()].map((id) => data.jobs.get(id)).filter((job) => job !== undefined)
      return [{ vm, boot, jobs, free: computeFreeCapacity(vm, jobs, (job) => sizeEstimator.estimateSize(job)) }]
    })
    for (const { vm, jobs } of this.#hosts) {
      for (const job of jobs) this.#addUsage(job, vm)
    }
  }

  /**
   * Chooses a VM for each job that fits, in order of class and of the teams' shares.
   *
   * @param queued - queued jobs
   * @returns the placements, and the urgent jobs that were considered but not placed
   */
  place (queued: readonly Job[]): { placements: Array<{ job: string, vm: string, boot: string }>, unplacedUrgent: Job[] } {
    const placements: Array<{ job: string, vm: string, boot: string }> = []
    const unplacedUrgent: Job[] = []
    const nextJob = this.#createJobIterator(queued)
    let considered = 0
    for (let job = nextJob(); job !== undefined && considered < MAX_JOBS_CONSIDERED && placements.length < MAX_PLACEMENTS; job = nextJob()) {
      considered += 1
      const host = this.#isWithinQuota(job) ? this.#findHost(job) : undefined
      if (host !== undefined) {
        placements.push({ job: job.id, vm: host.vm.id, boot: host.boot })
        this.#reserve(host, job)
      } else if (job.class === 'urgent') unplacedUrgent.push(job)
    }
    return { placements, unplacedUrgent }
  }

  /**
   * Finds checkpointable jobs of lower classes that together free enough capacity on one VM for an urgent job.
   *
   * @param urgent - urgent job that was not placed
   * @returns ids of the jobs to checkpoint; empty when the team's quota or the VMs don't allow the job
   */
  findVictims (urgent: Job): string[] {
    if (!this.#isWithinQuota(urgent)) return []
    const pools = listServicePools(this.#data, urgent.service)
    const size = this.#sizeEstimator.estimateSize(urgent)
    for (const host of this.#hosts) {
      if (!pools.includes(host.vm.pool)) continue
      const victims = this.#findVictimsOn(host, size)
      if (victims.length > 0) return victims
    }
    return []
  }

  /**
   * Returns the victims on one VM, lowest class first, or none when checkpointing them would not free enough capacity.
   */
  #findVictimsOn (host: HostVm, size: Capacity): string[] {
    const candidates = host.jobs
      .filter((job) => job.class !== 'urgent' && job.checkpointable && !this.#chosenVictims.has(job.id))
      .sort((a, b) => CLASS_ORDER[b.class] - CLASS_ORDER[a.class])
    const victims: string[] = []
    let { free } = host
    for (const job of candidates) {
      if (fits(size, free)) break
      victims.push(job.id)
      const released = this.#sizeEstimator.estimateSize(job)
      free = { cores: free.cores + released.cores, memoryGb: free.memoryGb + released.memoryGb, accelerators: free.accelerators + released.accelerators }
    }
    if (!fits(size, free)) return []
    for (const id of victims) this.#chosenVictims.add(id)
    return victims
  }

  /**
   * Returns a function that yields jobs by class and, within a class, from the team with the smallest usage relative to
   * its weight.
   */
  #createJobIterator (queued: readonly Job[]): () => Job | undefined {
    const groups = new Map<string, Job[]>()
    for (const job of queued) {
      const groupKey = `${CLASS_ORDER[job.class]}/${job.team}`
      const jobs = groups.get(groupKey)
      if (jobs === undefined) groups.set(groupKey, [job])
      else jobs.push(job)
    }
    for (const jobs of groups.values()) jobs.reverse()
    return () => {
      let best: { jobs: Job[], order: number, share: number } | undefined
      for (const jobs of groups.values()) {
        const job = jobs.at(-1)
        if (job === undefined) continue
        const order = CLASS_ORDER[job.class]
        const share = this.#computeShare(job.team)
        if (best === undefined || order < best.order || (order === best.order && share < best.share)) best = { jobs, order, share }
      }
      return best?.jobs.pop()
    }
  }

  #computeShare (team: string): number {
    const weight = this.#data.rules?.teams[team]?.weight ?? 1
    return (this.#teamUsage.get(team)?.cores ?? 0) / weight
  }

  #isWithinQuota (job: Job): boolean {
    const quota = this.#data.rules?.teams[job.team]?.quota
    const usage = this.#teamUsage.get(job.team) ?? { cores: 0, accelerators: 0 }
    if (quota?.cores !== undefined && usage.cores + job.cores > quota.cores) return false
    return quota?.accelerators === undefined || usage.accelerators + job.accelerators <= quota.accelerators
  }

  /**
   * Finds the best VM for a job among those that it fits and has not failed on.
   *
   * Prefers, in this order: the service's own pools over the spare pool, the fewest accelerators left unused, racks
   * with fewer jobs of the service, and the fewest cores left unused (best fit).
   */
  #findHost (job: Job): HostVm | undefined {
    const pools = listServicePools(this.#data, job.service)
    const size = this.#sizeEstimator.estimateSize(job)
    let best: HostVm | undefined
    let bestScore: readonly number[] = []
    for (const host of this.#hosts) {
      const poolIndex = pools.indexOf(host.vm.pool)
      if (poolIndex === -1 || job.failedOn.includes(host.vm.id) || !fits(size, host.free)) continue
      const sparePenalty = host.vm.pool === this.#data.rules?.sparePool ? 1 : 0
      const score = [sparePenalty, host.free.accelerators - size.accelerators, this.#jobCountByServiceRack.get(createRackKey(job, host.vm)) ?? 0, host.free.cores - size.cores]
      if (best !== undefined && !isLowerScore(score, bestScore)) continue
      best = host
      bestScore = score
    }
    return best
  }

  /** Subtracts a placed job from a VM's free capacity and adds it to its team's usage. */
  #reserve (host: HostVm, job: Job): void {
    const size = this.#sizeEstimator.estimateSize(job)
    const { cores, memoryGb, accelerators } = host.free
    host.free = { cores: cores - size.cores, memoryGb: memoryGb - size.memoryGb, accelerators: accelerators - size.accelerators }
    this.#addUsage(job, host.vm)
  }

  #addUsage (job: Job, vm: VmRecord): void {
    const usage = this.#teamUsage.get(job.team) ?? { cores: 0, accelerators: 0 }
    usage.cores += job.cores
    usage.accelerators += job.accelerators
    this.#teamUsage.set(job.team, usage)
    const key = createRackKey(job, vm)
    this.#jobCountByServiceRack.set(key, (this.#jobCountByServiceRack.get(key) ?? 0) + 1)
  }
}

function createRackKey (job: Job, vm: VmRecord): string {
  return `${job.service}/${vm.zone}/${vm.rack}`
}

/** Compares two scores lexicographically. */
function isLowerScore (a: readonly number[], b: readonly number[]): boolean {
  const firstDifference = a.findIndex((value, index) => value !== b[index])
  return firstDifference !== -1 && (a[firstDifference] ?? 0) < (b[firstDifference] ?? 0)
}
