/** tRPC procedures of a control process. */
import { initTRPC, TRPCError } from '@trpc/server'
import type { AppendRequest, Member, SnapshotChunk, VoteRequest } from '../../consensus/types.js'
import type { PollRequest, ReportRequest } from '../../contracts/views/index.js'
import type { ControlDaemon } from '../../control/daemon/index.js'
import type { ExplainKind } from '../../control/explain/index.js'
import { applySchema } from '../../control/operations/index.js'
import type { CommandMap, JobSelector, Settlement } from '../../state/commands.js'
import type { WaveSelector } from '../../waves/plan/index.js'
import { toReply } from '../replies.js'

/** Roles that a call may act in. */
export interface CallContext {
  readonly isPeer: boolean
  readonly isOperator: boolean
}

/** Returns a parser that checks no fields: the sender is a program of this project and has validated them. */
function trustedInput<T extends object> () {
  return (input: unknown): T => {
    if (typeof input !== 'object' || input === null) throw new TypeError('input: expected an object')
    return input as T
  }
}

/**
 * Creates the router of a control process.
 *
 * @param daemon - the control process
 * @returns the router, and a factory that binds its procedures to the context of a call
 */
export function createControlRouter (daemon: ControlDaemon) {
  const t = initTRPC.context<CallContext>().create({ isDev: false })
  const peer = t.procedure.use(({ ctx, next }) => {
    if (!ctx.isPeer) throw new TRPCError({ code: 'UNAUTHORIZED', message: 'expected the token of peers for this call' })
    return next()
  })
  const operator = t.procedure.use(({ ctx, next }) => {
    if (!ctx.isOperator) throw new TRPCError({ code: 'UNAUTHORIZED', message: 'expected the token of operators for this call' })
    return next()
  })

  const router = t.router({
    vote: peer.input(trustedInput<VoteRequest>()).mutation(({ input }) => daemon.replica.onVote(input)),
    append: peer.input(trustedInput<AppendRequest>()).mutation(({ input }) => daemon.replica.onAppend(input)),
    snapshot: peer.input(trustedInput<SnapshotChunk>()).mutation(({ input }) => daemon.replica.onSnapshot(input)),

    poll: peer.input(trustedInput<PollRequest>()).mutation(({ input }) => toReply(() => daemon.session().poll(input))),
    report: peer.input(trustedInput<ReportRequest>()).mutation(({ input }) => toReply(() => daemon.session().report(input))),
    leave: peer.input(trustedInput<{ entry: string }>()).mutation(({ input }) => toReply(() => daemon.session().leave(input.entry))),
    claim: peer.input(trustedInput<CommandMap['claim']['input']>()).mutation(({ input }) => toReply(() => daemon.claim(input))),
    settle: peer.input(trustedInput<{ settlements: Settlement[] }>()).mutation(({ input }) => toReply(() => daemon.session().propose('settle', input))),
    submitJob: peer.input(trustedInput<CommandMap['submitJob']['input']>()).mutation(({ input }) => toReply(() => daemon.session().propose('submitJob', input))),
    findJobs: peer.input(trustedInput<{ selector: JobSelector, most: number }>()).mutation(({ input }) => toReply(() => daemon.operations().listJobs(input.selector, input.most))),
    cancelJobs: peer.input(trustedInput<{ operation: string, selector: JobSelector }>()).mutation(({ input }) => toReply(() => daemon.operations().cancelJobs(input.operation, input.selector))),

    identity: operator.input(trustedInput<object>()).mutation(() => daemon.identity()),
    init: operator.input(trustedInput<{ members: Array<Omit<Member, 'role'>> }>()).mutation(({ input }) => toReply(async () => {
      await daemon.replica.bootstrap(input.members)
      return true
    })),
    status: operator.input(trustedInput<object>()).mutation(() => daemon.replica.status()),
    fleetStatus: operator.input(trustedInput<object>()).mutation(() => toReply(() => daemon.operations().status())),
    applyConfig: operator.input(applySchema).mutation(({ input }) => toReply(() => daemon.operations().apply(input))),
    history: operator.input(trustedInput<object>()).mutation(() => toReply(() => daemon.operations().history())),
    show: operator.input(trustedInput<object>()).mutation(() => toReply(() => daemon.operations().show())),
    waves: operator.input(trustedInput<object>()).mutation(() => toReply(() => daemon.operations().waves())),
    planWave: operator.input(trustedInput<WaveSelector>()).mutation(({ input }) => toReply(() => daemon.operations().planWave(input))),
    startWave: operator.input(trustedInput<{ operation: string, selector: WaveSelector }>()).mutation(({ input }) => toReply(() => daemon.operations().startWave(input.operation, input.selector))),
    setWave: operator.input(trustedInput<{ wave: string, state: 'running' | 'paused' | 'aborted' }>()).mutation(({ input }) => toReply(() => daemon.operations().setWave(input.wave, input.state))),
    moveVm: operator.input(trustedInput<{ vm: string, toPool: string }>()).mutation(({ input }) => toReply(() => daemon.operations().moveVm(input.vm, input.toPool))),
    explain: operator.input(trustedInput<{ kind: ExplainKind, name: string }>()).mutation(({ input }) => toReply(() => daemon.explain(input.kind, input.name))),
    jobs: operator.input(trustedInput<{ selector: JobSelector, most: number }>()).mutation(({ input }) => toReply(() => daemon.operations().listJobs(input.selector, input.most))),
    stopJobs: operator.input(trustedInput<{ operation: string, selector: JobSelector }>()).mutation(({ input }) => toReply(() => daemon.operations().cancelJobs(input.operation, input.selector))),
    addMember: operator.input(trustedInput<{ member: Omit<Member, 'role'>, replaces: string | null }>()).mutation(({ input }) => toReply(() => daemon.operations().addMember(input.member, input.replaces))),
    removeMember: operator.input(trustedInput<{ id: string }>()).mutation(({ input }) => toReply(async () => {
      daemon.session()
      await daemon.replica.removeMember(input.id)
      return true
    }))
  })
  return { router, createCaller: t.createCallerFactory(router) }
}

/** Type of the router, for clients. */
export type ControlRouter = ReturnType<typeof createControlRouter>['router']
