/** Test data of the wait for near places: two racks of workers with runs that are about to end. */
import { ManualClock, type Millis } from '../../clock/index.js'
import { createConfig, createJob, createQueue, createStep, createWorker } from '../fixtures/index.js'
import { createTermContext } from '../fixtures/termContext.js'
import type { PoolWorker, StartGroup } from '../planStarts/index.js'
import { RunStats } from '../runStats/index.js'
import { RunTimes } from '../runTimes/index.js'
import { BatchState } from '../state/index.js'
import type { JobSpec, Queue, Step } from '../types.js'
import { PlaceWait } from './index.js'

/** One core for each of 4 tasks. */
const ROOM = { cpu: 4000, memory: 8000, accelerators: 0 }

/** Ratio of run time to estimate that nobody has observed yet. */
const INITIAL_RATIO = 1.3

/** What differs from a term of a minute, a penalty of 3, and a queue with an objective of 10 s. */
export interface FixtureOptions {
  readonly penalty?: number
  readonly termMs?: Millis
  readonly queue?: Partial<Queue>
}

/**
 * Creates a term with workers `n0`, `n1` on rack `r1` and `f0`, `f1` on rack `r2`.
 *
 * @param options - what differs from the defaults
 */
export function createPlaceWaitFixture ({ penalty = 3, termMs = 60_000, queue = {} }: FixtureOptions = {}) {
  const clock = new ManualClock()
  const state = new BatchState()
  const { log, metrics } = createTermContext(clock, state)
  const stats = new RunStats()
  const placeWait = new PlaceWait({ clock, state, stats, runTimes: new RunTimes(penalty), log, metrics })
  const names = ['n0', 'n1', 'f0', 'f1']
  state.apply(1, { type: 'configure', at: 0, config: createConfig(1, [createQueue({ targetLatencyMs: 10_000, ...queue })]) })
  state.apply(2, { type: 'enrol', at: 0, workers: names.map((name) => createWorker(name, { labels: ['a', name.startsWith('n') ? 'r1' : 'r2'], room: ROOM })) })
  let jobs = 0
  const accept = (step: Partial<Step>, changes: Partial<JobSpec> = {}): string => {
    jobs += 1
    const id = jobs.toString(16).padStart(16, '0')
    state.apply(3, { type: 'accept', at: clock.wall(), jobs: [createJob(id, { steps: [createStep(step)], ...changes })] })
    return id
  }
  return {
    clock,
    state,
    stats,
    placeWait,
    accept,
    /** Lets the term grow old enough for waits. */
    begin: async (): Promise<void> => { await clock.advance(termMs) },
    /** Places a run on a worker that is expected to end in `leftMs`, and returns its task. */
    occupy: (worker: string, leftMs: Millis, step: Partial<Step> = {}): string => {
      const id = accept({ cpu: 4000, memory: 8000, estimateMs: 10_000, ...step })
      state.apply(4, { type: 'place', at: clock.wall() - (10_000 * INITIAL_RATIO - leftMs), placements: [{ task: `${id}.0.0.0`, run: 1, worker: `${worker}@1` }] })
      return `${id}.0.0.0`
    },
    /** Describes the workers as the scheduler does. */
    listWorkers: (changes: Partial<PoolWorker> = {}): PoolWorker[] => names.map((name) => {
      const isNear = name.startsWith('n')
      const used = [...state.runsOn(`${name}@1`).keys()].map((task) => state.data.jobs.get(task.split('.')[0] as string)?.steps[0] as Step)
      const sum = (field: 'cpu' | 'memory'): number => used.reduce((total, step) => total + step[field], 0)
      const worker: PoolWorker = { key: `${name}@1`, machine: `m-${name}`, zone: 'a', labels: ['a', isNear ? 'r1' : 'r2'], room: ROOM, free: { cpu: ROOM.cpu - sum('cpu'), memory: ROOM.memory - sum('memory'), accelerators: 0 }, taskCountByStep: new Map(), startsLeft: Number.POSITIVE_INFINITY, slowdown: 1, freshRuns: 0, trialJob: null, hasLongLease: false }
      return isNear ? { ...worker, ...changes } : worker
    }),
    /** Lists the tasks of a step as one group each, or as a gang. */
    listGroups: (id: string, suspectJob: string | null = null, failedOn: readonly string[] = []): StartGroup[] => {
      const step = state.data.jobs.get(id)?.steps[0] as Step
      const members = Array.from({ length: step.count }, (_, i) => ({ task: `${id}.0.0.${i}`, stepKey: `${id}.0.0`, step, failedOn, allowed: null, suspectJob }))
      return step.isGang ? [{ members, mayReserve: false }] : members.map((member) => ({ members: [member], mayReserve: true }))
    }
  }
}
