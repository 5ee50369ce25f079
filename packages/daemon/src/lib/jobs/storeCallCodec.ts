/**
 * Encoding of a call to the store that one daemon makes for another, and of its answer.
 */
import { Encoder } from 'cbor-x'
import { z } from 'zod'
import { StoreFailureKind } from '@vanillathread/ports'

const codec = new Encoder({ useRecords: false, mapsAsObjects: true })

const bytes = z.custom<Uint8Array>((value) => value instanceof Uint8Array)
const keyFields = { table: z.string(), part: z.string(), key: z.string() }
const version = z.number()
const rowSchema = z.object({ ...keyFields, value: bytes, version, removed: z.boolean() })

const storeCallSchema = z.union([
  z.object({
    transact: z.object({
      conditions: z.array(z.object({ ...keyFields, version })), puts: z.array(z.object({ ...keyFields, value: bytes })), removes: z.array(z.object(keyFields)),
    })
  }),
  z.object({
    range: z.object({
      table: z.string(), part: z.string(), from: z.string().optional(), to: z.string().optional(), limit: z.number().optional(), bulk: z.boolean().optional(),
    })
  }),
  z.object({ feed: z.object({ table: z.string(), afterVersion: version }) }),
])

/** A call: a transaction, a read of a range, or a read of a feed that does not wait. */
export type StoreCall = z.infer<typeof storeCallSchema>

const storeAnswerSchema = z.object({
  outcome: z.union([
    z.object({ commit: z.object({ version }) }),
    z.object({ page: z.object({ rows: z.array(rowSchema), version, hasMore: z.boolean() }) }),
    z.object({ conflict: z.array(rowSchema) }),
    z.object({
      failure: z.enum([StoreFailureKind.NotDone, StoreFailureKind.Unknown, StoreFailureKind.HistoryGone]), reason: z.string(), busy: z.boolean().optional(), unanswered: z.boolean().optional(),
    }),
  ]),
  /** The store's clock, read after the relay got the call and before it answered. */
  clockMs: z.number().optional(),
})

/** An answer: the outcome as the store gave it to the relay. */
export type StoreAnswer = z.infer<typeof storeAnswerSchema>

export function encodeStoreCall (call: StoreCall): Uint8Array<ArrayBuffer> {
  return new Uint8Array(codec.encode(call))
}

/** Decodes a call. Returns undefined for other bytes. */
export function decodeStoreCall (encoded: Uint8Array): StoreCall | undefined {
  return storeCallSchema.safeParse(decode(encoded)).data
}

export function encodeStoreAnswer (answer: StoreAnswer): Uint8Array<ArrayBuffer> {
  return new Uint8Array(codec.encode(answer))
}

/** Decodes an answer. Returns undefined for other bytes. */
export function decodeStoreAnswer (encoded: Uint8Array): StoreAnswer | undefined {
  return storeAnswerSchema.safeParse(decode(encoded)).data
}

function decode (encoded: Uint8Array): unknown {
  try {
    return codec.decode(encoded)
  } catch {
    return undefined
  }
}
