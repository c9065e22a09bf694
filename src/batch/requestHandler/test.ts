import { expect } from 'chai'
import { ManualClock } from '../../clock/index.js'
import { EventLog } from '../../logs/eventLog/index.js'
import { Metrics } from '../../metrics/index.js'
import { digestKey } from '../../workspaces/digestKey/index.js'
import { createConfig, createJob, createQueue, createWorkspace } from '../fixtures/index.js'
import type { JobAdmission } from '../admission/index.js'
import type { TermContext } from '../leader/context.js'
import { BatchState } from '../state/index.js'
import type { WorkerRegistry } from '../../workers/registry/index.js'
import { LeaderRequestHandler } from './index.js'

const SUBMIT = { kind: 'submit', host: 'h.example', path: '/cleanup/00000000000000aa', spec: { payload: '', steps: [] } } as unknown as Parameters<LeaderRequestHandler['answer']>[0]

const ACCEPT_ALL: Pick<JobAdmission, 'decide'> = { decide: () => null }

function createHarness (admission = ACCEPT_ALL) {
  const clock = new ManualClock()
  const state = new BatchState()
  state.apply(1, { type: 'configure', at: 1000, config: createConfig(1, [createQueue()]) })
  const proposed: string[] = []
  const lease = { isHeld: true }
  const context = {
    clock,
    state,
    log: new EventLog('test', clock, { writableLength: 0, write: () => {} }),
    metrics: new Metrics(),
    mayOrder: () => lease.isHeld,
    propose: (type: string, input: object) => {
      proposed.push(type)
      return Promise.resolve(state.apply(proposed.length + 1, { type, at: 1000, ...input }))
    }
  } as unknown as TermContext
  const listener = { onWork: () => {}, onJob: () => {}, relayOf: () => null, waitOf: () => null, members: () => ({ version: 3, addresses: ['a:1', 'b:1'] }) }
  return { lease, proposed, state, handler: new LeaderRequestHandler(context, { sessions: [] } as unknown as WorkerRegistry, admission, listener) }
}

describe('LeaderRequestHandler', () => {
  it('executes nothing while the leader lease is not confirmed', async () => {
    const { lease, proposed, handler } = createHarness()
    lease.isHeld = false
    expect((await handler.answer(SUBMIT)).kind).to.equal('unclear')
    expect(proposed).to.deep.equal([])
  })

  it('gives no answer that may be out of date when the lease is lost while it reads', async () => {
    const { lease, handler } = createHarness()
    const answer = handler.answer({ kind: 'readConfig' })
    lease.isHeld = false
    expect((await answer).kind).to.equal('unclear')
  })

  it('acknowledges what was committed although the lease is lost meanwhile', async () => {
    const { lease, proposed, handler } = createHarness()
    const answer = handler.answer({ kind: 'configure', config: createConfig(2) })
    lease.isHeld = false
    expect((await answer).kind).to.equal('accepted')
    expect(proposed).to.deep.equal(['configure'])
  })

  describe('when jobs are refused', () => {
    const REFUSE_ALL: Pick<JobAdmission, 'decide'> = { decide: () => ({ reason: 'backlog', retryAfterMs: 1500 }) }
    const JOB = '00000000000000aa'
    const submit = { kind: 'submit', host: 'studio.example', path: `/cleanup/${JOB}`, keyDigest: null, spec: createJob(JOB) } as Parameters<LeaderRequestHandler['answer']>[0]

    it('refuses a job without committing anything, and says when to come back', async () => {
      const { proposed, state, handler } = createHarness(REFUSE_ALL)
      expect(await handler.answer(submit)).to.deep.equal({ kind: 'refused', reason: 'backlog', retryAfterMs: 1500 })
      expect(proposed).to.deep.equal([])
      expect(state.data.jobs.size).to.equal(0)
    })

    it('refuses no copy of a call whose job is accepted, or is being accepted', async () => {
      const admission = { ...ACCEPT_ALL }
      const { state, handler } = createHarness(admission)
      const first = handler.answer(submit)
      admission.decide = REFUSE_ALL.decide
      const copy = handler.answer(submit)
      expect([(await first).kind, (await copy).kind, (await handler.answer(submit)).kind]).to.deep.equal(['accepted', 'accepted', 'accepted'])
      expect(state.data.jobs.size).to.equal(1)
    })

    it('tells the admission how many acceptances are under way', async () => {
      const counts: number[] = []
      const { handler } = createHarness({ decide: (_submission, _config, pending) => { counts.push(pending); return null } })
      await Promise.all(['01', '02', '03'].map((id) => handler.answer({ ...submit, path: `/cleanup/00000000000000${id}` } as typeof submit)))
      await handler.answer({ ...submit, path: '/cleanup/0000000000000004' } as typeof submit)
      expect(counts).to.deep.equal([0, 1, 2, 0])
    })
  })

  describe('with workspaces', () => {
    const JOB = '00000000000000aa'
    const call = (kind: 'submit' | 'show' | 'cancel', key: string | null, prefix = '/cleanup/') => ({ kind, host: 'studio.example', path: `${prefix}${JOB}`, keyDigest: key === null ? null : digestKey(key), spec: createJob(JOB) }) as Parameters<LeaderRequestHandler['answer']>[0]

    function createWorkspaceHarness () {
      const harness = createHarness()
      const configure = (version: number, keys: readonly string[]): unknown => harness.state.apply(version, { type: 'configure', at: 1000, config: { ...createConfig(version, [createQueue(), createQueue({ name: 'open', prefix: '/open/', isPublic: true })]), workspaces: [createWorkspace('studio', { keys }), createWorkspace('library')] } })
      configure(2, ['k1', 'k2'])
      return { ...harness, configure, ask: async (...args: Parameters<typeof call>) => (await harness.handler.answer(call(...args))).kind }
    }

    it('accepts a job only with a key of a workspace, and notes the workspace (ROUTE)', async () => {
      const { state, ask } = createWorkspaceHarness()
      expect(await ask('submit', null)).to.equal('unknownKey')
      expect(await ask('submit', 'k9')).to.equal('unknownKey')
      expect(state.data.jobs.size).to.equal(0)
      expect(await ask('submit', 'k2')).to.equal('accepted')
      expect(state.data.jobs.get(JOB)?.workspace).to.equal('studio')
    })

    it('serves no call with a key from the moment its withdrawal is in force, and serves new keys at once (CONFIG)', async () => {
      const { configure, ask } = createWorkspaceHarness()
      await ask('submit', 'k1')
      configure(3, ['k2', 'k3'])
      for (const kind of ['submit', 'show', 'cancel'] as const) expect(await ask(kind, 'k1')).to.equal('unknownKey')
      expect(await ask('show', 'k3')).to.equal('job')
    })

    it('shows and cancels no job of another workspace', async () => {
      const { ask } = createWorkspaceHarness()
      await ask('submit', 'k1')
      expect(await ask('show', 'library')).to.equal('noJob')
      expect(await ask('cancel', 'library')).to.equal('noJob')
      expect(await ask('show', 'k1')).to.equal('job')
    })

    it('needs no key for a public queue, and answers for a queue that is not there before it looks at the key', async () => {
      const { ask } = createWorkspaceHarness()
      expect(await ask('submit', null, '/open/')).to.equal('accepted')
      expect(await ask('show', 'k9', '/open/')).to.equal('job')
      expect(await ask('show', null, '/none/')).to.equal('noQueue')
    })
  })
})
