/** Runs one control and one entry process of the users' platform on loopback addresses with a small heap, and reads what they use. */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { request } from 'undici'
import { findFreePort } from '../../bench/harness/processes.js'
import { encodeConfig, encodeJob } from '../../platform/standin/caller.js'
import { StandInMachines } from '../../platform/standin/machines.js'
import { waitUntil } from '../jobs/deployment.js'
import { countDescriptors, readPeakMemoryMb } from './usage.js'

const HOST = '127.0.0.1'

/** Less than half of what the deployments give, so that a small crowd shows what a large one does to them. */
const HEAP_MB = 64

const TASK_MS = 150

/** Names of the two processes. */
export type ProcessName = 'entry' | 'control'

/** Settings that differ from those of the deployments, by process. */
export type SettingChanges = Partial<Record<ProcessName, Readonly<Record<string, unknown>>>>

/** Deployment of one control process and one entry process. */
export class ClientDeployment {
  readonly #folder = mkdtempSync(join(tmpdir(), 'oleanderward-clients-'))
  readonly #machines = new StandInMachines([])
  readonly #processes = new Map<ProcessName, ChildProcess>()
  readonly #addresses = new Map<string, string>()
  #jobCount = 0
  #output = ''

  /**
   * Starts both processes and waits until the entry accepts a job.
   *
   * @param changes - settings that differ from those of the deployments
   */
  async start (changes: SettingChanges = {}): Promise<void> {
    for (const name of ['internal', 'control', 'controlMetrics', 'caller', 'health', 'entryMetrics', 'machines']) this.#addresses.set(name, `${HOST}:${await findFreePort()}`)
    await this.#machines.listen(this.address('machines'))
    const shared = { zone: 'a', internalAddress: this.address('internal'), internalPort: Number(this.address('internal').split(':')[1]), seeds: [this.address('control')] }
    this.#spawn('control', { ...shared, node: 'control', controlAddress: this.address('control'), metricsAddress: this.address('controlMetrics'), dataFolder: join(this.#folder, 'data'), isFirstStart: true, advisorAddress: '', machinesAddress: this.address('machines'), machineOrdersPerSecond: 64, retentionSeconds: 120, ...changes.control })
    this.#spawn('entry', { ...shared, node: 'entry', callerAddress: this.address('caller'), healthAddress: this.address('health'), metricsAddress: this.address('entryMetrics'), stopGraceMs: 3000, ...changes.entry })
    await waitUntil(async () => (await fetch(`http://${this.address('control')}/config`, { method: 'PUT', body: encodeConfig(1, HOST, '/queue/', 'pool') })).status === 200)
    await this.submitJob()
    await waitUntil(async () => (await fetch(`http://${this.address('health')}/ready`)).status === 200)
  }

  /**
   * Returns an address that the processes listen on.
   *
   * @param name - `internal`, `control`, `controlMetrics`, `caller`, `health` or `entryMetrics`
   */
  address (name: string): string {
    return this.#addresses.get(name) ?? ''
  }

  /** Everything that the processes have written. */
  get output (): string {
    return this.#output
  }

  /** Submits a job as an ordinary caller does, on a connection of its own, and again after a refusal, until it is accepted. */
  async submitJob (): Promise<void> {
    const id = (++this.#jobCount).toString(16).padStart(16, '0')
    await waitUntil(async () => {
      const res = await request(`http://${this.address('caller')}/queue/${id}`, { method: 'POST', body: encodeJob(1, TASK_MS), reset: true })
      await res.body.dump()
      return res.statusCode === 200
    })
  }

  /**
   * Returns whether a process is the one that was started.
   *
   * @param name - name of the process
   */
  isAlive (name: ProcessName): boolean {
    const child = this.#processes.get(name)
    return child !== undefined && child.exitCode === null && child.signalCode === null
  }

  /**
   * Returns the most memory that a process has had resident since its start, in MB; 0 after its end.
   *
   * @param name - name of the process
   */
  peakMemoryMb (name: ProcessName): number {
    return this.isAlive(name) ? readPeakMemoryMb(this.#processes.get(name)?.pid as number) : 0
  }

  /**
   * Returns the number of open descriptors of a process; 0 after its end.
   *
   * @param name - name of the process
   */
  countDescriptors (name: ProcessName): number {
    return this.isAlive(name) ? countDescriptors(this.#processes.get(name)?.pid as number) : 0
  }

  /** Kills both processes and deletes their data. */
  async stop (): Promise<void> {
    for (const [name, child] of this.#processes) {
      if (!this.isAlive(name)) continue
      const exited = new Promise((resolve) => child.once('exit', resolve))
      child.kill('SIGKILL')
      await exited
    }
    this.#machines.close()
    rmSync(this.#folder, { recursive: true, force: true })
  }

  #spawn (name: ProcessName, settings: object): void {
    const path = join(this.#folder, `${name}.json`)
    writeFileSync(path, JSON.stringify(settings))
    const child = spawn(process.execPath, [`--max-old-space-size=${HEAP_MB}`, `target/platform-${name}.mjs`], { env: { ...process.env, OLEANDERWARD_BOOT: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk: Buffer) => { this.#output += chunk.toString('utf8') })
    this.#processes.set(name, child)
  }
}
