import { expect } from 'chai'
import { writeFileSync } from 'node:fs'
import { RestartIncident, type ControlFault, type RestartTimes } from './incident.js'

const SEED = Number(process.env.SEED ?? 1)

describe('workers that start again at their address, with real processes', function () {
  this.timeout(300_000)

  async function expectNoOverlap (rounds: readonly ControlFault[], times?: Partial<RestartTimes>): Promise<void> {
    const incident = new RestartIncident(SEED, times)
    try {
      await incident.start()
      for (const controlFault of rounds) await incident.playRound(controlFault)
    } finally {
      await incident.stop()
      if (process.env.INCIDENT_LOGS !== undefined) writeFileSync(process.env.INCIDENT_LOGS, incident.deployment.lines.map((line) => JSON.stringify(line)).join('\n'))
    }
    const { startCount, overlaps } = incident.observer
    expect(startCount).to.be.above(0)
    expect(overlaps, overlaps.join('\n')).to.deep.equal([])
  }

  it('never runs a task twice at the same time when workers start again and are cut off soon after', async () => {
    await expectNoOverlap(['none', 'none', 'pauseFollower', 'killLeader', 'pauseLeader', 'none'])
  })

  it('never runs a task twice at the same time when workers start again and are cut off before they report', async () => {
    // The earlier incarnation is still taken for alive when the next one is reachable.
    await expectNoOverlap(['none', 'none', 'pauseFollower', 'none', 'pauseFollower', 'none'], { downMs: [550, 700], firstReportMs: [470, 500], cutAfterMs: [400, 460], cutMs: [5000, 6000] })
  })
})
