/**
 * Rows of the platform's store that hold what must last.
 */
import { Encoder } from 'cbor-x'
import { z } from 'zod'
import type { AcceptedJob, VmEntry } from '@vanillathread/model'
import type { JobProgress } from '@vanillathread/policy'

/** Tables. Rows of one shard share its name as their part. */
export enum Table {
  /** Who owns a shard. Written by take-overs and releases only, so that a row's version is a fencing token. */
  Shards = 'shards',
  /** Proofs that an owner still reaches the store. */
  Beats = 'beats',
  /** Jobs as accepted, and cancels. */
  Jobs = 'jobs',
  Progress = 'progress',
  /** VMs that may hold runs of a shard. */
  Rosters = 'rosters',
  Members = 'members',
  /** How far maintenance waves have got. */
  Waves = 'waves',
}

/** Prefixes of keys in {@link Table.Jobs}. */
export const JOB_PREFIX = 'j/'
export const CANCEL_PREFIX = 'c/'

const codec = new Encoder({ useRecords: false, mapsAsObjects: true })

const ownerRowSchema = z.object({
  owner: z.string(),
  host: z.string(),
  port: z.number(),
  /** Number of take-overs before this one. */
  generation: z.number(),
})

/** Owner of a shard; the empty name stands for none. */
export type OwnerRow = z.infer<typeof ownerRowSchema>

const memberRowSchema = z.object({ host: z.string(), port: z.number(), speed: z.number() })

/** A daemon's address, and its share of a core times the core's speed. */
export type MemberRow = z.infer<typeof memberRowSchema>

/** Encodes a row's value. */
export function encodeRow (value: OwnerRow | MemberRow | AcceptedJob | JobProgress | VmEntry | WaveRow | { readonly atMs: number }): Uint8Array<ArrayBuffer> {
  return new Uint8Array(codec.encode(value))
}

/** Decodes the row of a shard's owner. */
export function decodeOwnerRow (bytes: Uint8Array): OwnerRow | undefined {
  return ownerRowSchema.safeParse(decode(bytes)).data
}

/** Decodes an owner's proof that it reaches the store: the store's clock at the write. */
export function decodeBeatRow (bytes: Uint8Array): number | undefined {
  const row = decode(bytes) as { readonly atMs?: unknown } | undefined
  return typeof row?.atMs === 'number' ? row.atMs : undefined
}

/** Decodes the row of a daemon. */
export function decodeMemberRow (bytes: Uint8Array): MemberRow | undefined {
  return memberRowSchema.safeParse(decode(bytes)).data
}

/** Decodes a job. Only daemons write these rows, after checking what the client sent. */
export function decodeJobRow (bytes: Uint8Array): AcceptedJob | undefined {
  const job = decode(bytes) as AcceptedJob | undefined
  return typeof job?.id === 'string' && Array.isArray(job.spec?.steps) ? job : undefined
}

/** Decodes a job's progress. */
export function decodeProgressRow (bytes: Uint8Array): JobProgress | undefined {
  const progress = decode(bytes) as JobProgress | undefined
  return typeof progress?.state === 'string' && Array.isArray(progress.occurrences) ? progress : undefined
}

/** Decodes a VM of a roster. */
export function decodeRosterRow (bytes: Uint8Array): VmEntry | undefined {
  const entry = decode(bytes) as VmEntry | undefined
  return typeof entry?.id === 'string' && typeof entry.pool === 'string' ? entry : undefined
}

/** Progress of a maintenance wave. */
export interface WaveRow {
  /** Machines whose maintenance was or may have been ordered, each with the VM that was on it and that VM's birth. */
  readonly ordered: ReadonlyArray<readonly [machine: string, vmId: string, bornMs: number]>
  /** Machines whose maintenance has surely begun, or that are gone. */
  readonly begun: readonly string[]
  /** Store clock at which the wave was first seen. */
  readonly seenAtMs: number
}

/** Decodes a wave's progress. */
export function decodeWaveRow (bytes: Uint8Array): WaveRow | undefined {
  const row = decode(bytes) as WaveRow | undefined
  return Array.isArray(row?.ordered) && Array.isArray(row.begun) ? row : undefined
}

/** Bytes that are no CBOR decode to undefined; callers log such rows. */
function decode (bytes: Uint8Array): unknown {
  try {
    return codec.decode(bytes)
  } catch {
    return undefined
  }
}
