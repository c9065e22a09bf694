import { spawn } from 'node:child_process'
import { readFileSync } from 'node:fs'
import { expect } from 'chai'
import type { ConfigChange } from '../../src/batch/diffConfig/index.js'
import type { Finding } from '../../src/contracts/findings/index.js'
import { JobDeployment, waitUntil } from '../jobs/deployment.js'

const EXAMPLES = 'examples/configuration'

interface Result {
  readonly code: number | null
  readonly out: string
}

function check (...args: string[]): Promise<Result> {
  return new Promise((resolve, reject) => {
    const child = spawn(process.execPath, ['target/platform-check.mjs', ...args])
    let out = ''
    child.stdout.on('data', (chunk: Buffer) => { out += chunk.toString() })
    child.stderr.on('data', (chunk: Buffer) => { out += chunk.toString() })
    child.once('error', reject)
    child.once('close', (code) => { resolve({ code, out }) })
  })
}

async function checkAsJson (...args: string[]): Promise<{ readonly findings: readonly Finding[], readonly changes: readonly ConfigChange[] | null }> {
  return JSON.parse((await check(...args, '--json')).out)
}

describe('check of a configuration before it is sent', function () {
  this.timeout(120_000)

  it('accepts a valid configuration', async () => {
    expect(await check(`${EXAMPLES}/valid.json`, '--strict')).to.deep.equal({ code: 0, out: 'No findings.\n' })
  })

  it('lists all entries that cannot be read, each with its place', async () => {
    const { code, out } = await check(`${EXAMPLES}/faulty.json`)
    expect(code).to.equal(2)
    expect(out.trim().split('\n').map((line) => line.slice(line.indexOf('error: ') + 7))).to.deep.equal([
      'routes[0] (cleanup): timeoutMs: expected a non-negative number below 2^53',
      'routes[1] (library): maxAttempts: expected a non-negative number below 2^53',
      'services[0]: name: expected a string',
      'tenants[0] (schools): apiKeys: expected an array'
    ])
  })

  it('warns of entries that never match and of limits that contradict each other, and exits with 1 for scripts that ask for it', async () => {
    const { findings, changes } = await checkAsJson(`${EXAMPLES}/contradictory.json`)
    expect(findings.map(({ severity, source }) => `${severity} ${source}`)).to.deep.equal(['warning queues[0] (cleanup)', 'warning queues[1] (shadowed)', 'warning queues[2] (parked)'])
    expect(changes).to.equal(null)
    expect((await check(`${EXAMPLES}/contradictory.json`)).code).to.equal(0)
    expect((await check(`${EXAMPLES}/contradictory.json`, '--strict')).code).to.equal(1)
  })

  it('shows what differs from another configuration, and no key', async () => {
    const { code, out } = await check(`${EXAMPLES}/contradictory.json`, '--against', `${EXAMPLES}/valid.json`)
    expect(code).to.equal(0)
    expect(out).to.match(/version 8 is not above 8/).and.match(/^! workspace schools: keys: 1 added, 2 withdrawn/m).and.match(/^- service catalogue$/m).and.not.match(/example-key/)
  })

  it('shows what differs from the version in force', async () => {
    const deployment = new JobDeployment()
    await deployment.start()
    try {
      const valid = readFileSync(`${EXAMPLES}/valid.json`, 'utf8')
      await waitUntil(async () => (await fetch(`http://${deployment.controlAddresses[0] as string}/config`, { method: 'PUT', body: valid })).status === 200)
      expect((await check(`${EXAMPLES}/valid.json`, '--internal', deployment.internalAddresses.join(','))).out).to.match(/version 8 is not above 8/).and.match(/No differences\./)
    } finally {
      await deployment.stop()
    }
  })

  it('says that a file or a group cannot be reached', async () => {
    expect((await check('examples/none.json')).code).to.equal(2)
    expect((await check(`${EXAMPLES}/valid.json`, '--internal', '127.0.0.1:1')).code).to.equal(4)
  })
})
