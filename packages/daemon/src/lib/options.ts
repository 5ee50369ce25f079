/**
 * Defaults of the daemon's parts.
 */

/** Options of the request path. @public */
export const requestOptions = {
  /** Attempts of one request, the first included. */
  maxAttempts: 3,
  /** Largest request body that is accepted, in bytes. */
  requestBodyLimitBytes: 4 * 1024 * 1024,
  /** Sum of request bodies held at any time, in bytes. */
  requestBodyBudgetBytes: 48 * 1024 * 1024,
  /** Answers up to this size are received whole before the caller gets the first byte. */
  answerBufferBytes: 256 * 1024,
  /** Period of the sweep that refuses queued requests whose deadline has become unreachable. */
  sweepPeriodMs: 50,
  /** Period of closing connections that have been idle for too long. */
  staleConnectionPeriodMs: 500,
  /** Requests remembered for `explain`. */
  explainedRequests: 1_000,
} as const

/** Options of the retry budget. @public */
export const retryOptions = {
  ratio: 0.1,
  reserve: 5,
  limit: 50,
} as const

/** Options of endpoint connections and health. @public */
export const endpointOptions = {
  connectTimeoutMs: 1_000,
  /** Idle time after which a connection is no longer trusted and is replaced. */
  provenForMs: 1_000,
  /** Time for which the slot of an attempt that timed out stays occupied, as the endpoint may still work. */
  abandonedHoldMs: 10_000,
  health: {
    failuresToEject: 5,
    maxEjectedShare: 0.34,
    ejectionMs: 5_000,
    maxEjectionMs: 60_000,
  },
} as const

/** Options of slot credits. @public */
export const creditOptions = {
  /** Time after which a grant that was not renewed is no longer used. */
  creditTtlMs: 8_000,
  /** Period of renewals. */
  renewPeriodMs: 2_500,
  /** Time for which a new lender waits for holders that it has not heard of yet. */
  takeOverSettleMs: 1_500,
  /** Shortest time between two reports of one service. */
  reportSpacingMs: 20,
} as const

/** Options of membership. @public */
export const membershipOptions = {
  heartbeatPeriodMs: 1_000,
  /** Peers that get each heartbeat. */
  fanout: 3,
  /** Share of the members that each heartbeat tells of. */
  pulseShare: 0.4,
  /** Fewest members that each heartbeat tells of. */
  minPulses: 8,
  /** Heartbeats that carry the head of a new configuration, whatever version the receiver has. */
  headRepeats: 6,
  /** Time for which a heartbeat counter may stand still among a few daemons. */
  silentAfterMs: 4_000,
  /** Time added with each doubling beyond a few daemons. */
  silentPerDoublingMs: 1_000,
  /** Period of the write and the read of the daemon rows in the table. */
  tablePeriodMs: 5_000,
  /** Time for which a daemon's row may stand still while the table answers. */
  rowLapseMs: 20_000,
} as const

/** Options of the links between daemons. @public */
export const peerOptions = {
  connectTimeoutMs: 1_000,
  /** Time without an acknowledgement after which a link is replaced. */
  silentAfterMs: 2_000,
  maxFrameBytes: 8 * 1024 * 1024,
} as const

/** Options of configuration. @public */
export const configurationOptions = {
  /** Period of reading the head row. */
  headPeriodMs: 2_000,
  /** Delay before a failed fetch is tried again. */
  fetchRetryMs: 500,
} as const

/** Options of watching the fleet. @public */
export const fleetOptions = {
  /** Period of reading the platform's fleet list. */
  listPeriodMs: 1_000,
  /** Daemons that read the fleet list and pass it on. */
  listReaders: 2,
  /** Time by which the list may lag behind a change that this system made itself. */
  listLagMs: 5_000,
  /** Share of the declared VMs that a list may lack; a list that lacks more is not believed. */
  plausibleLossShare: 0.5,
  /** Period of reading changed fleet rows. */
  rowPeriodMs: 1_000,
  /** Period in which a controller plans its pools. */
  planPeriodMs: 1_000,
  /** Period of reporting demand and deciding loans. */
  demandPeriodMs: 2_000,
  /** Time for which reported demand counts. */
  demandKeptMs: 7_000,
  /** Steps that a controller takes for one pool in one period. */
  stepsPerPlan: 16,
  /** Time within which every daemon has learned that a VM is draining. */
  noticeMs: 3_000,
  /** Time for which a controller trusts that it still holds a lease, once it has read it. */
  fenceMs: 2_000,
  /** Time for which a lease stays with a daemon that is no longer the first choice for it. */
  handOverAfterMs: 30_000,
} as const

/** Options of claims. @public */
export const claimOptions = {
  /** Tries to write a claim whose outcome stays unknown. */
  maxAttempts: 3,
  /** Time after which a caller may ask again for a key that is undecided or cannot be claimed. */
  retryAfterMs: 1_000,
  /** Tries to record the end of a claimed request. */
  finishAttempts: 120,
  finishRetryMs: 1_000,
  /** Longest wait of a stopping daemon for ends that are not yet recorded. */
  drainTimeoutMs: 5_000,
} as const
