import { expect } from 'chai'
import type { Server } from 'node:http'
import type { AddressInfo } from 'node:net'
import { initTRPC } from '@trpc/server'
import { request } from 'undici'
import { Metrics } from '../../metrics/index.js'
import { ClientLimits, PRODUCT_LIMITS } from '../clientLimits/index.js'
import { TokenGuard } from '../tokens/index.js'
import { createRpcHandler, type BoundProcedures } from './index.js'

const TOKENS = { peer: 'the token of all peers', operator: 'the token of operators' }

describe('createRpcHandler and TokenGuard', () => {
  let server: Server
  let url: string

  before(async () => {
    const t = initTRPC.context<{ isPeer: boolean }>().create()
    const router = t.router({ echo: t.procedure.input((input) => input).mutation(({ input, ctx }) => ({ input, isPeer: ctx.isPeer })) })
    const createCaller = t.createCallerFactory(router)
    const guard = new TokenGuard(TOKENS)
    const limits = new ClientLimits({ ...PRODUCT_LIMITS, maxBodyBytes: 1000 }, new Metrics())
    const handle = createRpcHandler({ basePath: '/trpc/', readBody: (req) => limits.readBody(req), procedureNames: new Set(['echo']), bindProcedures: (req) => createCaller({ isPeer: guard.allows(req, 'peer') }) as unknown as BoundProcedures })
    server = limits.createServer(handle)
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    url = `http://127.0.0.1:${(server.address() as AddressInfo).port}/trpc`
  })

  after(() => { server.close() })

  async function call (name: string, body: string, token?: string): Promise<{ status: number, body: unknown }> {
    const res = await request(`${url}/${name}`, { method: 'POST', body, headers: token === undefined ? {} : { authorization: `Bearer ${token}` } })
    return { status: res.statusCode, body: await res.body.json() }
  }

  it('answers in the wire format of tRPC', async () => {
    expect(await call('echo', '{"a":1}', TOKENS.peer)).to.deep.equal({ status: 200, body: { result: { data: { input: { a: 1 }, isPeer: true } } } })
  })

  it('grants no role to the token of another role, to an unknown token or to a call without a token', async () => {
    for (const token of [TOKENS.operator, 'something else', undefined]) {
      expect(await call('echo', '{}', token)).to.have.nested.property('body.result.data.isPeer', false)
    }
  })

  it('rejects oversized bodies, malformed bodies and unknown procedures', async () => {
    expect((await call('echo', JSON.stringify('x'.repeat(2000)))).status).to.equal(413)
    expect((await call('echo', '{')).status).to.equal(400)
    expect((await call('constructor', '{}')).status).to.equal(404)
  })
})
