/**
 * Decides which tasks start on which workers of one pool.
 *
 * Handles surges of several times the pool's capacity: tasks are placed in the given order, each on the worker with the
 * lowest cost. A task that fits on no worker reserves the worker with the most free processor capacity, so that smaller
 * tasks later in the order don't starve it.
 */
import { groupByRack } from '../groupByRack/index.js'
import type { Resources, Step } from '../types.js'

/** A worker as seen by the planner, which reduces its free capacity with each planned start. */
export interface PoolWorker {
  readonly key: string
  readonly machine: string
  readonly zone: string
  readonly labels: readonly string[]
  /** Total capacity. */
  readonly room: Resources
  /** Capacity that no run has reserved. */
  free: { cpu: number, memory: number, accelerators: number }
  /** Number of tasks by step key, for per-worker limits and for spreading. */
  readonly taskCountByStep: Map<string, number>
  /** How many more tasks may start here, where a gang counts as one; one for a worker on probation. */
  startsLeft: number
  /** Run time here divided by the run time on a healthy worker. */
  readonly slowdown: number
  /** Number of runs that the worker is not known to have survived, planned ones included. */
  freshRuns: number
  /** Job whose suspected tasks start here, to the exclusion of everything else; null for none. */
  trialJob: string | null
  /** Whether its tasks would wait for long to start elsewhere if it were lost, which long-running tasks must not. */
  readonly hasLongLease: boolean
}

/** A task that may start. */
export interface StartableTask {
  readonly task: string
  /** Names the job, occurrence and step: `job.occurrence.step`. */
  readonly stepKey: string
  readonly step: Step
  /** Keys of workers on which the task has failed, and machines whose worker crashed under it. */
  readonly failedOn: readonly string[]
  /** Keys of the workers that the advisor allows; null without an advisor. */
  readonly allowed: ReadonlySet<string> | null
  /** Id of its job when the task is suspected of crashing workers, otherwise null. */
  readonly suspectJob: string | null
  /** Key of the worker with the run that this one copies. */
  readonly runningOn?: string
}

/** Tasks that start all together or not at all. */
export interface StartGroup {
  readonly members: readonly StartableTask[]
  /** Whether a worker may be reserved for the group when it fits on none. */
  readonly mayReserve: boolean
}

/** A group with the name of its workspace; empty for none. */
export interface WorkspaceGroup extends StartGroup {
  readonly workspace: string
}

/** A task and the key of the worker on which it starts. */
export interface PlannedStart {
  readonly task: string
  readonly worker: string
}

/** Decides whether groups that could start away from their data or spread over racks wait instead. */
export interface PlaceWaitDecider {
  /** Returns whether a group waits, given the worker of each member if it starts now. */
  readonly shouldWait: (group: StartGroup, chosen: readonly PoolWorker[], available: readonly PoolWorker[]) => boolean
}

/** Costs of placing a task on a worker. The free share of its processor capacity, 0 to 1, is added, so that tasks are packed. */
const FAILED_BEFORE_COST = 1000
const REMOTE_RACK_COST = 20
const SAME_STEP_COST = 5
const LONG_LEASE_COST = 100
const SLOWDOWN_COST = 4

/** Maximum number of workers reserved for tasks that fit on none. */
const MAX_RESERVATIONS = 2

/**
 * Plans the starts of one pool. Deducts them from the free capacity of the given workers.
 *
 * @param workers - the pool's workers that accept new tasks
 * @param groups - groups that may start, most urgent first
 * @param onStart - called with each group whose start is planned, before the next one is taken
 * @param placeWait - decides which groups wait for a near place; left out when none does
 * @returns the planned starts
 */
export function planStarts<G extends StartGroup> (workers: readonly PoolWorker[], groups: Iterable<G>, onStart: (group: G) => void = () => {}, placeWait?: PlaceWaitDecider): PlannedStart[] {
  const starts: PlannedStart[] = []
  const reserved = new Set<PoolWorker>()
  const unplaceable = new UnplaceableDemands()
  let available = workers.filter(({ startsLeft }) => startsLeft > 0)
  for (const group of groups) {
    if (available.length === 0) break
    const mayReserve = group.mayReserve && group.members.length === 1 && reserved.size < MAX_RESERVATIONS
    if (!mayReserve && unplaceable.includes(group)) continue
    const assignments = placeGroup(available, group.members)
    if (assignments !== null) {
      if (placeWait !== undefined && mayWait(group) && waitsFor(placeWait, group, assignments, available)) continue
      for (const { worker, member } of assignments) starts.push({ task: member.task, worker: worker.key })
      onStart(group)
      for (const worker of new Set(assignments.map(({ worker }) => worker))) worker.startsLeft -= 1
      if (available.some(({ startsLeft }) => startsLeft <= 0)) available = available.filter(({ startsLeft }) => startsLeft > 0)
      continue
    }
    unplaceable.add(group)
    if (!mayReserve) continue
    reserveWorker(available, group.members[0] as StartableTask, reserved)
    available = available.filter((worker) => !reserved.has(worker))
  }
  return starts
}

/**
 * Remembers what has fitted on no worker. Free capacity only shrinks while starts are planned, so that a task that needs as much fits
 * nowhere either, and in a surge most of the waiting tasks are left out without a look at a worker.
 */
class UnplaceableDemands {
  readonly #demands: Resources[] = []

  /** @param group - a group that was not placed; remembered only if nothing but its size can be the reason */
  add ({ members: [member, ...others] }: StartGroup): void {
    if (member === undefined || others.length > 0) return
    const { step, allowed, suspectJob, runningOn } = member
    if (suspectJob !== null || runningOn !== undefined || step.label !== '' || step.maxPerWorker > 0 || allowed !== null) return
    const demand = getDemand(step)
    if (!this.#isAtLeastOne(demand)) this.#demands.push(demand)
  }

  /** @param group - a group; whether one of its members needs as much as a task that was not placed */
  includes ({ members }: StartGroup): boolean {
    return this.#demands.length > 0 && members.some(({ step }) => this.#isAtLeastOne(getDemand(step)))
  }

  #isAtLeastOne ({ cpu, memory, accelerators }: Resources): boolean {
    return this.#demands.some((demand) => cpu >= demand.cpu && memory >= demand.memory && accelerators >= demand.accelerators)
  }
}

function getDemand ({ cpu, memory, accelerators, isFiller }: Step): Resources {
  return { cpu: isFiller ? 0 : cpu, memory, accelerators }
}

interface Assignment {
  readonly worker: PoolWorker
  readonly member: StartableTask
}

function mayWait ({ members: [member] }: StartGroup): boolean {
  return member !== undefined && (member.step.dataRack !== '' || member.step.prefersOneRack)
}

/** Undoes the assignments and asks whether the group waits; assigns it again if it doesn't. */
function waitsFor (placeWait: PlaceWaitDecider, group: StartGroup, assignments: readonly Assignment[], available: readonly PoolWorker[]): boolean {
  for (const { worker, member } of assignments.toReversed()) adjustAllocation(worker, member, -1)
  if (placeWait.shouldWait(group, assignments.map(({ worker }) => worker), available)) return true
  for (const { worker, member } of assignments) adjustAllocation(worker, member, 1)
  return false
}

/** A gang that runs slower on several racks takes the fullest rack that has room for all of it, if there is one. */
function placeGroup (workers: readonly PoolWorker[], members: readonly StartableTask[]): readonly Assignment[] | null {
  const step = members[0]?.step
  if (step === undefined || members.length === 1 || !step.isGang || !step.prefersOneRack) return placeMembers(workers, members)
  const countFree = (rack: readonly PoolWorker[]): number => rack.reduce((sum, { free }) => sum + free.cpu, 0)
  const near = step.dataRack === '' ? workers : workers.filter(({ labels }) => labels.includes(step.dataRack))
  const racks = groupByRack(near).map((rack) => ({ rack, free: countFree(rack) })).sort((a, b) => a.free - b.free)
  for (const { rack } of racks) {
    const assignments = placeMembers(rack, members)
    if (assignments !== null) return assignments
  }
  return placeMembers(workers, members)
}

function placeMembers (workers: readonly PoolWorker[], members: readonly StartableTask[]): readonly Assignment[] | null {
  const assignments: Assignment[] = []
  for (const member of members) {
    const worker = findBestWorker(workers, member, assignments.map((other) => other.worker))
    if (worker === undefined) {
      for (const { worker, member } of assignments.reverse()) adjustAllocation(worker, member, -1)
      return null
    }
    adjustAllocation(worker, member, 1)
    assignments.push({ worker, member })
  }
  return assignments
}

function findBestWorker (workers: readonly PoolWorker[], member: StartableTask, groupWorkers: readonly PoolWorker[]): PoolWorker | undefined {
  // The tasks of a suspected job start on one worker, unless they are a gang that needs several.
  const trialWorker = member.suspectJob === null || member.step.isGang ? undefined : workers.find(({ trialJob }) => trialJob === member.suspectJob)
  if (trialWorker !== undefined) return isSuitable(trialWorker, member) && hasFreeCapacity(trialWorker, member.step) ? trialWorker : undefined
  let best: PoolWorker | undefined
  let bestCost = Number.POSITIVE_INFINITY
  for (const worker of workers) {
    if (!isSuitable(worker, member) || !isOpenTo(worker, member) || !hasFreeCapacity(worker, member.step)) continue
    const cost = computeCost(worker, member, groupWorkers)
    if (cost < bestCost) {
      best = worker
      bestCost = cost
    }
  }
  return best
}

function isSuitable (worker: PoolWorker, { step, stepKey, allowed, runningOn }: StartableTask): boolean {
  if (worker.key === runningOn) return false
  if (step.label !== '' && !worker.labels.includes(step.label)) return false
  if (allowed !== null && !allowed.has(worker.key)) return false
  return step.maxPerWorker === 0 || (worker.taskCountByStep.get(stepKey) ?? 0) < step.maxPerWorker
}

/** A suspected job needs a worker without fresh runs of others, which then starts nothing else. */
function isOpenTo ({ freshRuns, trialJob }: PoolWorker, { suspectJob }: StartableTask): boolean {
  if (trialJob !== null) return trialJob === suspectJob
  return suspectJob === null || freshRuns === 0
}

function hasFreeCapacity ({ free }: PoolWorker, step: Step): boolean {
  return free.memory >= step.memory && free.accelerators >= step.accelerators && (step.isFiller || free.cpu >= step.cpu)
}

function computeCost (worker: PoolWorker, { step, stepKey, failedOn, suspectJob }: StartableTask, groupWorkers: readonly PoolWorker[]): number {
  let cost = (worker.slowdown - 1) * SLOWDOWN_COST
  if (failedOn.includes(worker.key) || failedOn.includes(worker.machine)) cost += FAILED_BEFORE_COST
  if (step.dataRack !== '' && !worker.labels.includes(step.dataRack)) cost += REMOTE_RACK_COST
  if (step.prefersOneRack && groupWorkers.length > 0 && !hasOnlyLabelsOf(worker, groupWorkers[0] as PoolWorker)) cost += REMOTE_RACK_COST
  const freeShare = worker.room.cpu === 0 ? 0 : worker.free.cpu / worker.room.cpu
  // The worker that loses least if it crashes.
  if (suspectJob !== null) return cost - freeShare
  // Long-running tasks are spread over two workers, so that half of a step survives the loss of one; others are packed.
  if (step.isLasting) return cost + (worker.hasLongLease ? LONG_LEASE_COST : 0) + Math.max(0, (worker.taskCountByStep.get(stepKey) ?? 0) + 1 - Math.ceil(step.count / 2)) * SAME_STEP_COST + freeShare
  return cost + freeShare
}

function hasOnlyLabelsOf (a: PoolWorker, b: PoolWorker): boolean {
  return a.labels.every((label) => b.labels.includes(label))
}

function adjustAllocation (worker: PoolWorker, { step, stepKey, suspectJob }: StartableTask, sign: 1 | -1): void {
  worker.free.memory -= sign * step.memory
  worker.free.accelerators -= sign * step.accelerators
  if (!step.isFiller) worker.free.cpu -= sign * step.cpu
  worker.taskCountByStep.set(stepKey, (worker.taskCountByStep.get(stepKey) ?? 0) + sign)
  worker.freshRuns += sign
  if (suspectJob !== null) worker.trialJob = worker.freshRuns > 0 ? suspectJob : null
}

/** Reserves a worker whose total capacity is sufficient: one that is soon without fresh runs for a suspected job, otherwise the one with the most free processor capacity. */
function reserveWorker (workers: readonly PoolWorker[], member: StartableTask, reserved: Set<PoolWorker>): void {
  const { step } = member
  const eligible = workers.filter((worker) => worker.trialJob === null && isSuitable(worker, member) && worker.room.memory >= step.memory && worker.room.accelerators >= step.accelerators && worker.room.cpu >= step.cpu)
  const mostFree = eligible.sort((a, b) => (member.suspectJob === null ? 0 : a.freshRuns - b.freshRuns) || b.free.cpu - a.free.cpu)[0]
  if (mostFree !== undefined) reserved.add(mostFree)
}
