import { expect } from 'chai'
import { request } from 'undici'
import { Deployment, waitForHttp } from '../../bench/harness/deployment.js'
import { FLEETS } from '../../bench/harness/fleet.js'
import { SystemClock } from '../../src/clock/index.js'
import { itUnsteady } from '../../src/knownFailures/index.js'
import { ControlClient } from '../../src/links/controlClient/index.js'

const CALL_LIMITS = { attemptMs: 2000, totalMs: 20_000 }

describe('replacement of all members, with real processes', function () {
  this.timeout(180_000)
  let deployment: Deployment

  before(async () => {
    deployment = new Deployment({ fleet: FLEETS.lindenhof, controls: 3, entries: 1, hasNoEndpoints: true })
    await deployment.start()
  })

  after(async () => { await deployment.stop() })

  async function replace (lost: Deployment['controls'][number], name: string): Promise<void> {
    await lost.process.kill()
    lost.proxy.stop()
    deployment.controls.splice(deployment.controls.indexOf(lost), 1)
    const spare = await deployment.createControl(name)
    spare.process.start()
    await waitForHttp(`127.0.0.1:${spare.port}/live`)
    deployment.controls.push(spare)
    await deployment.waitFor(async () => (await deployment.ctl(['members', 'add', spare.address, '--replace', lost.name])).code === 0, `the replacement of ${lost.name}`)
  }

  itUnsteady('lets entries and clients find the leader when no address of their settings is left', async () => {
    const [entry = ''] = deployment.entryAddresses
    const client = new ControlClient(deployment.controlAddresses, undefined, new SystemClock())
    const readVersion = async (): Promise<number | string> => {
      const res = await client.call((calls, signal) => calls.show.mutate({}, { signal }), CALL_LIMITS)
      return res.isOk() ? res.value.version : res.error.message
    }
    try {
      expect(await readVersion()).to.equal(1)
      for (const [index, lost] of [...deployment.controls].entries()) {
        await replace(lost, `r${index}`)
        await waitForHttp(`${entry}/ready`)
        expect(await readVersion()).to.equal(1)
      }
      await (await deployment.leader()).process.kill()
      expect(await readVersion()).to.equal(1)
      await deployment.waitFor(async () => (await request(`http://${entry}/ready`)).statusCode === 200, 'a current view after the loss of a new member')
    } finally {
      client.close()
    }
  })
})
