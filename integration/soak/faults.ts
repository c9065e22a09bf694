/** Injects the faults of a soak run from outside: signals to the processes, and proxies in front of the workers. */
import { encodeConfig } from '../../platform/standin/caller.js'
import type { Random } from '../../src/batch/fuzz/random.js'
import type { LinkFault } from '../../standins/faultProxy/index.js'
import { LOOPBACK_NETWORK, type JobDeployment } from '../jobs/deployment.js'
import { ProxiedWorker } from '../jobs/proxiedWorker.js'
import type { SoakOracle } from './oracle/index.js'

/** Longest time that a stop takes on any deployment. */
const STOP_GRACE_MS = 400

/** Share of the steps in which workers start again and are cut off soon after, besides the other fault. */
const CUT_RESTART_SHARE = 0.3

/** Share of these in which the workers are cut off before they report. */
const EARLY_CUT_SHARE = 0.3

const LINK_FAULTS: readonly LinkFault[] = ['silent', 'silentOld', 'deaf', 'mute', 'refuse', 'reset', 'truncate']

/** Time after which a control process with an emptied disk has caught up. Until then no other control process is disturbed. */
const CATCH_UP_MS = 6000

/**
 * Injects random faults, several at a time but at most one per target. All control processes form one target, so that at
 * most one of them is without its data.
 */
export class SoakFaultInjector {
  readonly #deployment: JobDeployment
  readonly #oracle: SoakOracle
  readonly #random: Random
  readonly #restartRandom: Random
  readonly #workers: ProxiedWorker[]
  readonly #busyTargets = new Set<string>()
  readonly #pendingFaults = new Set<Promise<void>>()
  /** Names and targets of the faults, in the order in which they began. */
  readonly injectedFaults: string[] = []
  #configVersion = 1

  /**
   * @param deployment - processes to disturb
   * @param oracle - receives acknowledged configurations and violations
   * @param random - source of the random choices, except for those of `restartRandom`
   * @param restartRandom - source of the random choices for workers that start again and are cut off
   * @param workerCount - number of stand-in workers to run
   */
  constructor (deployment: JobDeployment, oracle: SoakOracle, random: Random, restartRandom: Random, workerCount: number) {
    this.#deployment = deployment
    this.#oracle = oracle
    this.#random = random
    this.#restartRandom = restartRandom
    this.#workers = Array.from({ length: workerCount }, (_, i) => new ProxiedWorker({ id: `i-${i}`, address: `${LOOPBACK_NETWORK}.1.${i + 1}:18570`, service: 'pool', control: deployment.controlAddresses, taskMs: Number, stopGraceMs: STOP_GRACE_MS, observer: oracle }))
  }

  /** Starts the workers. */
  async start (): Promise<void> {
    for (const worker of this.#workers) await worker.start()
  }

  /**
   * Starts a random fault, and at times lets workers start again and be cut off soon after. They end by themselves. Does nothing if a target
   * is under a fault already.
   */
  injectRandomFaults (): void {
    const faultKinds: ReadonlyArray<readonly [name: string, target: string, run: () => Promise<void>]> = [
      ['kill control', 'control', () => this.#restartControl('SIGKILL', false)],
      ['stop control', 'control', () => this.#restartControl('SIGTERM', false)],
      ['wipe control', 'control', () => this.#restartControl('SIGKILL', true)],
      ['freeze control', 'control', () => this.#freezeControl()],
      ['kill all control', 'control', () => this.#killAllControl()],
      ['restart entry', 'entry', () => this.#restartEntry()],
      ['change configuration', 'config', () => this.#changeConfig()],
      ...this.#workers.flatMap((worker, i): Array<readonly [string, string, () => Promise<void>]> => [
        ['restart worker', `worker-${i}`, () => this.#restartWorker(worker)],
        ['disturb worker', `worker-${i}`, () => this.#disturbWorker(worker)]
      ])
    ]
    const [name, target, run] = faultKinds[Math.floor(this.#random.next() * faultKinds.length)] as (typeof faultKinds)[number]
    this.#inject(name, [target], run)
    if (this.#restartRandom.isBelow(CUT_RESTART_SHARE)) this.#restartAndCutOff()
  }

  #inject (name: string, targets: readonly string[], run: () => Promise<void>): void {
    if (targets.some((target) => this.#busyTargets.has(target))) return
    for (const target of targets) this.#busyTargets.add(target)
    this.injectedFaults.push(`${name} ${targets.join(' ')}`)
    const pendingFault = run().catch((err: unknown) => { this.#oracle.violations.push(`${name}: ${(err as Error).message}`) }).finally(() => {
      for (const target of targets) this.#busyTargets.delete(target)
      this.#pendingFaults.delete(pendingFault)
    })
    this.#pendingFaults.add(pendingFault)
  }

  /** Waits until all injected faults have ended. */
  async settle (): Promise<void> {
    await Promise.all(this.#pendingFaults)
  }

  /** Stops the workers and their proxies. */
  stop (): void {
    for (const worker of this.#workers) worker.stop()
  }

  /** Reads the configuration from every control process. None may show an older one than was acknowledged before the read. */
  async checkShownConfigs (): Promise<void> {
    await Promise.all(this.#deployment.controlAddresses.map(async (address) => {
      const minVersion = this.#oracle.newestConfigVersion
      try {
        const res = await fetch(`http://${address}/config`, { signal: AbortSignal.timeout(2000) })
        if (!res.ok) return
        const { version } = await res.json() as { version: number }
        if (version < minVersion) this.#oracle.violations.push(`${address} shows configuration ${version} after ${minVersion} was acknowledged`)
      } catch {
        // A control process that does not answer breaks no guarantee.
      }
    }))
  }

  #randomBetween (low: number, high: number): number {
    return low + Math.floor(this.#random.next() * (high - low))
  }

  async #restartWorker (worker: ProxiedWorker): Promise<void> {
    worker.crash()
    await pause(this.#randomBetween(0, 1500))
    await worker.startAgain()
  }

  async #disturbWorker (worker: ProxiedWorker): Promise<void> {
    const fault = LINK_FAULTS[Math.floor(this.#random.next() * LINK_FAULTS.length)] as LinkFault
    worker.disturbLink(fault, this.#random.next() < 0.3 ? 80 : 0)
    await pause(this.#randomBetween(300, 4000))
    worker.disturbLink('none')
  }

  /** Lets one to three workers lose power at the same moment, start again, and be cut off before or soon after they report. */
  #restartAndCutOff (): void {
    const random = this.#restartRandom
    const between = (low: number, high: number): number => low + random.nextInt(high - low)
    const count = between(1, this.#workers.length)
    const first = random.nextInt(this.#workers.length)
    const indices = Array.from({ length: count }, (_, i) => (first + i) % this.#workers.length)
    const workers = indices.map((i) => this.#workers[i] as ProxiedWorker)
    const reportDelays = workers.map(() => between(270, 500))
    const downMs = between(300, 700)
    const cutAfterMs = random.isBelow(EARLY_CUT_SHARE) ? between(100, 500) : between(1000, 2000)
    const cutMs = between(2000, 7000)
    this.#inject('restart and cut off', indices.map((i) => `worker-${i}`), async () => {
      for (const worker of workers) worker.crashDark()
      await pause(downMs)
      await Promise.all(workers.map((worker, i) => worker.startAgain(reportDelays[i])))
      await pause(cutAfterMs)
      for (const worker of workers) worker.cutOff()
      await pause(cutMs)
      for (const worker of workers) worker.rejoin()
    })
  }

  async #restartControl (signal: NodeJS.Signals, shouldDeleteData: boolean): Promise<void> {
    const i = Math.floor(this.#random.next() * 3)
    await this.#deployment.end(`control-${i}`, signal, shouldDeleteData)
    await pause(this.#randomBetween(0, 2000))
    this.#deployment.startControl(i, false)
    await pause(shouldDeleteData ? CATCH_UP_MS : this.#randomBetween(0, 1500))
  }

  async #freezeControl (): Promise<void> {
    const name = `control-${Math.floor(this.#random.next() * 3)}`
    this.#deployment.signal(name, 'SIGSTOP')
    await pause(this.#randomBetween(200, 4000))
    this.#deployment.signal(name, 'SIGCONT')
    await pause(this.#randomBetween(0, 1000))
  }

  async #killAllControl (): Promise<void> {
    await Promise.all([0, 1, 2].map((i) => this.#deployment.end(`control-${i}`, 'SIGKILL')))
    await pause(this.#randomBetween(0, 1000))
    for (const i of [0, 1, 2]) this.#deployment.startControl(i, false)
    await pause(3000)
  }

  async #restartEntry (): Promise<void> {
    await this.#deployment.end('entry', this.#random.next() < 0.5 ? 'SIGTERM' : 'SIGKILL')
    this.#deployment.startEntry()
    await pause(1500)
  }

  async #changeConfig (): Promise<void> {
    const version = ++this.#configVersion
    const body = encodeConfig(version, this.#deployment.queueHost, '/queue/', 'pool')
    for (let attempt = 0; attempt < 10; attempt++) {
      const address = this.#deployment.controlAddresses[attempt % 3] as string
      try {
        const res = await fetch(`http://${address}/config`, { method: 'PUT', body, signal: AbortSignal.timeout(1500) })
        if (res.ok) {
          this.#oracle.recordAcknowledgedConfig(version)
          return
        }
        if (res.status < 500) throw new Error(`a valid configuration was answered with ${res.status}`)
      } catch (err) {
        if ((err as Error).message.startsWith('a valid')) throw err
      }
      await pause(200)
    }
  }
}

/**
 * Waits for a fixed time.
 *
 * @param ms - time in milliseconds
 */
export function pause (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
