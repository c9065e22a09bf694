/** Injects the faults of a soak run from outside: signals to the processes, and proxies in front of the workers. */
import { encodeConfig } from '../../platform/standin/caller.js'
import { StandInWorker } from '../../platform/standin/worker.js'
import type { Random } from '../../src/batch/fuzz/random.js'
import { FaultProxy, type LinkFault } from '../../standins/faultProxy/index.js'
import type { JobDeployment } from '../jobs/deployment.js'
import type { SoakOracle } from './oracle/index.js'

const TASK_MS = 120

const LINK_FAULTS: readonly LinkFault[] = ['silent', 'silentOld', 'deaf', 'mute', 'refuse', 'reset', 'truncate']

/** Time after which a control process with an emptied disk has caught up. Until then no other control process is disturbed. */
const CATCH_UP_MS = 6000

/** A stand-in worker behind a proxy, whose link can be disturbed and which can crash and start again. */
class SoakWorker {
  readonly #id: string
  readonly #address: string
  readonly #proxy: FaultProxy
  readonly #control: readonly string[]
  readonly #oracle: SoakOracle
  #incarnation: StandInWorker | null = null

  constructor (index: number, control: readonly string[], oracle: SoakOracle) {
    this.#id = `i-${index}`
    this.#address = `127.0.1.${index + 1}:18570`
    this.#proxy = new FaultProxy(this.#address)
    this.#control = control
    this.#oracle = oracle
  }

  /** Starts the proxy and the first incarnation of the worker. */
  async start (): Promise<void> {
    const reportedAddress = await this.#proxy.start()
    await this.#startIncarnation(reportedAddress)
    this.#reportedAddress = reportedAddress
  }

  #reportedAddress = ''

  async #startIncarnation (reportedAddress: string): Promise<void> {
    this.#incarnation = new StandInWorker({ id: this.#id, address: this.#address, reportedAddress, service: 'pool', control: this.#control, taskMs: TASK_MS, observer: this.#oracle })
    await this.#incarnation.start()
  }

  /**
   * Crashes the worker and starts its next incarnation.
   *
   * @param downtimeMs - pause between the two, in milliseconds
   */
  async restart (downtimeMs: number): Promise<void> {
    this.#incarnation?.crash()
    this.#incarnation = null
    await pause(downtimeMs)
    await this.#startIncarnation(this.#reportedAddress)
  }

  /**
   * Disturbs the link to the worker for a while.
   *
   * @param fault - how the link misbehaves
   * @param delayMs - delay of each chunk of data, in milliseconds
   * @param durationMs - how long the fault lasts, in milliseconds
   */
  async injectLinkFault (fault: LinkFault, delayMs: number, durationMs: number): Promise<void> {
    this.#proxy.delayMs = delayMs
    this.#proxy.setFault(fault)
    await pause(durationMs)
    this.#proxy.delayMs = 0
    this.#proxy.setFault('none')
  }

  stop (): void {
    this.#incarnation?.crash()
    this.#proxy.stop()
  }
}

/**
 * Injects random faults, several at a time but at most one per target. All control processes form one target, so that at
 * most one of them is without its data.
 */
export class SoakFaultInjector {
  readonly #deployment: JobDeployment
  readonly #oracle: SoakOracle
  readonly #random: Random
  readonly #workers: SoakWorker[]
  readonly #busyTargets = new Set<string>()
  readonly #pendingFaults = new Set<Promise<void>>()
  /** Names and targets of the faults, in the order in which they began. */
  readonly injectedFaults: string[] = []
  #configVersion = 1

  /**
   * @param deployment - processes to disturb
   * @param oracle - receives acknowledged configurations and violations
   * @param random - source of all random choices
   * @param workerCount - number of stand-in workers to run
   */
  constructor (deployment: JobDeployment, oracle: SoakOracle, random: Random, workerCount: number) {
    this.#deployment = deployment
    this.#oracle = oracle
    this.#random = random
    this.#workers = Array.from({ length: workerCount }, (_, i) => new SoakWorker(i, deployment.controlAddresses, oracle))
  }

  /** Starts the workers. */
  async start (): Promise<void> {
    for (const worker of this.#workers) await worker.start()
  }

  /** Starts a random fault, which ends by itself. Does nothing if its target is under a fault already. */
  injectRandomFault (): void {
    const faultKinds: ReadonlyArray<readonly [name: string, target: string, run: () => Promise<void>]> = [
      ['kill control', 'control', () => this.#restartControl('SIGKILL', false)],
      ['stop control', 'control', () => this.#restartControl('SIGTERM', false)],
      ['wipe control', 'control', () => this.#restartControl('SIGKILL', true)],
      ['freeze control', 'control', () => this.#freezeControl()],
      ['kill all control', 'control', () => this.#killAllControl()],
      ['restart entry', 'entry', () => this.#restartEntry()],
      ['change configuration', 'config', () => this.#changeConfig()],
      ...this.#workers.flatMap((worker, i): Array<readonly [string, string, () => Promise<void>]> => [
        ['restart worker', `worker-${i}`, () => worker.restart(this.#randomBetween(0, 1500))],
        ['disturb worker', `worker-${i}`, () => worker.injectLinkFault(LINK_FAULTS[Math.floor(this.#random.next() * LINK_FAULTS.length)] as LinkFault, this.#random.next() < 0.3 ? 80 : 0, this.#randomBetween(300, 4000))]
      ])
    ]
    const [name, target, run] = faultKinds[Math.floor(this.#random.next() * faultKinds.length)] as (typeof faultKinds)[number]
    if (this.#busyTargets.has(target)) return
    this.#busyTargets.add(target)
    this.injectedFaults.push(`${name} ${target}`)
    const pendingFault = run().catch((err: unknown) => { this.#oracle.violations.push(`${name}: ${(err as Error).message}`) }).finally(() => {
      this.#busyTargets.delete(target)
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
