import { expect } from 'chai'
import { setTimeout as sleep } from 'node:timers/promises'
import { request } from 'undici'
import { Deployment, waitForHttp } from '../../bench/harness/deployment.js'
import { FLEETS } from '../../bench/harness/fleet.js'
import { call, newKey } from '../call.js'

describe('control under failure, with real processes', function () {
  this.timeout(180_000)
  let deployment: Deployment

  before(async () => {
    deployment = new Deployment({ fleet: FLEETS.lindenhof, controls: 3, entries: 2 })
    await deployment.start()
  })

  // The test before may have killed the leader: until entries have a fresh view again, "not run" is a right answer.
  beforeEach(async () => {
    for (const control of deployment.controls) if (!control.process.isRunning) control.process.start()
    await Promise.all(deployment.entries.map((each) => waitForHttp(`${each.address}/ready`)))
    await deployment.waitForAllUp()
  })

  after(async () => { await deployment.stop() })

  function applyRules (extra: readonly string[]): ReturnType<Deployment['ctl']> {
    return deployment.ctl(['--json', 'apply', '--rules', deployment.rulesPath, ...extra])
  }

  it('accepts one of two changes with equal numbers, and gives a resend the first answer', async () => {
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

  it('answers a resent write from a new leader and after all control processes restarted', async () => {
    const key = newKey()
    const [entry = ''] = deployment.entryAddresses
    const answered = await call(entry, { service: 'sweeps', method: 'POST', key })
    expect(answered.outcome, answered.body).to.equal('answered')
    await sleep(300)
    for (const control of deployment.controls) await control.process.kill()
    for (const control of deployment.controls) control.process.start()
    await Promise.all(deployment.entries.map((each) => waitForHttp(`${each.address}/ready`)))
    const again = await call(deployment.entryAddresses[1] ?? '', { service: 'sweeps', method: 'POST', key })
    expect(again).to.deep.equal(answered)
    expect(deployment.oracle.runsOf(key)).to.equal(1)
  })

  it('starts nothing without a fresh view, and comes back by itself', async () => {
    const [entry = ''] = deployment.entryAddresses
    for (const control of deployment.controls) control.proxy.setFault('silent')
    await deployment.waitFor(async () => (await request(`http://${entry}/ready`)).statusCode === 503, 'the view to go stale')
    const key = newKey()
    const refused = await call(entry, { service: 'sweeps', key })
    expect(refused).to.include({ status: 503, outcome: 'notRun' })
    expect(refused.body).to.include('staleView')
    expect(deployment.oracle.runsOf(key)).to.equal(0)
    for (const control of deployment.controls) control.proxy.setFault('none')
    await waitForHttp(`${entry}/ready`)
    await deployment.waitForAllUp()
    expect((await call(entry, { service: 'sweeps' })).outcome).to.equal('answered')
  })

  it('replaces a lost member, survives the loss of a second one, and refuses the emptied folder', async () => {
    const leader = await deployment.leader()
    const [lost, next] = deployment.controls.filter((control) => control !== leader)
    await lost?.process.kill()
    const spare = await deployment.createControl('c9')
    spare.process.start()
    await waitForHttp(`127.0.0.1:${spare.port}/live`)
    deployment.controls.push(spare)
    await deployment.ctlOrThrow(['members', 'add', spare.address, '--replace', lost?.name ?? ''])
    await next?.process.kill()
    const accepted = await applyRules(['--expect', '2', '--operation', 'after-repair'])
    expect(accepted.code, accepted.stderr).to.equal(0)
    next?.process.start()
    expect(JSON.parse((await applyRules(['--expect', '2', '--operation', 'after-repair'])).stdout)).to.include({ version: 3 })
  })

  it('says what is wrong with files and applies nothing', async () => {
    const before = (await deployment.show()).version
    const res = await deployment.ctl(['apply', '--rules', deployment.inventoryPath])
    expect(res.code).to.equal(2)
    expect(res.stderr).to.match(/inventory\.csv:\d+:\d+: error: /)
    expect((await deployment.show()).version).to.equal(before)
  })

  it('keeps a second process away from a data folder', async () => {
    const running = deployment.controls.find((control) => control.process.isRunning)
    const { ManagedProcess } = await import('../../bench/harness/processes.js')
    const second = new ManagedProcess('second', 'oleanderward-control', ['--id', 'x', '--listen', '127.0.0.1:1', '--data-folder', running?.folder ?? ''])
    second.start()
    await deployment.waitFor(() => !second.isRunning, 'the second process to end')
    expect(second.log).to.include('another process uses this data folder')
  })
})
