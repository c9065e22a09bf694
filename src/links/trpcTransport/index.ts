/** Sends messages of the replicated log between control processes over tRPC. */
import type { Millis } from '../../clock/index.js'
import type { AppendRequest, AppendResponse, Member, PeerTransport, SnapshotChunk, SnapshotResponse, VoteRequest, VoteResponse } from '../../consensus/types.js'
import { TrpcLink, type LinkTraffic } from '../trpcLink/index.js'

const VOTE_TIMEOUT_MS = 500
const SNAPSHOT_TIMEOUT_MS = 5000

/** Sends messages over one link for each peer, created with the first message. */
export class TrpcTransport implements PeerTransport {
  readonly #links = new Map<string, TrpcLink>()
  readonly #token: string | undefined
  readonly #traffic: LinkTraffic

  /**
   * @param token - token of peers, if any
   * @param traffic - receives the numbers of bytes sent and received
   */
  constructor (token: string | undefined, traffic: LinkTraffic) {
    this.#token = token
    this.#traffic = traffic
  }

  vote (peer: Member, req: VoteRequest): Promise<VoteResponse> {
    return this.#linkTo(peer).call((calls, signal) => calls.vote.mutate(req, { signal }), VOTE_TIMEOUT_MS)
  }

  append (peer: Member, req: AppendRequest, timeoutMs: Millis): Promise<AppendResponse> {
    return this.#linkTo(peer).call((calls, signal) => calls.append.mutate(req, { signal }), timeoutMs)
  }

  snapshot (peer: Member, req: SnapshotChunk): Promise<SnapshotResponse> {
    return this.#linkTo(peer).call((calls, signal) => calls.snapshot.mutate(req, { signal }), SNAPSHOT_TIMEOUT_MS)
  }

  /** Closes all links. */
  close (): void {
    for (const link of this.#links.values()) link.close()
  }

  #linkTo (peer: Member): TrpcLink {
    let link = this.#links.get(peer.address)
    if (link === undefined) {
      link = new TrpcLink(peer.address, this.#token, { traffic: this.#traffic })
      this.#links.set(peer.address, link)
    }
    return link
  }
}
