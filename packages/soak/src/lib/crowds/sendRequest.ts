/**
 * Requests of ordinary callers, which the tests send beside and after a crowd.
 */
import { request } from 'node:http'
import { setTimeout as sleep } from 'node:timers/promises'
import type { Address } from '@vanillathread/model'

/** A request. */
export interface OrdinaryRequest {
  readonly method: string
  readonly path: string
  /** Value of the `Host` header. */
  readonly host: string
  readonly body?: string
  /** Status for which the caller does not try again. */
  readonly expectedStatus: number
}

/** Attempts, time limit of each, and pause between them: those of the users' clients. */
const ATTEMPTS = 5
const ANSWER_LIMIT_MS = 3_000
const PAUSE_MS = 600

/** Sends a request until it gets the expected status. Returns the status of the last attempt, or undefined if that was not answered. */
export async function sendRequest (address: Address, req: OrdinaryRequest): Promise<number | undefined> {
  for (let attempt = 1; ; attempt++) {
    const status = await sendOnce(address, req)
    if (status === req.expectedStatus || attempt === ATTEMPTS) return status
    await sleep(PAUSE_MS)
  }
}

/** Sends a request on a new connection. Returns the status of the answer, or undefined if there is none in time. */
export function sendOnce (address: Address, { method, path, host, body }: OrdinaryRequest): Promise<number | undefined> {
  return new Promise((resolve) => {
    const req = request({ ...address, method, path, agent: false, headers: { host }, signal: AbortSignal.timeout(ANSWER_LIMIT_MS) }, (res) => {
      res.resume()
      res.once('end', () => resolve(res.statusCode))
      res.once('error', () => resolve(undefined))
    })
    req.once('error', () => resolve(undefined))
    req.end(body)
  })
}
