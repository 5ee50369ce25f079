/**
 * Encoding of answers to claimed requests in the object store, so that a resent request gets the same answer.
 */
import { Encoder } from 'cbor-x'
import { z } from 'zod'
import type { Answer } from '../request/ServiceRequest.js'

/** Format number of a stored answer. An answer in another format is ignored. */
const STORED_FORMAT = 1
const MAX_STORED_BODY_BYTES = 64 * 1024

const codec = new Encoder({ useRecords: false, mapsAsObjects: true })

const storedAnswerSchema = z.strictObject({
  format: z.literal(STORED_FORMAT),
  status: z.int(),
  headers: z.record(z.string(), z.union([z.string(), z.array(z.string())])),
  body: z.instanceof(Uint8Array),
})

/** Encodes an answer. Returns undefined if it is streamed or too large to be stored. */
export function encodeAnswer (answer: Answer): Uint8Array | undefined {
  const { status, headers, body } = answer
  if (!Buffer.isBuffer(body) || body.length > MAX_STORED_BODY_BYTES) return undefined
  return codec.encode({ format: STORED_FORMAT, status, headers, body: Uint8Array.from(body) })
}

/** Decodes a stored answer. Returns undefined if it has another format. */
export function decodeAnswer (bytes: Uint8Array): Answer | undefined {
  const res = storedAnswerSchema.safeParse(codec.decode(bytes))
  if (!res.success) return undefined
  const { status, headers, body } = res.data
  return { status, headers, body: Buffer.from(body) }
}
