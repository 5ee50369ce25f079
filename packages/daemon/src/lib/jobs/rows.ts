/**
 * Rows of the platform's store that hold the daemons' persistent state. The decoders return undefined for invalid rows.
 */
import { Encoder } from 'cbor-x'
import { z } from 'zod'
import { isUsableAddress, STEP_DEFAULTS, type AcceptedJob, type StepSpec, type VmEntry } from '@vanillathread/model'
import type { JobProgress, RosterRecord, TurnHistory } from '@vanillathread/policy'

/** Tables. The rows of a shard have the shard's name as their part. */
export enum Table {
  /** Owners of shards. Written only by takeovers and releases, so that a row's version is a fencing token. */
  Shards = 'shards',
  /** Store heartbeats, which prove that an owner still reaches the store. */
  StoreHeartbeats = 'beats',
  /** Accepted jobs, tombstones of jobs that were cancelled before they were stored, and cancellations. */
  Jobs = 'jobs',
  /** Progress of jobs, written only by the owner. */
  Progress = 'progress',
  /** VMs that may hold runs of a shard. */
  Rosters = 'rosters',
  /** Addresses and speeds of the daemons. */
  Members = 'members',
  /** Progress of maintenance waves. */
  Waves = 'waves',
  /** Machines whose move was ordered or may have been ordered, until the move has ended. */
  Moves = 'moves',
  /** History of turns, one row for each shard, from which the owner forecasts demand. */
  Turns = 'turns',
}

/** Prefixes of keys in {@link Table.Jobs}: of jobs and tombstones, and of cancellations. */
export const JOB_PREFIX = 'j/'
export const CANCEL_PREFIX = 'c/'

/** A socket cannot be opened for a higher port: the attempt throws. */
const MAX_PORT = 65_535

const codec = new Encoder({ useRecords: false, mapsAsObjects: true })

/** Fewest bytes that a step of a job takes in the job's row. */
export const MIN_STEP_BYTES = codec.encode({ ...STEP_DEFAULTS, taskCount: 1, need: { cpuMillis: 0, memoryMb: 0, accelerators: 0 }, estimateMs: 0 } satisfies StepSpec).length

const ownerRowSchema = z.object({
  owner: z.string(),
  host: z.string(),
  port: z.number(),
  /** Number of takeovers before this one. */
  generation: z.number(),
  /**
   * Store version since which every owner has kept the ends of leases in the roster up to date. Builds that lack the field do not
   * keep them, and leave rows of their predecessors alone.
   */
  leaseEndsKeptSince: z.number().optional(),
  /** In a row without an owner: time on the store's clock from which every lease given before the release has certainly expired. */
  leasesEndMs: z.number().optional(),
})

/** Owner of a shard; an empty name means that the shard has no owner. */
export type OwnerRow = z.infer<typeof ownerRowSchema>

const memberRowSchema = z.object({ host: z.string(), port: z.int().min(0).max(MAX_PORT), speed: z.number() })

/** A daemon's address and speed, which is its share of a core multiplied by the core's speed. */
export type MemberRow = z.infer<typeof memberRowSchema>

/** Encodes a row's value. A cancellation holds the store's clock at the write as `atMs`, like a store heartbeat. */
export function encodeRow (value: OwnerRow | MemberRow | AcceptedJob | TombstoneRow | JobProgress | RosterRow | WaveMachineRow | MoveRow | TurnHistoryRow | StoreHeartbeatRow): Uint8Array<ArrayBuffer> {
  return new Uint8Array(codec.encode(value))
}

/** Decodes a shard's owner row. */
export function decodeOwnerRow (bytes: Uint8Array): OwnerRow | undefined {
  return ownerRowSchema.safeParse(decode(bytes)).data
}

/** An owner's store heartbeat. */
export interface StoreHeartbeatRow {
  /** The store's clock at the write. */
  readonly atMs: number
  /** Store version at which the owner last read the rows of all daemons; builds that ask no other daemon for proofs lack it. */
  readonly membersAtVersion?: number
}

/** Decodes an owner's store heartbeat. */
export function decodeStoreHeartbeatRow (bytes: Uint8Array): StoreHeartbeatRow | undefined {
  const row = decode(bytes) as StoreHeartbeatRow | undefined
  return typeof row?.atMs === 'number' ? row : undefined
}

/** Decodes a daemon's row. */
export function decodeMemberRow (bytes: Uint8Array): MemberRow | undefined {
  return memberRowSchema.safeParse(decode(bytes)).data
}

/** Decodes a job. Only daemons write these rows, after validating the client's request. */
export function decodeJobRow (bytes: Uint8Array): AcceptedJob | undefined {
  const job = decode(bytes) as AcceptedJob | undefined
  return typeof job?.id === 'string' && Array.isArray(job.spec?.steps) ? job : undefined
}

/** Decodes a job's progress. */
export function decodeProgressRow (bytes: Uint8Array): JobProgress | undefined {
  const progress = decode(bytes) as JobProgress | undefined
  return typeof progress?.state === 'string' && Array.isArray(progress.occurrences) ? progress : undefined
}

/**
 * Tombstone, in place of the row of a job that was cancelled while the store had none. A write whose outcome is unknown may be carried out
 * seconds later, also after its daemon has ended; the row keeps it from being carried out, as it requires that there is none.
 */
export interface TombstoneRow {
  /** The store's clock at the write. */
  readonly cancelledAtMs: number
  /** Teams whose job of this id is cancelled; {@link NO_TEAM} stands for a job without a team. Jobs of other teams may replace the row. */
  readonly teams: readonly string[]
}

/** Stands for the absence of a team, as no team has an empty name. */
export const NO_TEAM = ''

const tombstoneRowSchema = z.object({ cancelledAtMs: z.number(), teams: z.array(z.string()) })

/** Decodes a tombstone. */
export function decodeTombstoneRow (bytes: Uint8Array): TombstoneRow | undefined {
  return tombstoneRowSchema.safeParse(decode(bytes)).data
}

/** A VM of a roster. The fields of the record stand beside those of the entry, which earlier builds read. */
export type RosterRow = VmEntry & Omit<RosterRecord, 'entry'>

/**
 * Decodes a VM of a roster. An earlier build may have written the entry of another program here. A VM with an address that no client can
 * be opened for was never called, so it has no runs and its row is invalid.
 */
export function decodeRosterRow (bytes: Uint8Array): RosterRecord | undefined {
  const row = decode(bytes) as RosterRow | undefined
  if (typeof row?.id !== 'string' || typeof row.pool !== 'string' || !isUsableAddress(row.address)) return undefined
  const { leaseEndMs, runs, ...entry } = row
  return typeof leaseEndMs === 'number' ? { entry, leaseEndMs, runs: Array.isArray(runs) ? runs : undefined } : { entry }
}

/** Progress of one machine of a maintenance wave, whose maintenance was ordered or may have been ordered. */
export interface WaveMachineRow {
  /** VM that was on the machine, or an empty string if it had none. */
  readonly vmId: string
  /** Start time of that VM's incarnation. */
  readonly bornMs: number
  /** True if the maintenance has certainly begun, or the machine no longer exists. */
  readonly begun: boolean
}

/** Decodes the progress of one machine. */
export function decodeWaveMachineRow (bytes: Uint8Array): WaveMachineRow | undefined {
  const row = decode(bytes) as WaveMachineRow | undefined
  return typeof row?.vmId === 'string' && typeof row.bornMs === 'number' ? { vmId: row.vmId, bornMs: row.bornMs, begun: row.begun === true } : undefined
}

/** Progress of a maintenance wave, as earlier builds wrote it. */
export interface WaveRow {
  /**
   * Machines whose maintenance was ordered or may have been ordered, each with the VM that was on it and the start time of
   * that VM's incarnation.
   */
  readonly ordered: ReadonlyArray<readonly [machine: string, vmId: string, bornMs: number]>
  /** Machines whose maintenance has certainly begun, and machines that no longer exist. */
  readonly begun: readonly string[]
  /** Store clock at which the wave was first seen. */
  readonly seenAtMs: number
}

/** Decodes a wave's progress. */
export function decodeWaveRow (bytes: Uint8Array): WaveRow | undefined {
  const row = decode(bytes) as WaveRow | undefined
  return Array.isArray(row?.ordered) && Array.isArray(row.begun) ? row : undefined
}

/** A move of a machine that was ordered or may have been ordered. The key of its row is the machine. */
export interface MoveRow {
  readonly toPool: string
  /** VM that was on the machine, or an empty string if it had none. */
  readonly vmId: string
  /** Start time of that VM's incarnation. */
  readonly bornMs: number
}

/** Decodes the record of a move. */
export function decodeMoveRow (bytes: Uint8Array): MoveRow | undefined {
  const row = decode(bytes) as MoveRow | undefined
  return typeof row?.toPool === 'string' && typeof row.vmId === 'string' && typeof row.bornMs === 'number' ? row : undefined
}

const turnHistorySchema = z.object({
  /** Times on the store's clock. */
  turns: z.array(z.object({ pool: z.string(), startMs: z.number().finite(), lengthMs: z.number().finite().optional(), heightCpuMillis: z.number().nonnegative().finite() })).max(100),
  followers: z.record(z.string(), z.string()),
  hits: z.number().nonnegative(),
  misses: z.number().nonnegative(),
})

/** A shard's history of turns, with times on the store's clock. */
export type TurnHistoryRow = TurnHistory

/** Decodes a shard's history of turns. */
export function decodeTurnHistoryRow (bytes: Uint8Array): TurnHistoryRow | undefined {
  const row = turnHistorySchema.safeParse(decode(bytes)).data
  return row === undefined ? undefined : { ...row, turns: row.turns.map((turn) => ({ ...turn, lengthMs: turn.lengthMs })) }
}

/** Decodes CBOR. Returns undefined for other bytes; callers log such rows. */
function decode (bytes: Uint8Array): unknown {
  try {
    return codec.decode(bytes)
  } catch {
    return undefined
  }
}
