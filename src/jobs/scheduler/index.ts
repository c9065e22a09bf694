/** Places jobs on VMs: urgent first, fair between teams, within quotas, spread over failure domains. */
import type { Planner, SessionContext } from '../../control/session/context.js'
import type { Capacity, WorkClass } from '../../contracts/types.js'
import { isDown } from '../../machines/budget/index.js'
import type { FleetData, Job, VmRecord } from '../../state/types.js'
import { fits, computeFreeCapacity, listServicePools } from '../capacity/index.js'
import type { SizeEstimator } from '../sizes/index.js'

/** Most placements in one command. */
const MAX_PLACEMENTS = 200

/** Most queued jobs looked at in one round. */
const MAX_JOBS_CONSIDERED = 2000

const CLASS_ORDER: Readonly<Record<WorkClass, number>> = { urgent: 0, normal: 1, bulk: 2 }

interface HostVm {
  readonly vm: VmRecord
  readonly boot: string
  readonly jobs: Job[]
  free: Capacity
}

interface TeamUsage {
  cores: number
  accelerators: number
}

/** Decides where queued jobs go. */
export class JobScheduler implements Planner {
  readonly name = 'jobs'
  readonly intervalMs = 250
  readonly #context: SessionContext
  readonly #sizeEstimator: SizeEstimator

  /**
   * @param context - the leader's surroundings
   * @param sizeEstimator - corrected sizes
   */
  constructor (context: SessionContext, sizeEstimator: SizeEstimator) {
    this.#context = context
    this.#sizeEstimator = sizeEstimator
  }

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

  /** Checkpoints what can be checkpointed on VMs that are to be stopped. */
  async #checkpointDraining (data: FleetData): Promise<void> {
    const draining = [...data.vms.values()].filter((vm) => vm.phase === 'draining' && vm.tasks.size > 0)
    const jobs = draining.flatMap((vm) => [...vm.tasks.values()].filter((task) => task.action === 'run').map((task) => task.job))
    const checkpointable = jobs.filter((id) => data.jobs.get(id)?.checkpointable === true)
    if (checkpointable.length > 0) await this.#context.propose('checkpointTasks', { jobs: checkpointable })
  }

  async #preemptForUrgent (cycle: PlacementCycle, urgent: readonly Job[]): Promise<void> {
    const victims = urgent.flatMap((job) => cycle.findVictims(job))
    if (victims.length > 0) await this.#context.propose('checkpointTasks', { jobs: [...new Set(victims)] })
  }
}

/** One look at all VMs and all queued jobs. */
class PlacementCycle {
  readonly #data: FleetData
  readonly #sizeEstimator: SizeEstimator
  readonly #hosts: HostVm[]
  readonly #teamUsage = new Map<string, TeamUsage>()
  readonly #jobsByServiceRack = new Map<string, number>()
  readonly #chosenVictims = new Set<string>()

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

  /** Chooses VMs for as many jobs as fit. */
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

  /** Finds tasks of lower classes that would make room for an urgent job once checkpointed. */
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

  /** Yields urgent jobs first, then always the next job of the team that has least for its weight. */
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

  /** Prefers the service's own pools, racks with fewer of its jobs, VMs that it has not failed on, and the tightest fit. */
  #findHost (job: Job): HostVm | undefined {
    const pools = listServicePools(this.#data, job.service)
    const size = this.#sizeEstimator.estimateSize(job)
    let best: HostVm | undefined
    let bestScore: readonly number[] = []
    for (const host of this.#hosts) {
      const poolIndex = pools.indexOf(host.vm.pool)
      if (poolIndex === -1 || job.failedOn.includes(host.vm.id) || !fits(size, host.free)) continue
      const sparePenalty = host.vm.pool === this.#data.rules?.sparePool ? 1 : 0
      const score = [sparePenalty, host.free.accelerators - size.accelerators, this.#jobsByServiceRack.get(createRackKey(job, host.vm)) ?? 0, host.free.cores - size.cores]
      if (best !== undefined && !isLowerScore(score, bestScore)) continue
      best = host
      bestScore = score
    }
    return best
  }

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
    this.#jobsByServiceRack.set(key, (this.#jobsByServiceRack.get(key) ?? 0) + 1)
  }
}

function createRackKey (job: Job, vm: VmRecord): string {
  return `${job.service}/${vm.zone}/${vm.rack}`
}

function isLowerScore (a: readonly number[], b: readonly number[]): boolean {
  const firstDifference = a.findIndex((value, index) => value !== b[index])
  return firstDifference !== -1 && (a[firstDifference] ?? 0) < (b[firstDifference] ?? 0)
}
