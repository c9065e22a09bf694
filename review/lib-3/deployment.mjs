// Starts the project's own programs as the deploy file says, on loopback addresses, with settings like those of a small site.
import { spawn } from 'node:child_process'
import { createWriteStream, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs'
import { createServer } from 'node:net'
import { tmpdir } from 'node:os'
import { join } from 'node:path'

// Bounds of the site file lths-ow.
const BOUNDS = { holdMaxMs: 6000, stopGraceMs: 400, graceS: 6, status_s: 120, remotePenalty: 1.5, migrationS: 1.5, maintenanceS: 2, requireFencing: true }
const PORTS = { control: 18_623, front: 18_624, health: 18_622, internal: 17_060, metrics: 17_075, machines: 18_621 }
const MAX_NETWORKS_TRIED = 20

// Waits for a time, in milliseconds.
export const sleep = (ms) => new Promise((resolve) => { setTimeout(resolve, ms) })

// Thrown where a case could not run.
export class SetupError extends Error {}

// Waits until a condition holds, or throws a SetupError.
export async function waitFor (what, condition, timeoutMs = 30_000) {
  for (const end = Date.now() + timeoutMs; Date.now() < end; await sleep(50)) {
    if (await Promise.resolve().then(condition).catch(() => false)) return
  }
  throw new SetupError(`not within ${timeoutMs} ms: ${what}`)
}

// Fills in a template of the deploy folder: values, values as JSON, and sections for a missing value.
function fillIn (template, values) {
  const find = (path) => path.split('.').reduce((value, name) => value?.[name], values)
  return template
    .replace(/\{\{\^([\w.]+)\}\}(.*?)\{\{\/\1\}\}/gs, (_, path, text) => find(path) === undefined ? text : '')
    .replace(/\{\{([\w.]+)(\|json)?\}\}/g, (_, path, json) => json === undefined ? String(find(path) ?? '') : JSON.stringify(find(path) ?? null))
}

// Reads the command and the template of a role from the deploy file.
function readRole (role) {
  const text = readFileSync('deploy/system.toml', 'utf8')
  const section = text.split(/^\[/m).find((part) => part.startsWith(`roles.${role}]`)) ?? ''
  const valueOf = (key) => new RegExp(`^${key} = "(.*)"$`, 'm').exec(section)?.[1]
  return { command: valueOf('run').split(' '), template: readFileSync(valueOf('template'), 'utf8') }
}

function isFree (host, port) {
  return new Promise((resolve) => {
    const server = createServer()
    server.once('error', () => { resolve(false) })
    server.listen(port, host, () => { server.close(() => { resolve(true) }) })
  })
}

// Picks the first bytes of loopback addresses that nothing uses.
async function pickNetwork () {
  for (let i = 0; i < MAX_NETWORKS_TRIED; i++) {
    const network = `127.${20 + Math.floor(Math.random() * 200)}`
    const checks = [[`${network}.0.1`, PORTS.control], [`${network}.0.1`, PORTS.internal], [`${network}.0.11`, PORTS.front], [`${network}.0.99`, PORTS.machines]]
    if ((await Promise.all(checks.map(([host, port]) => isFree(host, port)))).every(Boolean)) return network
  }
  throw new SetupError('no free loopback addresses')
}

// Three control processes and some entry processes.
export class Deployment {
  #folder = mkdtempSync(join(tmpdir(), 'oleanderward-review-'))
  #children = new Map()
  #log

  constructor (network, { entries, logPath }) {
    this.network = network
    this.entryCount = entries
    this.control = [1, 2, 3].map((n) => `${network}.0.${n}:${PORTS.control}`)
    this.entries = Array.from({ length: entries }, (_, i) => `${network}.0.${11 + i}:${PORTS.front}`)
    this.machinesAddress = `${network}.0.99:${PORTS.machines}`
    this.#log = logPath === undefined ? null : createWriteStream(logPath)
  }

  static async create ({ entries = 2, logPath = process.env.REVIEW_LOG } = {}) {
    return new Deployment(await pickNetwork(), { entries, logPath })
  }

  start () {
    this.control.forEach((_, i) => { this.#startControl(i) })
    this.entries.forEach((_, i) => { this.#start(`entry-${i + 1}`, 'entry', `${this.network}.0.${11 + i}`, {}) })
  }

  #startControl (i) {
    const name = `control-${i + 1}`
    this.#start(name, 'control', `${this.network}.0.${i + 1}`, { dataDir: join(this.#folder, name), bootstrap: true })
  }

  #start (name, role, ip, own) {
    const { command: [program, ...args], template } = readRole(role)
    const settings = fillIn(template, {
      node: name,
      zone: 'z-a',
      ip,
      internalPorts: [PORTS.internal, PORTS.metrics],
      bindAddrs: { control: `${ip}:${PORTS.control}`, front: `${ip}:${PORTS.front}`, healthAddr: `${ip}:${PORTS.health}` },
      seeds: this.control,
      bounds: BOUNDS,
      advice: '',
      cloudApi: { address: this.machinesAddress, dutyPerS: 64 },
      ...own
    })
    const path = join(this.#folder, `${name}.json`)
    writeFileSync(path, settings)
    const child = spawn(program, args, { env: { PATH: process.env.PATH, HOME: process.env.HOME, OLEANDERWARD_BOOT: path }, stdio: ['ignore', 'pipe', 'pipe'] })
    for (const stream of [child.stdout, child.stderr]) stream.on('data', (chunk) => { this.#log?.write(chunk) })
    this.#children.set(name, child)
  }

  async stop () {
    await Promise.all([...this.#children.values()].map(async (child) => {
      if (child.exitCode !== null || child.signalCode !== null) return
      const ended = new Promise((resolve) => { child.once('exit', resolve) })
      child.kill('SIGCONT')
      child.kill('SIGKILL')
      await ended
    }))
    this.#log?.end()
    rmSync(this.#folder, { recursive: true, force: true })
  }
}
