/** Starts the product's processes for tests, demo and bench, and reads what they use. */
import { spawn, type ChildProcess } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { createServer, type AddressInfo } from 'node:net'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const DIST = join(fileURLToPath(new URL('../..', import.meta.url)), 'dist')
const CLOCK_TICKS_PER_SECOND = 100

/** Names of the binaries. */
export type Binary = 'oleanderward-entry' | 'oleanderward-control' | 'oleanderctl'

/** What a process has used. */
export interface ProcessUsage {
  readonly cpuMs: number
  readonly rssMb: number
}

/** One process of the product. */
export class ManagedProcess {
  readonly #args: readonly string[]
  readonly #binary: Binary
  readonly #nodeArgs: readonly string[]
  #child: ChildProcess | null = null
  #log = ''

  /**
   * @param name - for messages
   * @param binary - which binary
   * @param args - its arguments
   * @param nodeArgs - arguments of the runtime
   */
  constructor (readonly name: string, binary: Binary, args: readonly string[], nodeArgs: readonly string[] = NODE_ARGS[binary]) {
    this.#binary = binary
    this.#args = args
    this.#nodeArgs = nodeArgs
  }

  get log (): string {
    return this.#log
  }

  get pid (): number | undefined {
    return this.#child?.pid
  }

  get isRunning (): boolean {
    return this.#child !== null
  }

  start (): void {
    const child = spawn(process.execPath, [...this.#nodeArgs, join(DIST, `${this.#binary}.mjs`), ...this.#args], { stdio: ['ignore', 'pipe', 'pipe'] })
    this.#child = child
    child.stdout.on('data', (chunk) => { this.#log += String(chunk) })
    child.stderr.on('data', (chunk) => { this.#log += String(chunk) })
    child.on('exit', () => { if (this.#child === child) this.#child = null })
  }

  /**
   * Sends a signal; `SIGSTOP` and `SIGCONT` freeze and thaw.
   *
   * @param signal - which signal
   */
  signal (signal: NodeJS.Signals): void {
    this.#child?.kill(signal)
  }

  /** Kills the process at once; resolves when it is gone. */
  async kill (): Promise<void> {
    await this.#terminate('SIGKILL')
  }

  /** Asks the process to stop; resolves with its exit code. */
  async stop (): Promise<number | null> {
    return await this.#terminate('SIGTERM')
  }

  /** Reads processor time and resident memory; null when it is not running. */
  usage (): ProcessUsage | null {
    const pid = this.#child?.pid
    if (pid === undefined) return null
    try {
      const stat = readFileSync(`/proc/${pid}/stat`, 'utf8')
      const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ')
      const ticks = Number(fields[11]) + Number(fields[12])
      const rss = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
      return { cpuMs: ticks * 1000 / CLOCK_TICKS_PER_SECOND, rssMb: Number(rss ?? 0) / 1024 }
    } catch {
      return null
    }
  }

  async #terminate (signal: NodeJS.Signals): Promise<number | null> {
    const child = this.#child
    if (child === null) return null
    const exited = new Promise<number | null>((resolve) => { child.once('exit', resolve) })
    child.kill(signal)
    return await exited
  }
}

/** Runtime arguments that keep each binary's memory small. */
export const NODE_ARGS: Readonly<Record<Binary, readonly string[]>> = {
  'oleanderward-entry': (process.env['ENTRY_NODE_ARGS'] ?? '').split(' ').filter((arg) => arg !== ''),
  'oleanderward-control': (process.env['CONTROL_NODE_ARGS'] ?? '').split(' ').filter((arg) => arg !== ''),
  oleanderctl: []
}

/** Output of one run of the client. */
export interface CtlResult {
  readonly code: number
  readonly stdout: string
  readonly stderr: string
}

/**
 * Runs the operators' client once.
 *
 * @param control - addresses of control processes
 * @param args - its arguments
 */
export function runCtl (control: readonly string[], args: readonly string[]): Promise<CtlResult> {
  return new Promise((resolve) => {
    const child = spawn(process.execPath, [join(DIST, 'oleanderctl.mjs'), '--control', control.join(','), ...args], { stdio: ['ignore', 'pipe', 'pipe'] })
    let stdout = ''
    let stderr = ''
    child.stdout.on('data', (chunk) => { stdout += String(chunk) })
    child.stderr.on('data', (chunk) => { stderr += String(chunk) })
    child.on('exit', (code) => { resolve({ code: code ?? -1, stdout, stderr }) })
  })
}

/** Returns a port on loopback that is free at the moment. */
export async function findFreePort (): Promise<number> {
  const server = createServer()
  await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
  const { port } = server.address() as AddressInfo
  await new Promise<void>((resolve) => { server.close(() => { resolve() }) })
  return port
}
