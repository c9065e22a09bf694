/**
 * Handlers of claims. A claim permits one run of a non-repeatable request and is kept for as long as its idempotency
 * key is valid.
 */
import { KEY_RETENTION_MS, MAX_KEY_CLOCK_SKEW_MS } from '../../contracts/constants.js'
import type { CommandHandlers, ClaimResult } from '../../state/commands.js'
import type { Claim, FleetData } from '../../state/types.js'

/** Upper bound on the answers stored for resends, over all claims, in bytes of base64. */
const MAX_TOTAL_ANSWER_BYTES = 8 * 1024 * 1024

/** Handlers of the commands about claims, by command type. */
export const claimHandlers: Pick<CommandHandlers, 'claim' | 'settle'> = {
  claim: (data, { service, key, created, request, entry }) => {
    evictExpiredClaims(data)
    if (created < data.now - KEY_RETENTION_MS) return { status: 'expired' }
    const id = createClaimId(service, key)
    const existing = data.claims.get(id)
    if (existing !== undefined) return toClaimResult(existing, request)
    data.claims.set(id, { request, entry, claimedAt: data.now, state: 'running', answer: null })
    return { status: 'granted' }
  },

  settle: (data, { settlements }) => {
    let settled = 0
    for (const { service, key, request, outcome, answer } of settlements) {
      const id = createClaimId(service, key)
      const claim = data.claims.get(id)
      if (claim?.request !== request || claim.state !== 'running') continue
      settled += 1
      if (outcome === 'notRun') {
        data.claims.delete(id)
        continue
      }
      claim.state = outcome
      claim.answer = answer
      data.storedAnswerBytes += answer?.body.length ?? 0
    }
    evictSurplusAnswers(data)
    return settled
  }
}

function createClaimId (service: string, key: string): string {
  return `${service}/${key}`
}

function toClaimResult (claim: Claim, request: string): ClaimResult {
  if (claim.state === 'running') return claim.request === request ? { status: 'granted' } : { status: 'running', entry: claim.entry }
  if (claim.state === 'unknown') return { status: 'unknown', reason: 'an earlier request with this key may have run' }
  if (claim.answer === null) return { status: 'unknown', reason: 'an earlier request with this key ran; its answer is no longer stored' }
  return { status: 'answered', answer: claim.answer }
}

/**
 * Evicts claims whose key has expired: every resend with it is rejected because of the key's age. Claims are stored
 * oldest first.
 */
function evictExpiredClaims (data: FleetData): void {
  const evictBefore = data.now - KEY_RETENTION_MS - MAX_KEY_CLOCK_SKEW_MS
  for (const [id, claim] of data.claims) {
    if (claim.claimedAt >= evictBefore) return
    data.claims.delete(id)
    data.storedAnswerBytes -= claim.answer?.body.length ?? 0
  }
}

/** Clears the oldest stored answers, down to half of their limit, once they exceed it. */
function evictSurplusAnswers (data: FleetData): void {
  if (data.storedAnswerBytes <= MAX_TOTAL_ANSWER_BYTES) return
  for (const claim of data.claims.values()) {
    if (data.storedAnswerBytes <= MAX_TOTAL_ANSWER_BYTES / 2) return
    data.storedAnswerBytes -= claim.answer?.body.length ?? 0
    claim.answer = null
  }
}
