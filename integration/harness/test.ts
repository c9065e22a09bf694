import { expect } from 'chai'
import { readFileSync } from 'node:fs'
import { createServer, type Server } from 'node:net'
import { findFreePort } from '../../bench/harness/processes.js'

/** Source ports that the kernel gives to connections. */
function readSourcePortRange (): readonly [number, number] {
  const [first, last] = readFileSync('/proc/sys/net/ipv4/ip_local_port_range', 'utf8').trim().split(/\s+/).map(Number)
  return [first as number, last as number]
}

function listen (port: number): Promise<Server> {
  return new Promise((resolve, reject) => {
    const server = createServer()
    server.once('error', reject)
    server.listen(port, '127.0.0.1', () => { resolve(server) })
  })
}

describe('findFreePort', () => {
  it('returns ports that no connection takes as its source port, and none twice', async () => {
    const [first, last] = readSourcePortRange()
    const ports = await Promise.all(Array.from({ length: 50 }, () => findFreePort()))
    expect(new Set(ports).size).to.equal(ports.length)
    for (const port of ports) expect(port >= first && port <= last, String(port)).to.equal(false)
  })

  it('passes over a port on which another process listens', async () => {
    const taken = await listen(await findFreePort() + 1)
    const port = await findFreePort()
    await (await listen(port)).close()
    taken.close()
  })
})
