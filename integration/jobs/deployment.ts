/** Runs real entry and control processes of the users' platform on loopback addresses, for tests with stand-in workers. */
import { spawn, type ChildProcess } from 'node:child_process'
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs'
import { tmpdir } from 'node:os'
import { join } from 'node:path'
import { encodeConfig } from '../../platform/standin/caller.js'
import { StandInMachines } from '../../platform/standin/machines.js'
import { MAX_LEASE_MS } from '../../platform/standin/worker.js'

/** First bytes of the loopback addresses. Deployments with different ones can run at the same time. */
export const LOOPBACK_NETWORK = process.env.LOOPBACK_NETWORK ?? '127.0'

/** Port for calls between the processes. All control processes can share it, since each has its own loopback address. */
const INTERNAL_PORT = 18_560
const CONTROL_PORT = 18_561
const CONTROL_HOSTS = [`${LOOPBACK_NETWORK}.0.1`, `${LOOPBACK_NETWORK}.0.2`, `${LOOPBACK_NETWORK}.0.3`] as const
const ENTRY_HOST = `${LOOPBACK_NETWORK}.0.4`
const ENTRY_PORT = 18_562
const MACHINES_ADDRESS = `${LOOPBACK_NETWORK}.0.5:18563`

/** One line of the log of a process. */
export type LogLine = Readonly<Record<string, unknown>> & { readonly event: string }

/** One child process and its log. */
class LoggedProcess {
  readonly lines: LogLine[] = []
  readonly #child: ChildProcess

  constructor (program: string, settingsPath: string) {
    this.#child = spawn(process.execPath, [program], { env: { ...process.env, OLEANDERWARD_BOOT: settingsPath }, stdio: ['ignore', 'pipe', 'inherit'] })
    let partialLine = ''
    this.#child.stdout?.on('data', (chunk: Buffer) => {
      const completeLines = (partialLine + chunk.toString('utf8')).split('\n')
      partialLine = completeLines.pop() ?? ''
      this.lines.push(...completeLines.map((line) => JSON.parse(line) as LogLine))
    })
  }

  /**
   * Sends a signal that does not end the process.
   *
   * @param signal - for instance `SIGSTOP` or `SIGCONT`
   */
  signal (signal: NodeJS.Signals): void {
    this.#child.kill(signal)
  }

  /**
   * Ends the process and waits until it has exited.
   *
   * @param signal - signal that ends it
   */
  async end (signal: NodeJS.Signals): Promise<void> {
    if (this.#child.exitCode !== null || this.#child.signalCode !== null) return
    const exited = new Promise((resolve) => this.#child.once('exit', resolve))
    this.#child.kill(signal)
    await exited
  }
}

/** Deployment of three control processes, one entry process and a stand-in for the platform's interface to machines. */
export class JobDeployment {
  readonly controlAddresses = CONTROL_HOSTS.map((host) => `${host}:${CONTROL_PORT}`)
  readonly queueHost = ENTRY_HOST
  readonly internalAddresses = CONTROL_HOSTS.map((host) => `${host}:${INTERNAL_PORT}`)
  readonly #folder = mkdtempSync(join(tmpdir(), 'oleanderward-jobs-'))
  readonly #machines = new StandInMachines([])
  readonly #processes = new Map<string, LoggedProcess>()
  readonly #endedProcessLines: LogLine[] = []

  /** Starts the machines' stand-in and all processes. Does not wait until the processes listen. */
  async start (): Promise<void> {
    await this.#machines.listen(MACHINES_ADDRESS)
    for (const index of CONTROL_HOSTS.keys()) this.startControl(index, true)
    this.startEntry()
  }

  /** Starts the entry process. */
  startEntry (): void {
    const path = join(this.#folder, 'entry.json')
    writeFileSync(path, JSON.stringify({ node: 'entry', zone: 'a', internalAddress: `${ENTRY_HOST}:${INTERNAL_PORT}`, internalPort: INTERNAL_PORT, callerAddress: `${ENTRY_HOST}:${ENTRY_PORT}`, healthAddress: `${ENTRY_HOST}:${ENTRY_PORT + 1}`, metricsAddress: `${ENTRY_HOST}:${ENTRY_PORT + 2}`, seeds: this.controlAddresses, stopGraceMs: 3000 }))
    this.#processes.set('entry', new LoggedProcess('target/platform-entry.mjs', path))
  }

  /**
   * Starts one control process.
   *
   * @param index - index of the control process, from 0 to 2
   * @param isFirstStart - whether the whole system starts for the first time
   */
  startControl (index: number, isFirstStart: boolean): void {
    const host = CONTROL_HOSTS[index] as string
    const path = join(this.#folder, `control-${index}.json`)
    writeFileSync(path, JSON.stringify({ node: `control-${index}`, zone: 'a', internalAddress: `${host}:${INTERNAL_PORT}`, internalPort: INTERNAL_PORT, controlAddress: `${host}:${CONTROL_PORT}`, metricsAddress: `${host}:${CONTROL_PORT + 10}`, seeds: this.controlAddresses, dataFolder: join(this.#folder, `data-${index}`), isFirstStart, advisorAddress: '', machinesAddress: MACHINES_ADDRESS, machineOrdersPerSecond: 64, retentionSeconds: 120, maxWorkerLeaseMs: MAX_LEASE_MS }))
    this.#processes.set(`control-${index}`, new LoggedProcess('target/platform-control.mjs', path))
  }

  /**
   * Ends one process and keeps its log lines.
   *
   * @param name - `entry` or `control-N`
   * @param signal - signal that ends it
   * @param shouldDeleteData - whether its data folder is deleted, as after the loss of a disk
   */
  async end (name: string, signal: NodeJS.Signals = 'SIGKILL', shouldDeleteData = false): Promise<void> {
    const endedProcess = this.#processes.get(name)
    await endedProcess?.end(signal)
    this.#processes.delete(name)
    this.#endedProcessLines.push(...endedProcess?.lines ?? [])
    if (shouldDeleteData) rmSync(join(this.#folder, name.replace('control', 'data')), { recursive: true, force: true })
  }

  /**
   * Sends a signal that does not end the process.
   *
   * @param name - `entry` or `control-N`
   * @param signal - for instance `SIGSTOP` or `SIGCONT`
   */
  signal (name: string, signal: NodeJS.Signals): void {
    this.#processes.get(name)?.signal(signal)
  }

  /** All log lines written so far, those of ended processes first. */
  get lines (): readonly LogLine[] {
    return [...this.#endedProcessLines, ...[...this.#processes.values()].flatMap(({ lines }) => lines)]
  }

  /** Name of the control process that began the newest term; undefined if no running process has begun one. */
  get leader (): string | undefined {
    let newest: { readonly name: string, readonly term: number } | undefined
    for (const [name, { lines }] of this.#processes) {
      for (const { event, term } of lines) if (event === 'term.began' && Number(term) > (newest?.term ?? 0)) newest = { name, term: Number(term) }
    }
    return newest?.name
  }

  /**
   * Sends a caller's request to the entry.
   *
   * @param method - HTTP method
   * @param path - path below the queue's host
   * @param body - a job as JSON, if any
   * @param timeoutMs - maximum wait for the answer, in milliseconds
   * @returns status and parsed body of the answer; an empty body gives an empty object
   */
  async ask (method: string, path: string, body?: string, timeoutMs = REQUEST_TIMEOUT_MS): Promise<{ readonly status: number, readonly body: Readonly<Record<string, unknown>> }> {
    // The configuration uses this address as the queue's host, so the Host header needs no override.
    const res = await fetch(`http://${ENTRY_HOST}:${ENTRY_PORT}${path}`, { method, ...(body === undefined ? {} : { body }), signal: AbortSignal.timeout(timeoutMs) })
    const text = await res.text()
    return { status: res.status, body: text === '' ? {} : JSON.parse(text) as Readonly<Record<string, unknown>> }
  }

  /**
   * Sends a configuration with one queue until a control process accepts it.
   *
   * @param version - version of the configuration
   */
  async configure (version: number): Promise<void> {
    const body = encodeConfig(version, ENTRY_HOST, '/queue/', 'pool')
    await waitUntil(async () => {
      const res = await fetch(`http://${this.controlAddresses[version % 3] as string}/config`, { method: 'PUT', body })
      return res.status === 200
    })
  }

  /** Kills all processes and deletes their data. */
  async stop (): Promise<void> {
    for (const name of [...this.#processes.keys()]) await this.end(name)
    this.#machines.close()
    rmSync(this.#folder, { recursive: true, force: true })
  }
}

const MAX_WAIT_MS = 60_000
const REQUEST_TIMEOUT_MS = 30_000
const POLL_INTERVAL_MS = 50

/**
 * Waits until a condition holds.
 *
 * @param condition - evaluated repeatedly; an error counts as false
 * @throws Error if the condition does not hold within a minute
 */
export async function waitUntil (condition: () => Promise<boolean> | boolean): Promise<void> {
  const deadline = Date.now() + MAX_WAIT_MS
  for (;;) {
    try {
      if (await condition()) return
    } catch {
      // The process may not be listening yet.
    }
    if (Date.now() > deadline) throw new Error(`condition did not hold within ${MAX_WAIT_MS} ms: ${condition.toString()}`)
    await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS))
  }
}
