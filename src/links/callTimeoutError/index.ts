/** Thrown when a call is not answered within its timeout. */
export class CallTimeoutError extends Error {
  override readonly name = 'CallTimeoutError'

  /** @param wasSent - false when the call was still waiting for a connection, so that it was certainly not carried out */
  constructor (readonly wasSent: boolean) {
    super(wasSent ? 'the call was not answered within its timeout' : 'no connection was available within the timeout of the call')
  }
}
