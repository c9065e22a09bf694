/** Measures the processor time, memory and traffic of the product's processes over a scenario. */
import { request } from 'undici'
import type { ResourceUsage } from '../report/index.js'
import type { Deployment } from './deployment.js'
import type { ProcessUsage } from './processes.js'

interface Reading {
  readonly at: number
  readonly usage: ProcessUsage
  /** Bytes sent and received on links between processes. */
  readonly linkBytes: number
}

/** Computes the resource usage of all processes between two readings. */
export class UsageMeter {
  readonly #deployment: Deployment
  readonly #initialReadings = new Map<string, Reading>()

  /** @param deployment - deployment whose processes are measured */
  constructor (deployment: Deployment) {
    this.#deployment = deployment
  }

  /** Records the initial readings. */
  async begin (): Promise<void> {
    for (const [name, reading] of await this.#read()) this.#initialReadings.set(name, reading)
  }

  /** Returns the usage since {@link begin} by process; leaves out processes that weren't running at one of the readings or whose processor time fell because they restarted. */
  async end (): Promise<Record<string, ResourceUsage>> {
    const usages: Record<string, ResourceUsage> = {}
    for (const [name, current] of await this.#read()) {
      const initial = this.#initialReadings.get(name)
      if (initial === undefined || current.usage.cpuMs < initial.usage.cpuMs) continue
      const elapsedMs = current.at - initial.at
      usages[name] = {
        cpuPercent: 100 * (current.usage.cpuMs - initial.usage.cpuMs) / elapsedMs,
        rssMb: current.usage.rssMb,
        bytesPerSecond: 1000 * (current.linkBytes - initial.linkBytes) / elapsedMs
      }
    }
    return usages
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
    const readCounter = (name: string): number => Number(new RegExp(`^${name} (\\d+)`, 'm').exec(text)?.[1] ?? 0)
    return readCounter('oleanderward_link_sent_bytes') + readCounter('oleanderward_link_received_bytes')
  } catch {
    return 0
  }
}
