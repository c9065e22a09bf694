/** Runs tasks at a stand-in endpoint under leases, as the endpoints' interface asks for. */
import type { TaskOrder, TaskReport } from '../../src/contracts/types.js'
import type { Oracle } from '../oracle/index.js'

/** What a stand-in task's payload says. */
export interface TaskPayload {
  /** How long the task really runs, in milliseconds. */
  readonly ranMs: number
  /** Cores that it really uses. */
  readonly cores?: number
  readonly fails?: boolean
}

interface RunningTask {
  readonly order: TaskOrder
  readonly startedAt: number
  /** Work done before this run, in milliseconds. */
  readonly doneBeforeMs: number
  readonly timer: NodeJS.Timeout
}

/** Tasks of one endpoint run. */
export class TaskRunner {
  readonly #vm: string
  readonly #oracle: Oracle
  readonly #shouldFailAll: () => boolean
  readonly #runningTasks = new Map<string, RunningTask>()
  readonly #endedTasks = new Map<string, TaskReport>()
  /** Tasks that were started: an entry whose view is a little older may still order one that has ended. */
  readonly #startedTasks = new Set<string>()
  #leaseTimer: NodeJS.Timeout | null = null

  /**
   * @param vm - name of the VM
   * @param oracle - book of runs
   * @param shouldFailAll - whether every task fails
   */
  constructor (vm: string, oracle: Oracle, shouldFailAll: () => boolean) {
    this.#vm = vm
    this.#oracle = oracle
    this.#shouldFailAll = shouldFailAll
  }

  /** What the next announcement says of tasks. */
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
   * Follows the orders of an answer to an announcement.
   *
   * @param orders - all tasks of this VM
   * @param leaseExpiresAt - wall clock until which they may run
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
   * Forgets ended tasks that control knows of.
   *
   * @param acknowledged - tasks
   */
  acknowledge (acknowledged: ReadonlyArray<{ readonly job: string, readonly token: number }>): void {
    for (const each of acknowledged) this.#endedTasks.delete(createTaskKey(each))
  }

  /** Stops everything unfinished, and remembers it: the same task must not begin again on a renewed lease. */
  #onLeaseExpired (): void {
    for (const { order } of [...this.#runningTasks.values()]) this.#finish(order, 'stopped')
  }

  /** Stops everything, as the end of the VM does. */
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

  #finish (order: TaskOrder, state: 'done' | 'failed' | 'checkpointed' | 'stopped'): void {
    const task = this.#runningTasks.get(createTaskKey(order))
    if (task === undefined) return
    const ranMs = task.doneBeforeMs + Date.now() - task.startedAt
    const { cores = 1 } = order.payload as TaskPayload
    this.#stop(order)
    this.#endedTasks.set(createTaskKey(order), { job: order.job, token: order.token, state, checkpoint: ranMs, result: state === 'done' ? 'ok' : null, usage: { cores, memoryGb: 1, ranMs } })
  }

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
