/** What operators can do through the leader. */
import * as z from 'zod'
import { NotLeaderError } from '../../consensus/errors.js'
import type { Member } from '../../consensus/types.js'
import { hasError, formatFinding } from '../../contracts/findings/index.js'
import { rulesSchema } from '../../contracts/rules/types.js'
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

/** Pause between two looks at the members, in milliseconds. */
const MEMBERS_POLL_MS = 100

/** Longest wait for a change to come into force. */
const IN_FORCE_TIMEOUT_MS = 8000

const inventoryVm = z.strictObject({ id: z.string().min(1).max(63), rack: z.string().min(1), zone: z.string().min(1), pool: z.string().min(1), cores: z.number().min(0), memoryGb: z.number().min(0), accelerators: z.number().int().min(0) })

/** Schema of a change of configuration. */
export const applySchema = z.strictObject({
  operation: z.string().min(1).max(100),
  expectedVersion: z.number().int().min(0),
  by: z.string().min(1).max(100),
  summary: z.string().max(500),
  vms: z.array(inventoryVm).min(1).max(100_000).nullable(),
  rules: rulesSchema.nullable()
})

/** A change of configuration as an operator submits it. */
export type ApplyRequest = z.output<typeof applySchema>

/** How a change of configuration ended. */
export type ApplyOutcome = ApplyResult & { readonly inForce: InForce | null, readonly warnings: readonly string[] }

/** What `show` prints. */
export interface ShownConfig {
  readonly version: number
  readonly rules: FleetData['rules']
  readonly vms: ReadonlyArray<{ readonly id: string, readonly pool: string, readonly zone: string, readonly rack: string, readonly phase: string, readonly health: string }>
}

/** What `status` prints of the fleet. */
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

  /**
   * @param replica - this process's member of the group
   * @param session - the current term as leader
   * @param data - replicated state
   */
  constructor (replica: Replica, session: LeaderSession, data: FleetData) {
    this.#replica = replica
    this.#session = session
    this.#data = data
  }

  /**
   * Accepts a change of configuration and waits until it is in force everywhere.
   *
   * @param req - the change
   * @throws RefusedError when rules and inventory don't fit each other
   */
  async apply (req: ApplyRequest): Promise<ApplyOutcome> {
    const warnings = this.#check(req)
    const result = await this.#session.propose('applyConfig', req)
    if (result.status === 'conflict') return { ...result, inForce: null, warnings: [] }
    return { ...result, inForce: await this.#waitInForce(result.rev), warnings }
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
   * @param selector - which VMs
   */
  async planWave (selector: WaveSelector): Promise<WavePlan> {
    await this.#replica.confirmLeadership()
    return planWave(this.#data, selectVms(this.#data, selector))
  }

  /**
   * Starts a wave.
   *
   * @param operation - id of the operation, for resends
   * @param selector - which VMs
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
   * @param state - state wanted
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
   * @param toPool - its new pool
   */
  async moveVm (vm: string, toPool: string): Promise<string> {
    const { started, refused } = await this.#session.propose('startDrain', { vms: [vm], purpose: { kind: 'move', toPool } })
    if (started.length === 0) throw new RefusedError(`VM ${vm} can't move: ${refused[0]?.reason ?? 'unknown'}`)
    return `VM ${vm} drains and moves to pool ${toPool}.`
  }

  /**
   * Lists jobs.
   *
   * @param selector - which jobs
   * @param most - how many at the most
   */
  async listJobs (selector: JobSelector, most: number): Promise<readonly Job[]> {
    await this.#replica.confirmLeadership()
    return [...this.#data.jobs.values()].filter((job) => matchesSelector(job, selector)).slice(-most)
  }

  /**
   * Cancels jobs with one command.
   *
   * @param operation - id of the operation, for resends
   * @param selector - which jobs
   */
  cancelJobs (operation: string, selector: JobSelector): Promise<{ cancelled: number }> {
    return this.#session.propose('cancelJobs', { operation, selector })
  }

  /**
   * Adds a member, or replaces one in a single operation.
   *
   * @param member - the new member
   * @param replaces - member that leaves once the new one is a voter
   */
  async addMember (member: Omit<Member, 'role'>, replaces: string | null): Promise<string> {
    const { members } = this.#replica.status()
    // A resend goes on where the first call has come to.
    if (!members.some((each) => each.id === member.id && each.instance === member.instance)) await this.#replica.addMember(member)
    if (replaces === null) return `Member ${member.id} was added and becomes a voter once it has caught up.`
    while (!this.#isSettledVoter(member.id)) {
      if (!this.#replica.isLeader) throw new NotLeaderError(this.#replica.leader)
      await this.#replica.changed.waitBeyond(this.#replica.changed.count, MEMBERS_POLL_MS, this.#session.signal)
    }
    const isLeft = !this.#replica.status().members.some((each) => each.id === replaces)
    if (!isLeft) await this.#replica.removeMember(replaces)
    return `Member ${member.id} is a voter and has replaced ${replaces}.`
  }

  /** Whether a member's promotion is committed, so that the next change of members may follow. */
  #isSettledVoter (id: string): boolean {
    const { members, areMembersPending } = this.#replica.status()
    return !areMembersPending && members.some((each) => each.id === id && each.role === 'voter')
  }

  #check (req: ApplyRequest): string[] {
    const rules = req.rules ?? this.#data.rules
    const vms = req.vms ?? [...this.#data.vms.values()]
    if (rules === null) throw new RefusedError('the first change must bring rules')
    const findings = checkFleet(rules, vms, () => ({ source: 'rules' }))
    if (hasError(findings)) throw new RefusedError(findings.map(formatFinding).join('\n'))
    return findings.map(formatFinding)
  }

  async #waitInForce (rev: number): Promise<InForce> {
    const timeout = AbortSignal.any([this.#session.signal, AbortSignal.timeout(IN_FORCE_TIMEOUT_MS)])
    const inForce = await this.#session.entries.waitUntilInForce(rev, timeout)
    // A later leader must confirm it: the client sends the operation again and waits there.
    if (!this.#session.entries.isInForce(rev)) throw new NotLeaderError(this.#replica.leader)
    return inForce
  }
}
