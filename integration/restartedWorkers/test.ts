import { expect } from 'chai'
import { writeFileSync } from 'node:fs'
import { itKnownFailure } from '../../src/knownFailures/index.js'
import { RestartIncident, type ControlFault } from './incident.js'

const ROUNDS: readonly ControlFault[] = ['none', 'none', 'pauseFollower', 'killLeader', 'pauseLeader', 'none']
const SEED = Number(process.env.SEED ?? 1)

describe('workers that start again at their address, with real processes', function () {
  this.timeout(300_000)

  itKnownFailure('never runs a task twice at the same time when workers start again and are cut off soon after', async () => {
    const incident = new RestartIncident(SEED)
    try {
      await incident.start()
      for (const controlFault of ROUNDS) await incident.playRound(controlFault)
    } finally {
      await incident.stop()
      if (process.env.INCIDENT_LOGS !== undefined) writeFileSync(process.env.INCIDENT_LOGS, incident.deployment.lines.map((line) => JSON.stringify(line)).join('\n'))
    }
    expect(incident.observer.startCount).to.be.above(0)
    expect(incident.observer.overlaps, incident.observer.overlaps.join('\n')).to.deep.equal([])
  })
})
