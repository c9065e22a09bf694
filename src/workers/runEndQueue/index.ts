/** Keeps the run ends of one worker from when they are listed until they are committed and may be acknowledged. */
import type { RunEnd } from '../../batch/state/records.js'
import type { EndedRun } from '../../batch/types.js'

/** Run ends to commit. */
export interface CollectedRunEnds {
  readonly ends: readonly RunEnd[]
  /** Sequence number to acknowledge once they are committed. */
  readonly listedSeq: number
}

/** Run ends of one incarnation of a worker. */
export class RunEndQueue {
  #ends: RunEnd[] = []
  #listedSeq = 0
  #acknowledgedSeq = 0
  #receivedSeq = 0

  /** Highest sequence number up to which run ends are committed. */
  get acknowledgedSeq (): number {
    return this.#acknowledgedSeq
  }

  /**
   * Sequence number to send with the next poll; 0 once the worker has received the last one. The numbers begin anew with each incarnation, so that
   * the next one would forget ends by a number that is sent again.
   */
  get seqToSend (): number {
    return this.#acknowledgedSeq > this.#receivedSeq ? this.#acknowledgedSeq : 0
  }

  /** @param seq - sequence number that the worker has received */
  recordReceived (seq: number): void {
    this.#receivedSeq = Math.max(this.#receivedSeq, seq)
  }

  /** Whether the worker has listed run ends that are not committed yet. */
  get hasUncommitted (): boolean {
    return this.#listedSeq > this.#acknowledgedSeq
  }

  /**
   * Returns the ends that the worker has listed for the first time, and remembers the highest number.
   *
   * @param listed - the ends in an answer of the worker
   */
  takeNew (listed: readonly EndedRun[]): EndedRun[] {
    const before = this.#listedSeq
    const added = listed.filter(({ seq }) => seq > before)
    this.#listedSeq = Math.max(before, ...added.map(({ seq }) => seq))
    return added
  }

  /** @param end - an end to commit */
  add (end: RunEnd): void {
    this.#ends.push(end)
  }

  /** Removes and returns the ends to commit. */
  take (): CollectedRunEnds {
    const ends = this.#ends
    this.#ends = []
    return { ends, listedSeq: this.#listedSeq }
  }

  /** @param collected - ends that were taken and could not be committed; the next call of {@link take} returns them first */
  putBack ({ ends }: CollectedRunEnds): void {
    this.#ends.unshift(...ends)
  }

  /** @param seq - sequence number up to which run ends are committed */
  acknowledge (seq: number): void {
    this.#acknowledgedSeq = Math.max(this.#acknowledgedSeq, seq)
  }
}
