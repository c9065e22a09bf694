/** Faults of a soak run, injected from outside: signals to the processes, and proxies before the workers. */
import { writeConfig } from '../../platform/standin/caller.js'
import { StandinWorker } from '../../platform/standin/worker.js'
import type { Random } from '../../src/batch/fuzz/random.js'
import { FaultProxy, type LinkFault } from '../../standins/faultProxy/index.js'
import type { JobDeployment } from '../jobs/deployment.js'
import type { SoakOracle } from './oracle/index.js'

const TASK_MS = 120

const LINK_FAULTS: readonly LinkFault[] = ['silent', 'silentOld', 'deaf', 'mute', 'refuse', 'reset', 'truncate']

/** A lost disk counts as lost until its successor has caught up: this long, in milliseconds. */
const CATCH_UP_MS = 6000

/** One worker that can be cut off, lost and started again. */
class SoakWorker {
  readonly #id: string
  readonly #address: string
  readonly #proxy: FaultProxy
  readonly #control: readonly string[]
  readonly #oracle: SoakOracle
  #incarnation: StandinWorker | null = null

  constructor (index: number, control: readonly string[], oracle: SoakOracle) {
    this.#id = `i-${index}`
    this.#address = `127.0.1.${index + 1}:18570`
    this.#proxy = new FaultProxy(this.#address)
    this.#control = control
    this.#oracle = oracle
  }

  async start (): Promise<void> {
    const reportedAddress = await this.#proxy.start()
    await this.#startIncarnation(reportedAddress)
    this.#reportedAddress = reportedAddress
  }

  #reportedAddress = ''

  async #startIncarnation (reportedAddress: string): Promise<void> {
    this.#incarnation = new StandinWorker({ id: this.#id, address: this.#address, reportedAddress, service: 'pool', control: this.#control, taskMs: TASK_MS, observer: this.#oracle })
    await this.#incarnation.start()
  }

  async restart (downtimeMs: number): Promise<void> {
    this.#incarnation?.crash()
    this.#incarnation = null
    await pause(downtimeMs)
    await this.#startIncarnation(this.#reportedAddress)
  }

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

/** Injects one fault after the other, some at the same time, so that at most one control process counts as lost. */
export class SoakFaultInjector {
  readonly #deployment: JobDeployment
  readonly #oracle: SoakOracle
  readonly #random: Random
  readonly #workers: SoakWorker[]
  readonly #busyTargets = new Set<string>()
  readonly #pendingFaults = new Set<Promise<void>>()
  /** Names of the faults in the order in which they began. */
  readonly injectedFaults: string[] = []
  #configVersion = 1

  /**
   * @param deployment - the programs
   * @param oracle - told of what operators hear
   * @param random - decides all
   * @param workerCount - how many workers there are
   */
  constructor (deployment: JobDeployment, oracle: SoakOracle, random: Random, workerCount: number) {
    this.#deployment = deployment
    this.#oracle = oracle
    this.#random = random
    this.#workers = Array.from({ length: workerCount }, (_, i) => new SoakWorker(i, deployment.controlAddresses, oracle))
  }

  async start (): Promise<void> {
    for (const worker of this.#workers) await worker.start()
  }

  /** Begins one more fault; it ends by itself. */
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

  /** Waits until all faults are over. */
  async settle (): Promise<void> {
    await Promise.all(this.#pendingFaults)
  }

  stop (): void {
    for (const worker of this.#workers) worker.stop()
  }

  /** Reads the configuration at every control process: none may show one older than was acknowledged before. */
  async checkShownConfigs (): Promise<void> {
    await Promise.all(this.#deployment.controlAddresses.map(async (address) => {
      const minVersion = this.#oracle.newestConfigVersion
      try {
        const res = await fetch(`http://${address}/config`, { signal: AbortSignal.timeout(2000) })
        if (!res.ok) return
        const { version } = await res.json() as { version: number }
        if (version < minVersion) this.#oracle.violations.push(`${address} shows configuration ${version} after ${minVersion} was acknowledged`)
      } catch {
        // No answer promises nothing.
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
    const body = writeConfig(version, this.#deployment.queueHost, '/queue/', 'pool')
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

/** @param ms - how long to wait */
export function pause (ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms))
}
