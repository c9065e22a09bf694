import { expect } from 'chai'
import { createConfig, createQueue, createWorkspace } from '../fixtures/index.js'
import type { Queue, QueueConfig } from '../types.js'
import { reviewConfig } from './index.js'

function review (changes: Partial<Queue>, config: Partial<QueueConfig> = {}): string[] {
  return reviewConfig({ ...createConfig(1, [createQueue(changes)]), ...config }).map(({ source, message }) => `${source}: ${message}`)
}

describe('reviewConfig', () => {
  it('finds nothing in a usual configuration, with and without workspaces', () => {
    expect(review({})).to.deep.equal([])
    expect(review({}, { workspaces: [createWorkspace('studio')] })).to.deep.equal([])
  })

  for (const [what, changes, message] of [
    ['a host with a port', { host: 'studio.example:80' }, /host: .* no call matches/],
    ['a prefix that is no path', { prefix: 'cleanup/' }, /prefix: .* no call matches/],
    ['a prefix with a query', { prefix: '/cleanup?x=' }, /prefix: .* query/],
    ['a time-out below the objective', { timeoutMs: 500, targetLatencyMs: 600 }, /timeoutMs: 500 ms/],
    ['a slack below 1', { slackFactor: 0.5 }, /slackFactor/],
    ['no limit of attempts', { maxAttempts: 0 }, /maxAttempts/],
    ['an advisor that is slower than the objective', { advice: { decisionMs: 100, perWorkerMs: 20, validityMs: 5000 } }, /advice: .*700 ms/],
    ['tickets that expire before they arrive', { advice: { decisionMs: 100, perWorkerMs: 0, validityMs: 50 } }, /advice: tickets/]
  ] as const) {
    it(`names the queue with ${what}`, () => {
      const findings = review(changes)
      expect(findings).to.have.length(1)
      expect(findings[0]).to.match(/^queues\[0\] \(cleanup\): /).and.match(message)
    })
  }

  it('names the queue whose calls an earlier one takes, since hosts have no case', () => {
    const config = createConfig(1, [createQueue(), createQueue({ name: 'shadowed', host: 'Studio.example' })])
    expect(reviewConfig(config).map(({ source }) => source)).to.deep.equal(['queues[1] (shadowed)'])
  })

  it('names services that run nothing, and queues of the standby service', () => {
    const standby = { name: 'booth', guardsRoom: false, isStandby: true }
    expect(review({}, { services: [standby] })[0]).to.match(/service: "booth" holds the powered-off machines/)
    expect(review({}, { services: [{ ...standby, isStandby: false }, { name: 'idle', guardsRoom: false, isStandby: false }] })).to.deep.equal(['services[1] (idle): no queue uses it, so that its workers run nothing'])
  })

  it('names workspaces without a key or a share, and queues that nobody can call', () => {
    const findings = review({}, { workspaces: [createWorkspace('studio', { keys: [], weight: 0 })] })
    expect(findings.map((finding) => finding.split(':')[0])).to.deep.equal(['queues[0] (cleanup)', 'workspaces[0] (studio)', 'workspaces[0] (studio)'])
  })
})
