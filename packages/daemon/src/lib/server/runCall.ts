/**
 * Accounts of the calls that handle requests.
 */
import type { FastifyRequest } from 'fastify'
import { ResultCode } from '@vanillathread/model'
import type { ConnectionGuard } from './ConnectionGuard.js'
import { RequestRefusal } from './RequestRefusal.js'

/** Makes a call for a request with a body of some bytes, and keeps the account of what it holds until it ends. */
export async function runCall<T> (guard: ConnectionGuard, req: FastifyRequest, bodyBytes: number, call: () => Promise<T>): Promise<T> {
  const { ledger } = guard
  const connection = guard.find(req.raw.socket)
  if (connection === undefined) throw new RequestRefusal(ResultCode.CallerGone)
  if (!ledger.canBeginCall(bodyBytes)) throw new RequestRefusal(ResultCode.Overloaded)
  const cost = ledger.beginCall(connection, bodyBytes)
  try {
    return await call()
  } finally {
    ledger.endCall(connection, cost)
  }
}
