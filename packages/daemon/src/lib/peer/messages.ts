/**
 * Messages between daemons, encoded as CBOR in frames with a length prefix.
 */
import { z } from 'zod'
import { configurationHeadSchema, JobState } from '@vanillathread/model'
import { MemberPhase } from '@vanillathread/policy'

/** Kinds of {@link PeerMessage}. @public */
export enum PeerMessageKind {
  Heartbeat = 'heartbeat',
  HeartbeatAck = 'heartbeat-ack',
  CreditReports = 'credit-reports',
  CreditGrants = 'credit-grants',
  ObjectRequest = 'object-request',
  Objects = 'objects',
  VmStates = 'vm-states',
  Demand = 'demand',
  Hello = 'hello',
  ShardBeat = 'shard-beat',
  ShardBeatAck = 'shard-beat-ack',
  ShardReleased = 'shard-released',
  JobHint = 'job-hint',
  CancelHint = 'cancel-hint',
  JobQuery = 'job-query',
  JobAnswer = 'job-answer',
  WriteRequest = 'write-request',
  WriteAnswer = 'write-answer',
}

const count = z.int().min(0)

/** Schema of a member record, as gossiped and as stored in the table. */
export const memberRecordSchema = z.strictObject({
  daemonId: z.string(),
  incarnation: count,
  beat: count,
  region: z.string(),
  zone: z.string(),
  peer: z.strictObject({ host: z.string(), port: count }),
  version: count,
  phase: z.enum(MemberPhase),
})

/** Daemon, incarnation, heartbeat counter and configuration version. */
const pulseSchema = z.tuple([z.string(), count, count, count])

/** Pairs of endpoint id and number of slots. */
const slotCountsSchema = z.array(z.tuple([z.string(), count]))

const creditReportSchema = z.strictObject({
  service: z.string(),
  zone: z.string(),
  demand: count,
  ackSeq: count,
  held: slotCountsSchema,
})

const creditGrantSchema = z.strictObject({
  service: z.string(),
  seq: count,
  limits: slotCountsSchema,
})

const addressSchema = z.strictObject({ host: z.string(), port: count })

/** What became of a write that another daemon was asked for. @public */
export enum WriteOutcome {
  Stored = 'stored',
  /** The row was there already. */
  Exists = 'exists',
  /** Nothing was done. */
  NotDone = 'not-done',
  /** The store did not answer. */
  Unknown = 'unknown',
  /** There is no such job to cancel. */
  Absent = 'absent',
}

/** Messages about jobs and the owners of shards. */
const jobMessageSchemas = [
  z.strictObject({ kind: z.literal(PeerMessageKind.Hello), name: z.string(), address: addressSchema, speed: z.number() }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.ShardBeat),
    shard: z.string(),
    owner: z.string(),
    address: addressSchema,
    fencingToken: count,
    /** Time since the store last answered the owner. */
    storeSilentMs: z.number(),
  }),
  z.strictObject({ kind: z.literal(PeerMessageKind.ShardBeatAck), name: z.string(), shard: z.string(), fencingToken: count, storeSilentMs: z.number() }),
  z.strictObject({ kind: z.literal(PeerMessageKind.ShardReleased), shard: z.string(), fencingToken: count }),
  z.strictObject({ kind: z.literal(PeerMessageKind.JobHint), shard: z.string(), row: z.instanceof(Uint8Array), version: count }),
  z.strictObject({ kind: z.literal(PeerMessageKind.CancelHint), shard: z.string(), job: z.string() }),
  z.strictObject({ kind: z.literal(PeerMessageKind.JobQuery), shard: z.string(), seq: count, job: z.string().optional(), queue: z.string().optional() }),
  z.strictObject({ kind: z.literal(PeerMessageKind.JobAnswer), seq: count, state: z.enum(JobState).optional(), pending: count.optional() }),
  z.strictObject({ kind: z.literal(PeerMessageKind.WriteRequest), seq: count, job: z.instanceof(Uint8Array).optional(), cancel: z.string().optional() }),
  z.strictObject({ kind: z.literal(PeerMessageKind.WriteAnswer), seq: count, outcome: z.enum(WriteOutcome), version: count.optional() }),
] as const

/** Schema of every message. @public */
export const peerMessageSchema = z.discriminatedUnion('kind', [
  ...jobMessageSchemas,
  z.strictObject({
    kind: z.literal(PeerMessageKind.Heartbeat),
    seq: count,
    records: z.array(memberRecordSchema),
    pulses: z.array(pulseSchema),
    head: configurationHeadSchema.optional(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.HeartbeatAck),
    seq: count,
    records: z.array(memberRecordSchema),
    pulses: z.array(pulseSchema),
    head: configurationHeadSchema.optional(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.CreditReports),
    /** Daemon and incarnation of the holder. */
    holder: z.string(),
    reportId: count,
    /** Reports that have changed since the lender confirmed them. */
    reports: z.array(creditReportSchema),
    /** Digest of the services whose confirmed report still holds; absent where they are not renewed. */
    unchanged: z.string().optional(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.CreditGrants),
    /** Daemon and incarnation of the lender. */
    lender: z.string(),
    /** Report that the grants answer and renew, or 0 for grants sent by the lender itself. */
    reportId: count,
    /** Reported services that the sender does not lend. */
    declined: z.array(z.string()),
    /** True where the services left out of the report are known and renewed. */
    unchangedKnown: z.boolean(),
    grants: z.array(creditGrantSchema),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.ObjectRequest),
    digests: z.array(z.string()),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.Objects),
    objects: z.array(z.strictObject({ digest: z.string(), bytes: z.instanceof(Uint8Array) })),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.VmStates),
    /** Time of the fleet list that the states are from. */
    asOfMs: z.number(),
    /** VMs that are leaving; every other VM is not. */
    leaving: z.array(z.string()),
    /** Declared VMs that the list lacks. */
    gone: z.array(z.string()),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.Demand),
    /** Slots wanted by all daemons, for the services whose slots the sender lends. */
    services: z.array(z.strictObject({ service: z.string(), slots: count })),
  }),
])

/** A message between daemons. @public */
export type PeerMessage = z.infer<typeof peerMessageSchema>

/** The message of one kind. @public */
export type PeerMessageOf<K extends PeerMessageKind> = Extract<PeerMessage, { kind: K }>
