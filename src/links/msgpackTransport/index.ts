/** Sends messages of the replicated log between control processes as MessagePack. */
import type { Millis } from '../../clock/index.js'
import type { AppendRequest, AppendResponse, Member, PeerTransport, SnapshotChunk, SnapshotResponse, VoteRequest, VoteResponse } from '../../consensus/types.js'
import type { MsgpackLinks } from '../msgpackLink/index.js'

const VOTE_TIMEOUT_MS = 500
const SNAPSHOT_TIMEOUT_MS = 5000

/** Sends messages over shared links. */
export class MsgpackTransport implements PeerTransport {
  readonly #links: MsgpackLinks

  /** @param links - links that other calls between processes share */
  constructor (links: MsgpackLinks) {
    this.#links = links
  }

  vote (peer: Member, req: VoteRequest): Promise<VoteResponse> {
    return this.#links.to(peer.address).call('vote', req, VOTE_TIMEOUT_MS)
  }

  append (peer: Member, req: AppendRequest, timeoutMs: Millis): Promise<AppendResponse> {
    return this.#links.to(peer.address).call('append', req, timeoutMs)
  }

  snapshot (peer: Member, req: SnapshotChunk): Promise<SnapshotResponse> {
    return this.#links.to(peer.address).call('snapshot', req, SNAPSHOT_TIMEOUT_MS)
  }
}
