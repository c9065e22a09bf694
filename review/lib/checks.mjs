/** Checks of rules on the record of a case. */

const SAMPLE_MS = 50

/**
 * Samples the capacity of a service and the tasks of jobs until it is stopped. Finds the spans in which a job had nothing running although its
 * turn had come, there was capacity for its tasks twice over, and under half of the service's capacity was in use (rule LOST).
 */
export class CapacityWatch {
  /** Longest such span of each job, in milliseconds. */
  longest = new Map()
  #since = new Map()
  #deployment
  #jobs
  #cpuOf
  #timer

  /**
   * @param deployment - the deployment
   * @param jobs - map of the ids of jobs to `{ cpu, acceptedAt, isDone }`
   * @param cpuOf - gives the processor need of a task
   */
  constructor (deployment, jobs, cpuOf) {
    this.#deployment = deployment
    this.#jobs = jobs
    this.#cpuOf = cpuOf
    this.#timer = setInterval(() => { this.#sample() }, SAMPLE_MS)
  }

  stop () {
    clearInterval(this.#timer)
  }

  #sample () {
    const workers = this.#deployment.workers.filter((worker) => worker.isUp && worker.state === 'ready')
    const used = workers.map((worker) => worker.runningTasks.reduce((sum, { task }) => sum + this.#cpuOf(task), 0))
    const total = workers.reduce((sum, worker) => sum + worker.options.capacity.cpu, 0)
    const isHalfFree = used.reduce((sum, cpu) => sum + cpu, 0) < total / 2
    const running = new Set(workers.flatMap((worker) => worker.runningTasks.map(({ task }) => task.split('.')[0])))
    const now = performance.now()
    for (const [id, { cpu, isDone }] of this.#jobs) {
      const hasRoomTwice = workers.some((worker, i) => worker.options.capacity.cpu - used[i] >= 2 * cpu)
      const isHeldUp = !isDone && !running.has(id) && isHalfFree && hasRoomTwice
      if (!isHeldUp) this.#since.delete(id)
      else {
        if (!this.#since.has(id)) this.#since.set(id, now)
        this.longest.set(id, Math.max(this.longest.get(id) ?? 0, Math.round(now - this.#since.get(id))))
      }
    }
  }
}
