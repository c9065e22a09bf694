/** Operations that operators run through the leader. */
import * as z from 'zod'
import type { Clock } from '../../clock/index.js'
import { DEFAULT_TIMINGS } from '../../consensus/constants.js'
import { NotLeaderError } from '../../consensus/errors.js'
import type { Member } from '../../consensus/types.js'
import { hasError, formatFinding } from '../../contracts/findings/index.js'
import { rulesSchema } from '../../contracts/rules/types.js'
import { isHeldBack } from '../../group/membershipManager/index.js'
import type { InForce } from '../../links/entryRegistry/index.js'
import { matchesSelector } from '../../jobs/selector/index.js'
import { RefusedError } from '../../links/replies.js'
import { checkFleet } from '../../machines/checkFleet/index.js'
import { measureBudgets, type BudgetUse } from '../../machines/budget/index.js'
import type { ApplyResult, JobSelector } from '../../state/commands.js'
import type { FleetData, HistoryItem, Job, Wave } from '../../state/types.js'
import { planWave, selectVms, type WavePlan, type WaveSelector } from '../../waves/plan/index.js'
import type { Replica } from '../../consensus/replica/index.js'
import type { LeaderSession } from '../session/index.js'

const MEMBERSHIP_POLL_INTERVAL_MS = 100

/** Maximum wait until a change is in force on all entries. */
const IN_FORCE_TIMEOUT_MS = 8000

const inventoryVmSchema = z.strictObject({ id: z.string().min(1).max(63), rack: z.string().min(1), zone: z.string().min(1), pool: z.string().min(1), cores: z.number().min(0), memoryGb: z.number().min(0), accelerators: z.number().int().min(0) })

/** Schema of a configuration change. */
export const applySchema = z.strictObject({
  operation: z.string().min(1).max(100),
  expectedVersion: z.number().int().min(0),
  by: z.string().min(1).max(100),
  summary: z.string().max(500),
  vms: z.array(inventoryVmSchema).min(1).max(100_000).nullable(),
  rules: rulesSchema.nullable()
})

/** A configuration change as an operator submits it. */
export type ApplyRequest = z.output<typeof applySchema>

/** Result of a configuration change. */
export type ApplyOutcome = ApplyResult & { readonly inForce: InForce | null, readonly warnings: readonly string[] }

/** Configuration as printed by `show`. */
export interface ShownConfig {
  readonly version: number
  readonly rules: FleetData['rules']
  readonly vms: ReadonlyArray<{ readonly id: string, readonly pool: string, readonly zone: string, readonly rack: string, readonly phase: string, readonly health: string }>
}

/** State of the fleet as printed by `status`. */
export interface FleetStatus {
  readonly version: number
  readonly entries: ReturnType<LeaderSession['entries']['list']>
  readonly vms: { readonly total: number, readonly up: number, readonly lost: number, readonly absent: number, readonly draining: number, readonly rebooting: number }
  readonly budgets: ReadonlyArray<Pick<BudgetUse, 'name' | 'vms' | 'down' | 'maxDown'>>
  readonly waves: readonly Wave[]
  readonly jobs: Readonly<Record<string, number>>
}

/** Operations on the fleet, run by the leader. */
export class Operations {
  readonly #replica: Replica
  readonly #session: LeaderSession
  readonly #data: FleetData
  readonly #clock: Clock

  /**
   * @param replica - this process's member of the group
   * @param session - the current term as leader
   * @param data - replicated state
   * @param clock - source of time
   */
  constructor (replica: Replica, session: LeaderSession, data: FleetData, clock: Clock) {
    this.#clock = clock
    this.#replica = replica
    this.#session = session
    this.#data = data
  }

  /**
   * Commits a configuration change and waits until it is in force on all entries.
   *
   * @param req - the change
   * @returns the result; a conflict when the expected version is not the current one
   * @throws RefusedError when rules and inventory are inconsistent; NotLeaderError when the change is not in force in
   * time, for instance because leadership has ended
   */
  async apply (req: ApplyRequest): Promise<ApplyOutcome> {
    const warnings = this.#checkConfig(req)
    const result = await this.#session.propose('applyConfig', req)
    if (result.status === 'conflict') return { ...result, inForce: null, warnings: [] }
    return { ...result, inForce: await this.#waitUntilInForce(result.rev), warnings }
  }

  /** Returns the accepted changes, oldest first. */
  async history (): Promise<readonly HistoryItem[]> {
    await this.#replica.confirmLeadership()
    return this.#data.history
  }

  /** Returns the configuration in force. */
  async show (): Promise<ShownConfig> {
    await this.#replica.confirmLeadership()
    const vms = [...this.#data.vms.values()].map(({ id, pool, zone, rack, phase, health }) => ({ id, pool, zone, rack, phase, health }))
    return { version: this.#data.version, rules: this.#data.rules, vms }
  }

  /** Returns the state of the fleet. */
  async status (): Promise<FleetStatus> {
    await this.#replica.confirmLeadership()
    const vms = [...this.#data.vms.values()]
    const jobs: Record<string, number> = {}
    for (const job of this.#data.jobs.values()) jobs[job.state] = (jobs[job.state] ?? 0) + 1
    return {
      version: this.#data.version,
      entries: this.#session.entries.list(),
      vms: {
        total: vms.length,
        up: vms.filter((vm) => vm.health === 'up').length,
        lost: vms.filter((vm) => vm.health === 'lost').length,
        absent: vms.filter((vm) => vm.health === 'absent').length,
        draining: vms.filter((vm) => vm.phase === 'draining').length,
        rebooting: vms.filter((vm) => vm.phase === 'rebooting').length
      },
      budgets: [...measureBudgets(this.#data).values()].map(({ name, vms, down, maxDown }) => ({ name, vms, down, maxDown })),
      waves: [...this.#data.waves.values()].filter((wave) => wave.endedAt === null),
      jobs
    }
  }

  /**
   * Plans a wave without starting it.
   *
   * @param selector - VMs to maintain
   */
  async planWave (selector: WaveSelector): Promise<WavePlan> {
    await this.#replica.confirmLeadership()
    return planWave(this.#data, selectVms(this.#data, selector))
  }

  /**
   * Starts a wave.
   *
   * @param operation - id of the operation; makes a resend idempotent
   * @param selector - VMs to maintain
   * @returns the id of the wave
   * @throws RefusedError when no VM matches the selector
   */
  async startWave (operation: string, selector: WaveSelector): Promise<{ wave: string }> {
    const vms = selectVms(this.#data, selector).map((vm) => vm.id)
    if (vms.length === 0) throw new RefusedError('no VM matches the selection')
    return await this.#session.propose('startWave', { operation, vms })
  }

  /**
   * Pauses, resumes or aborts a wave.
   *
   * @param wave - id of the wave
   * @param state - requested state
   * @throws RefusedError when there is no such wave
   */
  async setWave (wave: string, state: 'running' | 'paused' | 'aborted'): Promise<string> {
    const result = await this.#session.propose('setWave', { wave, state, reason: 'by an operator' })
    if (result === 'unknown') throw new RefusedError(`there is no wave ${wave}`)
    return result
  }

  /** Lists all waves. */
  async waves (): Promise<readonly Wave[]> {
    await this.#replica.confirmLeadership()
    return [...this.#data.waves.values()]
  }

  /**
   * Starts moving a VM to another pool.
   *
   * @param vm - name of the VM
   * @param toPool - name of the new pool
   * @returns a message for the operator
   * @throws RefusedError when the VM can't move
   */
  async moveVm (vm: string, toPool: string): Promise<string> {
    const { started, refused } = await this.#session.propose('startDrain', { vms: [vm], purpose: { kind: 'move', toPool } })
    if (started.length === 0) throw new RefusedError(`VM ${vm} can't move: ${refused[0]?.reason ?? 'unknown'}`)
    return `VM ${vm} is draining and then moves to pool ${toPool}.`
  }

  /**
   * Lists jobs.
   *
   * @param selector - jobs to list
   * @param limit - maximum number of jobs; the newest ones are listed
   */
  async listJobs (selector: JobSelector, limit: number): Promise<readonly Job[]> {
    await this.#replica.confirmLeadership()
    return [...this.#data.jobs.values()].filter((job) => matchesSelector(job, selector)).slice(-limit)
  }

  /**
   * Cancels jobs with one command.
   *
   * @param operation - id of the operation; makes a resend idempotent
   * @param selector - jobs to cancel
   * @returns how many jobs were cancelled
   */
  cancelJobs (operation: string, selector: JobSelector): Promise<{ cancelled: number }> {
    return this.#session.propose('cancelJobs', { operation, selector })
  }

  /**
   * Adds a member, or replaces one in a single operation. The one to replace is removed once the new one is a voter, or
   * before, if a voter does not answer: a quorum of more voters would depend on the new one.
   *
   * @param member - the new member
   * @param replacedId - name of the member to remove, or null
   * @returns a message for the operator
   */
  async addMember (member: Omit<Member, 'role'>, replacedId: string | null): Promise<string> {
    const { members } = this.#replica.status()
    // A resend continues where the earlier call stopped.
    if (!members.some((each) => each.id === member.id && each.instance === member.instance)) await this.#replica.addMember(member)
    if (replacedId === null) return `Member ${member.id} was added and becomes a voter once it has caught up and, if the quorum grows, all voters answer.`
    while (!this.#isCommittedVoter(member.id)) {
      if (!this.#replica.isLeader) throw new NotLeaderError(this.#replica.leader)
      if (this.#mustRemoveFirst(member.id, replacedId)) await this.#replica.removeMember(replacedId)
      await this.#replica.changed.waitBeyond(this.#replica.changed.count, MEMBERSHIP_POLL_INTERVAL_MS, this.#session.signal)
    }
    const hasLeft = !this.#replica.status().members.some((each) => each.id === replacedId)
    if (!hasLeft) await this.#replica.removeMember(replacedId)
    return `Member ${member.id} is a voter and has replaced ${replacedId}.`
  }

  /** Whether a new member waits for a voter that does not answer, while the member that it replaces is still in the group. */
  #mustRemoveFirst (id: string, replacedId: string): boolean {
    const status = this.#replica.status()
    const isReplacedThere = status.members.some((each) => each.id === replacedId)
    return isReplacedThere && !status.areMembersPending && isHeldBack(id, status, this.#clock.now(), DEFAULT_TIMINGS.heartbeatMs)
  }

  /** Whether a member's promotion to voter is committed, so that the next membership change may follow. */
  #isCommittedVoter (id: string): boolean {
    const { members, areMembersPending } = this.#replica.status()
    return !areMembersPending && members.some((each) => each.id === id && each.role === 'voter')
  }

  #checkConfig (req: ApplyRequest): string[] {
    const rules = req.rules ?? this.#data.rules
    const vms = req.vms ?? [...this.#data.vms.values()]
    if (rules === null) throw new RefusedError('the first configuration change must contain rules')
    const findings = checkFleet(rules, vms, () => ({ source: 'rules' }))
    if (hasError(findings)) throw new RefusedError(findings.map(formatFinding).join('\n'))
    return findings.map(formatFinding)
  }

  async #waitUntilInForce (rev: number): Promise<InForce> {
    const timeout = AbortSignal.any([this.#session.signal, AbortSignal.timeout(IN_FORCE_TIMEOUT_MS)])
    const inForce = await this.#session.entries.waitUntilInForce(rev, timeout)
    // Only a later leader can confirm the change: the client resends the operation to it and waits there.
    if (!this.#session.entries.isInForce(rev)) throw new NotLeaderError(this.#replica.leader)
    return inForce
  }
}
