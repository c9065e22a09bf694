import { expect } from 'chai'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { Deployment, waitForHttp } from '../../bench/harness/deployment.js'
import { FLEETS } from '../../bench/harness/fleet.js'
import { call, createKey } from '../call.js'

describe('control under failure, with real processes', function () {
  this.timeout(180_000)
  let deployment: Deployment

  before(async () => {
    deployment = new Deployment({ fleet: FLEETS.lindenhof, controls: 3, entries: 2 })
    await deployment.start()
  })

  // An earlier test may have killed the leader. Until the entries have a fresh view again, they correctly answer `notRun`.
  beforeEach(async () => {
    for (const control of deployment.controls) if (!control.process.isRunning) control.process.start()
    await Promise.all(deployment.entries.map((each) => waitForHttp(`${each.address}/ready`)))
    await deployment.waitForAllUp()
  })

  after(async () => { await deployment.stop() })

  function applyRules (extra: readonly string[]): ReturnType<Deployment['ctl']> {
    return deployment.ctl(['--json', 'apply', '--rules', deployment.rulesPath, ...extra])
  }

  it('accepts one of two concurrent changes to the same version, and answers a resent change as before', async () => {
    const [a, b] = await Promise.all(['op-a', 'op-b'].map((operation) => applyRules(['--expect', '1', '--operation', operation])))
    expect([a?.code, b?.code].sort()).to.deep.equal([0, 3])
    const winner = a?.code === 0 ? 'op-a' : 'op-b'
    const loser = a?.code === 0 ? b : a
    expect(loser?.stderr).to.include(`with operation ${winner}`)
    await (await deployment.leader()).process.kill()
    const again = await applyRules(['--expect', '1', '--operation', winner])
    expect(again.code).to.equal(0)
    expect(JSON.parse(again.stdout)).to.include({ status: 'accepted', version: 2 })
    for (const control of deployment.controls) if (!control.process.isRunning) control.process.start()
  })

  it('answers a resent write with the stored answer after all control processes restarted', async () => {
    const key = createKey()
    const [entry = ''] = deployment.entryAddresses
    const answered = await call(entry, { service: 'sweeps', method: 'POST', key })
    expect(answered.outcome, answered.body).to.equal('answered')
    await sleep(300)
    for (const control of deployment.controls) await control.process.kill()
    for (const control of deployment.controls) control.process.start()
    await Promise.all(deployment.entries.map((each) => waitForHttp(`${each.address}/ready`)))
    const again = await call(deployment.entryAddresses[1] ?? '', { service: 'sweeps', method: 'POST', key })
    expect(again).to.deep.equal(answered)
    expect(deployment.oracle.countRuns(key)).to.equal(1)
  })

  it('runs no request without a fresh view, and recovers by itself', async () => {
    const [entry = ''] = deployment.entryAddresses
    for (const control of deployment.controls) control.proxy.setFault('silent')
    await deployment.waitFor(async () => (await request(`http://${entry}/ready`)).statusCode === 503, 'the view to go stale')
    const key = createKey()
    const refused = await call(entry, { service: 'sweeps', key })
    expect(refused).to.include({ status: 503, outcome: 'notRun' })
    expect(refused.body).to.include('staleView')
    expect(deployment.oracle.countRuns(key)).to.equal(0)
    for (const control of deployment.controls) control.proxy.setFault('none')
    await waitForHttp(`${entry}/ready`)
    await deployment.waitForAllUp()
    expect((await call(entry, { service: 'sweeps' })).outcome).to.equal('answered')
  })

  it('replaces a lost member, and accepts changes after the loss of a second one', async () => {
    const leader = await deployment.leader()
    const [firstLost, secondLost] = deployment.controls.filter((control) => control !== leader)
    await firstLost?.process.kill()
    const spare = await deployment.createControl('c9')
    spare.process.start()
    await waitForHttp(`127.0.0.1:${spare.port}/live`)
    deployment.controls.push(spare)
    await deployment.ctlOrThrow(['members', 'add', spare.address, '--replace', firstLost?.name ?? ''])
    await secondLost?.process.kill()
    const accepted = await applyRules(['--expect', '2', '--operation', 'after-repair'])
    expect(accepted.code, accepted.stderr).to.equal(0)
    secondLost?.process.start()
    expect(JSON.parse((await applyRules(['--expect', '2', '--operation', 'after-repair'])).stdout)).to.include({ version: 3 })
  })

  it('reports the position of an error in a file, and applies nothing', async () => {
    const before = (await deployment.show()).version
    const res = await deployment.ctl(['apply', '--rules', deployment.inventoryPath])
    expect(res.code).to.equal(2)
    expect(res.stderr).to.match(/inventory\.csv:\d+:\d+: error: /)
    expect((await deployment.show()).version).to.equal(before)
  })

  it('rejects a second process on the same data folder', async () => {
    const running = deployment.controls.find((control) => control.process.isRunning)
    const { ManagedProcess } = await import('../../bench/harness/processes.js')
    const secondProcess = new ManagedProcess('second', 'oleanderward-control', ['--id', 'x', '--listen', '127.0.0.1:1', '--data-folder', running?.folder ?? ''])
    secondProcess.start()
    await deployment.waitFor(() => !secondProcess.isRunning, 'the second process to end')
    expect(secondProcess.log).to.include('another process uses this data folder')
  })
})
