/** Measures what the product's processes use over a run. */
import { request } from 'undici'
import type { ResourceUsage } from '../report/index.js'
import type { Deployment } from './deployment.js'
import type { Usage } from './processes.js'

interface Reading {
  readonly at: number
  readonly usage: Usage
  readonly linkBytes: number
}

/** Readings of all processes at the start of a run. */
export class UsageMeter {
  readonly #deployment: Deployment
  readonly #start = new Map<string, Reading>()

  /** @param deployment - whose processes are measured */
  constructor (deployment: Deployment) {
    this.#deployment = deployment
  }

  /** Takes the first readings. */
  async begin (): Promise<void> {
    for (const [name, reading] of await this.#read()) this.#start.set(name, reading)
  }

  /** Returns what was used since {@link begin}. */
  async end (): Promise<Record<string, ResourceUsage>> {
    const uses: Record<string, ResourceUsage> = {}
    for (const [name, now] of await this.#read()) {
      const before = this.#start.get(name)
      if (before === undefined || now.usage.cpuMs < before.usage.cpuMs) continue
      const elapsedMs = now.at - before.at
      uses[name] = {
        cpuPercent: 100 * (now.usage.cpuMs - before.usage.cpuMs) / elapsedMs,
        rssMb: now.usage.rssMb,
        bytesPerSecond: 1000 * (now.linkBytes - before.linkBytes) / elapsedMs
      }
    }
    return uses
  }

  async #read (): Promise<Map<string, Reading>> {
    const readings = new Map<string, Reading>()
    const { controls, entries } = this.#deployment
    const nodes = [...controls.map((control) => ({ name: control.name, process: control.process, address: `127.0.0.1:${control.port}` })), ...entries]
    for (const { name, process, address } of nodes) {
      const usage = process.usage()
      if (usage === null) continue
      readings.set(name, { at: performance.now(), usage, linkBytes: await readLinkBytes(address) })
    }
    return readings
  }
}

async function readLinkBytes (address: string): Promise<number> {
  try {
    const res = await request(`http://${address}/metrics`, { signal: AbortSignal.timeout(2000) })
    const text = await res.body.text()
    const value = (name: string): number => Number(new RegExp(`^${name} (\\d+)`, 'm').exec(text)?.[1] ?? 0)
    return value('oleanderward_link_sent_bytes') + value('oleanderward_link_received_bytes')
  } catch {
    return 0
  }
}
