/** Starts the product's processes for tests, demo and bench, and reads their resource usage. */
import { spawn, type ChildProcess } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { join } from 'node:path'
import { fileURLToPath } from 'node:url'

const DIST = join(fileURLToPath(new URL('../..', import.meta.url)), 'dist')
const CLOCK_TICKS_PER_SECOND = 100

/** Name of a bundled program, without its extension. */
export type Binary = 'oleanderward-entry' | 'oleanderward-control' | 'oleanderctl'

/** Processor time that a process has used since its start, and its resident memory. */
export interface ProcessUsage {
  readonly cpuMs: number
  readonly rssMb: number
}

/** A process of the product that can be started, signalled and restarted. */
export class ManagedProcess {
  readonly #args: readonly string[]
  readonly #binary: Binary
  readonly #nodeArgs: readonly string[]
  #child: ChildProcess | null = null
  #log = ''

  /**
   * @param name - name of the process in messages
   * @param binary - program to run
   * @param args - arguments of the program
   * @param nodeArgs - arguments of Node.js
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
   * Sends a signal; `SIGSTOP` suspends the process and `SIGCONT` resumes it.
   *
   * @param signal - signal to send
   */
  signal (signal: NodeJS.Signals): void {
    this.#child?.kill(signal)
  }

  /** Kills the process; resolves when it has exited. */
  async kill (): Promise<void> {
    await this.#terminate('SIGKILL')
  }

  /** Asks the process to stop; resolves with its exit code, or null when it was not running or a signal ended it. */
  async stop (): Promise<number | null> {
    return await this.#terminate('SIGTERM')
  }

  /** Returns processor time and resident memory, or null when the process isn't running. */
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

/** Arguments of Node.js by program, from the environment, for instance to keep a program's memory small. */
export const NODE_ARGS: Readonly<Record<Binary, readonly string[]>> = {
  'oleanderward-entry': (process.env['ENTRY_NODE_ARGS'] ?? '').split(' ').filter((arg) => arg !== ''),
  'oleanderward-control': (process.env['CONTROL_NODE_ARGS'] ?? '').split(' ').filter((arg) => arg !== ''),
  oleanderctl: []
}

/** Exit code and output of the operators' client. */
export interface CtlResult {
  readonly code: number
  readonly stdout: string
  readonly stderr: string
}

/**
 * Runs the operators' client once.
 *
 * @param control - addresses of control processes
 * @param args - arguments of the client
 * @returns exit code, or -1 when a signal ended the client, and output
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

/** Ports below the range from which the kernel takes the source ports of connections (32768 to 60999 by default). */
const FIRST_PORT = 20_000
const LAST_PORT = 31_999

/** Each process begins elsewhere, so that harnesses that run side by side rarely try the same ports. */
let nextPort = FIRST_PORT + (process.pid * 97) % (LAST_PORT - FIRST_PORT + 1)

/**
 * Returns a loopback port that is free and that no connection takes as its source port before a process listens on it. Returns no port
 * twice until all have been used.
 *
 * @throws Error when none is free
 */
export async function findFreePort (): Promise<number> {
  for (let tried = FIRST_PORT; tried <= LAST_PORT; tried++) {
    const port = nextPort
    nextPort = port === LAST_PORT ? FIRST_PORT : port + 1
    if (await isFree(port)) return port
  }
  throw new Error(`no loopback port from ${FIRST_PORT} to ${LAST_PORT} is free`)
}

function isFree (port: number): Promise<boolean> {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', (err: NodeJS.ErrnoException) => {
      if (err.code === 'EADDRINUSE') resolve(false)
      else reject(err)
    })
    server.listen(port, '127.0.0.1', () => { server.close(() => { resolve(true) }) })
  })
}
