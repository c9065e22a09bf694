/** Stand-in worker behind a proxy, for tests: it crashes, starts again at its address and is cut off. */
import { StandInWorker, type StandInWorkerOptions } from '../../platform/standin/worker.js'
import { FaultProxy, type LinkFault } from '../../standins/faultProxy/index.js'

/** Options of a worker behind a proxy. */
export type ProxiedWorkerOptions = Omit<StandInWorkerOptions, 'reportedAddress' | 'firstReportDelayMs'>

/** Worker whose incarnations share an id and an address. */
export class ProxiedWorker {
  readonly #options: ProxiedWorkerOptions
  readonly #proxy: FaultProxy
  #reportedAddress = ''
  #incarnation: StandInWorker | null = null

  /** @param options - name, address and behaviour of each incarnation */
  constructor (options: ProxiedWorkerOptions) {
    this.#options = options
    this.#proxy = new FaultProxy(options.address)
  }

  /** Starts the proxy and the first incarnation. */
  async start (): Promise<void> {
    this.#reportedAddress = await this.#proxy.start()
    await this.#startIncarnation()
  }

  /** Crashes the worker, as a process that is killed: its connections are closed, and further ones refused. */
  crash (): void {
    this.#incarnation?.crash()
    this.#incarnation = null
  }

  /** Crashes the worker, as a machine that loses power: nothing at its address answers. */
  crashDark (): void {
    this.#proxy.setFault('dark')
    this.crash()
  }

  /**
   * Starts the next incarnation, which is reachable at once.
   *
   * @param firstReportDelayMs - time until it reports, in milliseconds
   */
  async startAgain (firstReportDelayMs?: number): Promise<void> {
    await this.#startIncarnation(firstReportDelayMs)
    this.#proxy.setFault('none')
  }

  /** Cuts the worker off: neither calls nor reports pass. */
  cutOff (): void {
    this.#proxy.setFault('silent')
    if (this.#incarnation !== null) this.#incarnation.isCutOff = true
  }

  /** Ends the cut. */
  rejoin (): void {
    this.#proxy.setFault('none')
    if (this.#incarnation !== null) this.#incarnation.isCutOff = false
  }

  /**
   * Sets how the link that carries calls to the worker misbehaves.
   *
   * @param fault - `none` ends the fault
   * @param delayMs - delay of each chunk of data, in milliseconds
   */
  disturbLink (fault: LinkFault, delayMs = 0): void {
    this.#proxy.delayMs = delayMs
    this.#proxy.setFault(fault)
  }

  /** Crashes the worker and closes the proxy. */
  stop (): void {
    this.crash()
    this.#proxy.stop()
  }

  async #startIncarnation (firstReportDelayMs?: number): Promise<void> {
    const incarnation = new StandInWorker({ ...this.#options, reportedAddress: this.#reportedAddress, ...(firstReportDelayMs === undefined ? {} : { firstReportDelayMs }) })
    this.#incarnation = incarnation
    await incarnation.start()
  }
}
