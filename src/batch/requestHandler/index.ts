/** Handles requests to the leader during one term. */
import type { Millis } from '../../clock/index.js'
import { tellMembers, type KnownMembers } from '../../links/groupMembers/index.js'
import type { TermContext } from '../leader/context.js'
import type { JobAdmission } from '../admission/index.js'
import { explainBatch } from '../explainBatch/index.js'
import { matchQueue } from '../matchQueue/index.js'
import { findWorkspaceByKey } from '../../workspaces/findWorkspace/index.js'
import { RefusalLog } from '../../workspaces/refusalLog/index.js'
import type { ControlAnswer, ControlRequest, KeyDigest } from '../requests.js'
import type { CurrentWait } from '../placeWait/index.js'
import { queueKey } from '../state/queues/index.js'
import type { JobRecord } from '../state/records.js'
import { workerKey, type JobPhase, type Queue } from '../types.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'

const JOB_ID = /^[0-9a-f]{16}$/i

/** Maximum wait of a cancellation for pending starts of the job; workers answer within milliseconds. */
const MAX_SETTLE_WAIT_MS: Millis = 300

const LEASE_NOT_CONFIRMED = 'the leader lease is not confirmed'

type RequestOf<K extends ControlRequest['kind']> = Extract<ControlRequest, { readonly kind: K }>

type Handlers = { readonly [K in ControlRequest['kind']]: (req: RequestOf<K>) => Promise<ControlAnswer> | ControlAnswer }

/** The queue that a call names, the id of the job in its path, and the workspace of its key, empty for none. */
interface FoundQueue {
  readonly queue: Queue
  readonly id: string
  readonly workspace: string
}

/** Callbacks of the handler into the other components of the term. */
export interface RequestListener {
  /** Called when a job, a cancellation, a configuration or a wave was committed. */
  readonly onWork: () => void
  /** Called with the id of each newly accepted job. */
  readonly onJob: (id: string) => void
  /** Returns the address of the process through which a worker is called, or null when the leader calls it itself. */
  readonly relayOf: (worker: string) => string | null
  /** Returns the wait of a task for a near place, or null when it does not wait. */
  readonly waitOf: (task: string) => CurrentWait | null
  /** Returns the addresses of the group's members. */
  readonly members: () => KnownMembers
}

/** Handles the requests to the leader of one term. */
export class LeaderRequestHandler {
  readonly #context: TermContext
  readonly #registry: WorkerRegistry
  readonly #admission: Pick<JobAdmission, 'decide'>
  readonly #listener: RequestListener
  readonly #handlers: Handlers
  readonly #refusalLog: RefusalLog
  /** Ids of the jobs whose acceptance is proposed and not yet committed. */
  readonly #pendingJobs = new Set<string>()

  /**
   * @param context - shared dependencies of the term
   * @param registry - sessions with the workers
   * @param admission - decides whether a job is accepted
   * @param listener - callbacks into the other components
   */
  constructor (context: TermContext, registry: WorkerRegistry, admission: Pick<JobAdmission, 'decide'>, listener: RequestListener) {
    this.#context = context
    this.#refusalLog = new RefusalLog(context.clock, context.log)
    this.#registry = registry
    this.#admission = admission
    this.#listener = listener
    this.#handlers = {
      submit: (req) => this.#submit(req),
      show: (req) => this.#show(req),
      cancel: (req) => this.#cancel(req),
      report: async ({ report }) => {
        await this.#registry.report(report)
        // Its relay knows as well as the leader what the state has about it.
        const relay = this.#listener.relayOf(workerKey(report))
        return relay === null ? { kind: 'accepted' } : { kind: 'accepted', reportTo: relay }
      },
      leave: ({ worker }) => {
        this.#registry.leave(worker)
        return { kind: 'accepted' }
      },
      configure: (req) => this.#configure(req),
      readConfig: () => {
        const { config } = this.#context.state.data
        return config === null ? { kind: 'noConfig' } : { kind: 'config', version: config.version, document: config.document }
      },
      startWave: (req) => this.#startWave(req),
      readWave: ({ id }) => {
        const wave = this.#context.state.data.waves.get(id)
        return wave === undefined ? { kind: 'noWave' } : { kind: 'wave', isCompleted: wave.isCompleted }
      },
      explain: ({ what, name }) => ({ kind: 'explained', lines: explainBatch({ state: this.#context.state, sessions: [...this.#registry.sessions], relayOf: this.#listener.relayOf, waitOf: this.#listener.waitOf, wall: this.#context.clock.wall() }, what, name) }),
      ping: () => ({ kind: 'pong', ...tellMembers(this.#listener.members()) })
    }
  }

  /**
   * Answers a request.
   *
   * @param req - the request
   * @returns the answer; `unclear` when the leader lease is not confirmed
   */
  async answer (req: ControlRequest): Promise<ControlAnswer> {
    this.#context.metrics.count('oleanderward_leader_requests', { kind: req.kind })
    const handler = this.#handlers[req.kind] as (req: ControlRequest) => Promise<ControlAnswer> | ControlAnswer
    if (!this.#context.mayOrder()) return { kind: 'unclear', reason: LEASE_NOT_CONFIRMED }
    const answer = await handler(req)
    // Reads must not be stale: the lease is checked again after the handler, in case leadership was lost meanwhile.
    return this.#context.mayOrder() || answer.kind === 'accepted' ? answer : { kind: 'unclear', reason: LEASE_NOT_CONFIRMED }
  }

  async #submit (req: RequestOf<'submit'>): Promise<ControlAnswer> {
    const { state, propose, log } = this.#context
    const found = this.#findQueue(req)
    if ('kind' in found) return found
    const { queue, id, workspace } = found
    const { spec } = req
    if (!JOB_ID.test(id)) return { kind: 'noQueue' }
    if (!state.data.jobs.has(id)) {
      // A copy of a call whose job is being accepted is never refused: the job may run.
      const refusal = this.#pendingJobs.has(id) ? null : this.#admission.decide({ spec, id, queue, workspace }, state.data, this.#pendingJobs.size)
      if (refusal !== null) return { kind: 'refused', ...refusal }
      this.#pendingJobs.add(id)
      await propose('accept', { jobs: [{ ...spec, id, queue: queueKey(queue), service: queue.service, workspace }] }).finally(() => { this.#pendingJobs.delete(id) })
      log.info('job.accepted', { job: id, queue: queue.name, workspace: workspace === '' ? undefined : workspace, isBeyondRate: state.data.jobs.get(id)?.isBeyondRate === true ? true : undefined, service: queue.service, steps: spec.steps.length, tasks: spec.steps.reduce((sum, step) => sum + step.count, 0), config: state.data.config?.version })
      this.#listener.onJob(id)
      this.#listener.onWork()
    }
    return { kind: 'accepted' }
  }

  #show (req: RequestOf<'show'>): ControlAnswer {
    const found = this.#findQueue(req)
    if ('kind' in found) return found
    const { queue, id } = found
    if (id === '') return { kind: 'count', pending: this.#context.state.getPendingCount(queueKey(queue)) }
    const job = this.#findJob(found)
    return job === undefined ? { kind: 'noJob' } : { kind: 'job', phase: getJobPhase(job) }
  }

  async #cancel (req: RequestOf<'cancel'>): Promise<ControlAnswer> {
    const { clock, propose, log, signal } = this.#context
    const found = this.#findQueue(req)
    if ('kind' in found) return found
    const job = this.#findJob(found)
    if (job === undefined) return { kind: 'noJob' }
    if (job.state === 'active') {
      await propose('cancel', { ids: [job.id] })
      log.info('job.cancelled', { job: job.id, queue: found.queue.name })
      this.#listener.onWork()
      await Promise.race([this.#registry.settleStarts(job.id), clock.sleep(MAX_SETTLE_WAIT_MS, signal)])
    }
    return { kind: 'accepted' }
  }

  async #configure ({ config }: RequestOf<'configure'>): Promise<ControlAnswer> {
    const { state, propose, log } = this.#context
    const before = state.data.config?.version ?? null
    if (before === null || config.version > before) {
      const isNew = await propose('configure', { config })
      log.info('config.received', { version: config.version, before, queues: config.queues.length, isInForce: isNew })
      this.#listener.onWork()
    } else log.info('config.outdated', { version: config.version, inForce: before })
    return { kind: 'accepted' }
  }

  async #startWave ({ id, machines, deadlineMs, cap }: RequestOf<'startWave'>): Promise<ControlAnswer> {
    const { state, propose, log } = this.#context
    if (!state.data.waves.has(id)) {
      await propose('startWave', { wave: { id, machines, deadlineMs, cap } })
      log.info('wave.started', { wave: id, machines: machines.length, cap, deadlineMs })
      this.#listener.onWork()
    }
    return { kind: 'accepted' }
  }

  /** Finds the queue of a call and checks the key. The leader lease guarantees that no newer configuration has withdrawn it. */
  #findQueue ({ host, path, keyDigest }: { readonly host: string, readonly path: string, readonly keyDigest: KeyDigest }): FoundQueue | ControlAnswer {
    const { config } = this.#context.state.data
    if (config === null) return { kind: 'noConfig' }
    const queue = matchQueue(config, host, path)
    if (queue === undefined) return { kind: 'noQueue' }
    const workspace = keyDigest === null ? undefined : findWorkspaceByKey(config, keyDigest)
    if (workspace === undefined && config.workspaces !== null && !queue.isPublic) {
      this.#refusalLog.record(queue.name, keyDigest !== null)
      return { kind: 'unknownKey' }
    }
    return { queue, id: path.slice(queue.prefix.length), workspace: workspace?.name ?? '' }
  }

  /** Returns the job that a call names, unless it is in another queue or of another workspace. */
  #findJob ({ queue, id, workspace }: FoundQueue): JobRecord | undefined {
    const job = this.#context.state.data.jobs.get(id)
    if (job === undefined || job.queue !== queueKey(queue)) return undefined
    // Jobs without a workspace were accepted in a public queue, or before the configuration had workspaces.
    return queue.isPublic || job.workspace === '' || job.workspace === workspace ? job : undefined
  }
}

/**
 * Returns the phase of a job as shown to its submitter.
 *
 * @param job - the job
 */
export function getJobPhase (job: JobRecord): JobPhase {
  if (job.state !== 'active') return job.state
  return job.hasStarted ? 'running' : 'queued'
}
