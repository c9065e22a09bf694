/** Claims: the one permission to run a request that may not be repeated, kept for as long as its key is valid. */
import { KEY_RETENTION_MS, MAX_KEY_CLOCK_SKEW_MS } from '../../contracts/constants.js'
import type { CommandHandlers, ClaimResult } from '../../state/commands.js'
import type { Claim, FleetData } from '../../state/types.js'

/** Most bytes of answers kept for resends, over all claims. */
const MAX_STORED_ANSWER_BYTES = 8 * 1024 * 1024

/** Handlers of commands about claims. */
export const claimHandlers: Pick<CommandHandlers, 'claim' | 'settle'> = {
  claim: (data, { service, key, created, request, entry }) => {
    dropExpired(data)
    if (created < data.now - KEY_RETENTION_MS) return { status: 'expired' }
    const id = claimId(service, key)
    const known = data.claims.get(id)
    if (known !== undefined) return resultOf(known, request)
    data.claims.set(id, { request, entry, claimedAt: data.now, state: 'running', answer: null })
    return { status: 'granted' }
  },

  settle: (data, { settlements }) => {
    let settled = 0
    for (const { service, key, request, outcome, answer } of settlements) {
      const id = claimId(service, key)
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
    dropSurplusAnswers(data)
    return settled
  }
}

function claimId (service: string, key: string): string {
  return `${service}/${key}`
}

function resultOf (claim: Claim, request: string): ClaimResult {
  if (claim.state === 'running') return claim.request === request ? { status: 'granted' } : { status: 'running', entry: claim.entry }
  if (claim.state === 'unknown') return { status: 'unknown', reason: 'an earlier request with this key may have run' }
  if (claim.answer === null) return { status: 'unknown', reason: 'an earlier request with this key ran; its answer is no longer stored' }
  return { status: 'answered', answer: claim.answer }
}

/** Drops claims so old that any resend of their key is refused by its age. */
function dropExpired (data: FleetData): void {
  const limit = data.now - KEY_RETENTION_MS - MAX_KEY_CLOCK_SKEW_MS
  for (const [id, claim] of data.claims) {
    if (claim.claimedAt >= limit) return
    data.claims.delete(id)
    data.storedAnswerBytes -= claim.answer?.body.length ?? 0
  }
}

function dropSurplusAnswers (data: FleetData): void {
  if (data.storedAnswerBytes <= MAX_STORED_ANSWER_BYTES) return
  for (const claim of data.claims.values()) {
    if (data.storedAnswerBytes <= MAX_STORED_ANSWER_BYTES / 2) return
    data.storedAnswerBytes -= claim.answer?.body.length ?? 0
    claim.answer = null
  }
}
