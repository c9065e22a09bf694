/** Names of HTTP headers in the interfaces for callers and endpoints. */

/** Team of the caller. */
export const TEAM_HEADER = 'oleanderward-team'
/** Class of the work: urgent, normal or bulk. */
export const CLASS_HEADER = 'oleanderward-class'
/** Time left to answer the request, in milliseconds. */
export const DEADLINE_HEADER = 'oleanderward-deadline-ms'
/** Idempotency key, which all resends of one request share. */
export const KEY_HEADER = 'idempotency-key'
/** When the idempotency key was created, in milliseconds since the Unix epoch. */
export const KEY_CREATED_HEADER = 'idempotency-key-created'
/** Outcome of the request: `answered`, `notRun` or `unknown`. */
export const OUTCOME_HEADER = 'oleanderward-outcome'
/** Number of attempts, including those that reached no endpoint. */
export const ATTEMPTS_HEADER = 'oleanderward-attempts'
/** Identity of the request, for logs. */
export const REQUEST_ID_HEADER = 'oleanderward-request-id'
/** Identity of one attempt, which the endpoint echoes. */
export const ATTEMPT_HEADER = 'oleanderward-attempt-id'
/** Service that the request is for. */
export const SERVICE_HEADER = 'oleanderward-service'
/** Set by an endpoint that rejects a request without having started it. */
export const REFUSED_HEADER = 'oleanderward-refused'
