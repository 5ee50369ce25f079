/**
 * Messages between daemons, encoded as CBOR in frames with a length prefix.
 */
import { z } from 'zod'
import { configurationHeadSchema, JobState } from '@vanillathread/model'
import { MemberPhase } from '@vanillathread/policy'

/** Kinds of {@link PeerMessage}. @public */
export enum PeerMessageKind {
  Heartbeat = 'heartbeat',
  /** Answer to a heartbeat, which also carries records and heartbeat counters. */
  HeartbeatAck = 'heartbeat-ack',
  /** Demand and use of slots, from a holder to the lender. */
  CreditReports = 'credit-reports',
  /** Slots that the lender allows a holder, sent as an answer to reports or when the lender has changed them. */
  CreditGrants = 'credit-grants',
  /** Request for parts of the configuration by their digests. */
  ObjectRequest = 'object-request',
  Objects = 'objects',
  /** VMs that are leaving or missing according to the platform's fleet list. */
  VmStates = 'vm-states',
  /** Number of slots that the holders want, for each service that the sender lends. */
  Demand = 'demand',
  /** Name, address and speed of a daemon that runs jobs. The speed is its share of a core multiplied by the core's speed. */
  Hello = 'hello',
  /** Heartbeat of a shard's owner. */
  ShardHeartbeat = 'shard-beat',
  /** Answer to a shard's heartbeat, with the latest fencing token that the sender knows and the time since the store last answered the sender on its own connections. */
  ShardHeartbeatAck = 'shard-beat-ack',
  /** Question of an owner without an answer from the store whether the receiver has taken its shard over, and the answer of one that has not. */
  ShardClaim = 'shard-claim',
  ShardClaimAck = 'shard-claim-ack',
  /** Sent by an owner that has given up its shard, also before the store has recorded that. */
  ShardReleased = 'shard-released',
  /** A job that was just stored, sent to the owner of its shard. */
  JobHint = 'job-hint',
  /** A cancellation that was just stored, sent to the owner of the job's shard. */
  CancelHint = 'cancel-hint',
  /** Query to a shard's owner: the state of a job, or the number of pending jobs of a queue. */
  JobQuery = 'job-query',
  JobAnswer = 'job-answer',
  /** Batch of calls to VMs that a daemon makes for the owner of a shard, and batch of their answers. */
  VmCalls = 'vm-calls',
  VmAnswers = 'vm-answers',
  /** Request to write a job or a cancellation to the store, from a daemon that the store answers late or not at all. */
  WriteRequest = 'write-request',
  WriteAnswer = 'write-answer',
  /** Call to the store that a daemon makes for an owner whose own connections to the store fail, and the store's answer. */
  StoreCall = 'store-call',
  StoreAnswer = 'store-answer',
}

const nonNegativeInt = z.int().min(0)

/** Schema of a member record, in heartbeats and in the daemon rows of the table. */
export const memberRecordSchema = z.strictObject({
  daemonId: z.string(),
  incarnation: nonNegativeInt,
  /** Heartbeat counter of the incarnation. */
  beat: nonNegativeInt,
  region: z.string(),
  zone: z.string(),
  peer: z.strictObject({ host: z.string(), port: nonNegativeInt }),
  /** Configuration version in force at the daemon. */
  version: nonNegativeInt,
  phase: z.enum(MemberPhase),
})

/** Daemon id, incarnation, heartbeat counter and configuration version. */
const counterSchema = z.tuple([z.string(), nonNegativeInt, nonNegativeInt, nonNegativeInt])

/** Pairs of endpoint id and number of slots. */
const slotCountsSchema = z.array(z.tuple([z.string(), nonNegativeInt]))

/** Schema of a credit report. Its fields are described at the type `CreditReport` of the package `policy`. */
const creditReportSchema = z.strictObject({
  service: z.string(),
  zone: z.string(),
  demand: nonNegativeInt,
  ackSeq: nonNegativeInt,
  held: slotCountsSchema,
})

/** Schema of a credit grant. Its fields are described at the type `CreditGrant` of the package `policy`. */
const creditGrantSchema = z.strictObject({
  service: z.string(),
  seq: nonNegativeInt,
  limits: slotCountsSchema,
})

const addressSchema = z.strictObject({ host: z.string(), port: nonNegativeInt })

/** Outcome of a write to the store, which another daemon may have done for this one. @public */
export enum WriteOutcome {
  Stored = 'stored',
  /** The row exists already. */
  Exists = 'exists',
  /** Nothing was written. */
  NotDone = 'not-done',
  /** The write may or may not have taken effect. */
  Unknown = 'unknown',
  /** The job to cancel does not exist. */
  Absent = 'absent',
  /** The job was cancelled before it was written, so it is never written. */
  Cancelled = 'cancelled',
}

/** Schemas of the messages about jobs and the owners of shards. */
const jobMessageSchemas = [
  z.strictObject({ kind: z.literal(PeerMessageKind.Hello), name: z.string(), address: addressSchema, speed: z.number() }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.ShardHeartbeat),
    shard: z.string(),
    owner: z.string(),
    address: addressSchema,
    fencingToken: nonNegativeInt,
    /** Time since the store last answered the owner, on its own connections or through another daemon. */
    storeSilentMs: z.number(),
  }),
  z.strictObject({ kind: z.literal(PeerMessageKind.ShardHeartbeatAck), name: z.string(), shard: z.string(), fencingToken: nonNegativeInt, storeSilentMs: z.number() }),
  z.strictObject({ kind: z.literal(PeerMessageKind.ShardClaim), shard: z.string(), fencingToken: nonNegativeInt, seq: nonNegativeInt }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.ShardClaimAck),
    shard: z.string(),
    name: z.string(),
    seq: nonNegativeInt,
    /** True if the sender has run for so long that it would know of a takeover whose leases still hold. */
    remembers: z.boolean(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.ShardReleased),
    shard: z.string(),
    fencingToken: nonNegativeInt,
    successor: z.string().optional(),
    /** Generation of the owner that gave the shard up, and the time until all leases given until then have expired. */
    generation: nonNegativeInt.optional(),
    leasesLeftMs: nonNegativeInt.optional(),
  }),
  z.strictObject({ kind: z.literal(PeerMessageKind.JobHint), shard: z.string(), row: z.instanceof(Uint8Array), version: nonNegativeInt }),
  z.strictObject({ kind: z.literal(PeerMessageKind.CancelHint), shard: z.string(), job: z.string() }),
  z.strictObject({ kind: z.literal(PeerMessageKind.JobQuery), shard: z.string(), seq: nonNegativeInt, job: z.string().optional(), queue: z.string().optional() }),
  z.strictObject({ kind: z.literal(PeerMessageKind.JobAnswer), seq: nonNegativeInt, state: z.enum(JobState).optional(), pending: nonNegativeInt.optional() }),
  z.strictObject({ kind: z.literal(PeerMessageKind.WriteRequest), seq: nonNegativeInt, job: z.instanceof(Uint8Array).optional(), cancel: z.string().optional(), team: z.string().optional(), untilMs: nonNegativeInt.optional() }),
  z.strictObject({ kind: z.literal(PeerMessageKind.VmCalls), owner: z.string(), batch: z.instanceof(Uint8Array) }),
  z.strictObject({ kind: z.literal(PeerMessageKind.VmAnswers), owner: z.string(), batch: z.instanceof(Uint8Array) }),
  z.strictObject({ kind: z.literal(PeerMessageKind.StoreCall), seq: nonNegativeInt, call: z.instanceof(Uint8Array) }),
  z.strictObject({ kind: z.literal(PeerMessageKind.StoreAnswer), seq: nonNegativeInt, answer: z.instanceof(Uint8Array) }),
  z.strictObject({ kind: z.literal(PeerMessageKind.WriteAnswer), seq: nonNegativeInt, outcome: z.enum(WriteOutcome), version: nonNegativeInt.optional() }),
] as const

/** Schema of every message. @public */
export const peerMessageSchema = z.discriminatedUnion('kind', [
  ...jobMessageSchemas,
  z.strictObject({
    kind: z.literal(PeerMessageKind.Heartbeat),
    seq: nonNegativeInt,
    /** The sender's own record first, then records that are new or have changed. */
    records: z.array(memberRecordSchema),
    /** Heartbeat counters of further daemons, without their records. */
    pulses: z.array(counterSchema),
    /** Configuration head in force at the sender. */
    head: configurationHeadSchema.optional(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.HeartbeatAck),
    /** Sequence number of the heartbeat that this message answers. */
    seq: nonNegativeInt,
    records: z.array(memberRecordSchema),
    pulses: z.array(counterSchema),
    head: configurationHeadSchema.optional(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.CreditReports),
    /** Daemon and incarnation of the holder. */
    holder: z.string(),
    reportId: nonNegativeInt,
    /** Reports that have changed since the lender confirmed them. */
    reports: z.array(creditReportSchema),
    /** Digest of the services left out because their confirmed report still holds. Absent if the message does not renew them. */
    unchanged: z.string().optional(),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.CreditGrants),
    /** Daemon and incarnation of the lender. */
    lender: z.string(),
    /** Id of the report message that this one answers, or 0 if it answers none. */
    reportId: nonNegativeInt,
    /** Reported services that the sender does not lend. */
    declined: z.array(z.string()),
    /** True if the lender knows the services that were left out of the reports, and has renewed them. */
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
    /** Wall-clock time of the fleet list that the states come from. */
    asOfMs: z.number(),
    /** All VMs that are leaving. */
    leaving: z.array(z.string()),
    /** Declared VMs that are missing from the list. */
    gone: z.array(z.string()),
  }),
  z.strictObject({
    kind: z.literal(PeerMessageKind.Demand),
    /** Sum of the slots that all daemons want, for each service that the sender lends. */
    services: z.array(z.strictObject({ service: z.string(), slots: nonNegativeInt })),
  }),
])

/** A message between daemons. @public */
export type PeerMessage = z.infer<typeof peerMessageSchema>

/** The message of one kind. @public */
export type PeerMessageOf<K extends PeerMessageKind> = Extract<PeerMessage, { kind: K }>
