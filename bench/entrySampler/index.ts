/** Polls every entry for the version of the configuration that it uses. */
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import type { Deployment } from '../harness/deployment.js'

const SAMPLE_INTERVAL_MS = 50
const REQUEST_TIMEOUT_MS = 400

/** Records when entries last used each version of the configuration. */
export class EntrySampler {
  readonly #deployment: Deployment
  readonly #abortController = new AbortController()
  /** Wall clock of the last sample in which any entry used a version, in milliseconds, by version. */
  readonly #lastUsedAt = new Map<number, number>()

  /** @param deployment - deployment whose entries are polled */
  constructor (deployment: Deployment) {
    this.#deployment = deployment
  }

  /** Samples until {@link stop} is called. */
  async run (): Promise<void> {
    await Promise.all(this.#deployment.entries.map(({ address }) => this.#sampleEntry(address)))
  }

  stop (): void {
    this.#abortController.abort()
  }

  /**
   * Returns how long entries used an older version after a version was accepted.
   *
   * @param version - version that should be in force
   * @param acceptedAt - wall clock of its acceptance, in milliseconds
   * @returns milliseconds; 0 when no entry used an older version
   */
  computeLagMs (version: number, acceptedAt: number): number {
    const lastUsedAt = Math.max(0, ...[...this.#lastUsedAt].filter(([older]) => older < version).map(([, at]) => at))
    return Math.max(0, lastUsedAt - acceptedAt)
  }

  async #sampleEntry (address: string): Promise<void> {
    while (!this.#abortController.signal.aborted) {
      const text = await request(`http://${address}/metrics`, { signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS) }).then((res) => res.body.text()).catch(() => '')
      const readMetric = (metric: string): number => Number(new RegExp(`^${metric} (-?\\d+)`, 'm').exec(text)?.[1] ?? Number.NaN)
      if (readMetric('oleanderward_view_lease_ms') > 0) this.#lastUsedAt.set(readMetric('oleanderward_config_version'), Date.now())
      await sleep(SAMPLE_INTERVAL_MS)
    }
  }
}
