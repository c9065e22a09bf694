/** Runs tasks at a stand-in endpoint under leases, as the interface of endpoints requires. */
import type { TaskOrder, TaskReport } from '../../src/contracts/types.js'
import type { Oracle } from '../oracle/index.js'

/** Payload of a stand-in task. */
export interface TaskPayload {
  /** How long the task actually runs, in milliseconds. */
  readonly ranMs: number
  /** Number of cores that it actually uses. */
  readonly cores?: number
  /** Whether the task fails. */
  readonly fails?: boolean
}

interface RunningTask {
  readonly order: TaskOrder
  readonly startedAt: number
  /** Work that earlier runs saved in a checkpoint, in milliseconds. */
  readonly doneBeforeMs: number
  readonly timer: NodeJS.Timeout
}

/** Runs the tasks of one endpoint from one boot to the next. */
export class TaskRunner {
  readonly #vm: string
  readonly #oracle: Oracle
  readonly #shouldFailAll: () => boolean
  readonly #runningTasks = new Map<string, RunningTask>()
  /** Reports of ended tasks that control has not acknowledged yet, by key. */
  readonly #endedTasks = new Map<string, TaskReport>()
  /** Keys of all tasks started. An entry with an older view may still order a task that has ended, which must not start again. */
  readonly #startedTasks = new Set<string>()
  #leaseTimer: NodeJS.Timeout | null = null

  /**
   * @param vm - name of the VM
   * @param oracle - records starts and ends of tasks
   * @param shouldFailAll - returns whether a task that starts now must fail
   */
  constructor (vm: string, oracle: Oracle, shouldFailAll: () => boolean) {
    this.#vm = vm
    this.#oracle = oracle
    this.#shouldFailAll = shouldFailAll
  }

  /**
   * Creates the task reports for the next announcement.
   *
   * @returns all running tasks, and the ended ones that control has not acknowledged
   */
  reports (): TaskReport[] {
    const running = [...this.#runningTasks.values()].map(({ order, startedAt, doneBeforeMs }): TaskReport => ({
      job: order.job,
      token: order.token,
      state: 'running',
      checkpoint: doneBeforeMs + Date.now() - startedAt
    }))
    return [...running, ...this.#endedTasks.values()]
  }

  /**
   * Applies the orders from the answer to an announcement: stops tasks that are no longer ordered, ends those that are to be
   * checkpointed, starts new ones and renews the lease.
   *
   * @param orders - all tasks of this VM
   * @param leaseExpiresAt - when the lease of all tasks expires, in milliseconds since the Unix epoch
   */
  applyOrders (orders: readonly TaskOrder[], leaseExpiresAt: number): void {
    for (const { order } of this.#runningTasks.values()) {
      const currentOrder = orders.find((each) => each.job === order.job && each.token === order.token)
      if (currentOrder === undefined) this.#stop(order)
      else if (currentOrder.action === 'checkpoint') this.#finish(order, 'checkpointed')
    }
    for (const order of orders) {
      if (order.action === 'run' && !this.#startedTasks.has(createTaskKey(order))) this.#start(order)
    }
    if (this.#leaseTimer !== null) clearTimeout(this.#leaseTimer)
    this.#leaseTimer = setTimeout(() => { this.#onLeaseExpired() }, Math.max(0, leaseExpiresAt - Date.now()))
  }

  /**
   * Removes the reports of ended tasks that control has acknowledged.
   *
   * @param acknowledged - jobs and fencing tokens of the tasks
   */
  acknowledge (acknowledged: ReadonlyArray<{ readonly job: string, readonly token: number }>): void {
    for (const each of acknowledged) this.#endedTasks.delete(createTaskKey(each))
  }

  /** Stops all running tasks and keeps a report of each: the same task must not start again under a renewed lease. */
  #onLeaseExpired (): void {
    for (const { order } of [...this.#runningTasks.values()]) this.#finish(order, 'stopped')
  }

  /** Stops all running tasks without a report, as the end of the VM does. */
  stopAll (): void {
    if (this.#leaseTimer !== null) clearTimeout(this.#leaseTimer)
    for (const { order } of [...this.#runningTasks.values()]) this.#stop(order)
  }

  #start (order: TaskOrder): void {
    const payload = order.payload as TaskPayload
    const doneBeforeMs = typeof order.checkpoint === 'number' ? order.checkpoint : 0
    this.#startedTasks.add(createTaskKey(order))
    this.#oracle.recordTaskStart(order.job, order.token, this.#vm)
    const shouldFail = payload.fails === true || this.#shouldFailAll()
    const remainingMs = shouldFail ? 30 : Math.max(1, payload.ranMs - doneBeforeMs)
    const timer = setTimeout(() => { this.#finish(order, shouldFail ? 'failed' : 'done') }, remainingMs)
    this.#runningTasks.set(createTaskKey(order), { order, startedAt: Date.now(), doneBeforeMs, timer })
  }

  /** Ends a running task and keeps its report until control acknowledges it. */
  #finish (order: TaskOrder, state: 'done' | 'failed' | 'checkpointed' | 'stopped'): void {
    const task = this.#runningTasks.get(createTaskKey(order))
    if (task === undefined) return
    const ranMs = task.doneBeforeMs + Date.now() - task.startedAt
    const { cores = 1 } = order.payload as TaskPayload
    this.#stop(order)
    this.#endedTasks.set(createTaskKey(order), { job: order.job, token: order.token, state, checkpoint: ranMs, result: state === 'done' ? 'ok' : null, usage: { cores, memoryGb: 1, ranMs } })
  }

  /** Ends a running task without a report. */
  #stop (order: TaskOrder): void {
    const task = this.#runningTasks.get(createTaskKey(order))
    if (task === undefined) return
    clearTimeout(task.timer)
    this.#runningTasks.delete(createTaskKey(order))
    this.#oracle.recordTaskEnd(order.job, order.token, this.#vm)
  }
}

function createTaskKey (task: { readonly job: string, readonly token: number }): string {
  return `${task.job}/${task.token}`
}
