/**
 * Constants of the daemon's parts: limits, periods and timeouts.
 */

/** Options of the request path. @public */
export const requestOptions = {
  /** Most attempts of one request, including the first. */
  maxAttempts: 3,
  /** Largest request body that is accepted, in bytes. */
  requestBodyLimitBytes: 4 * 1024 * 1024,
  /** Answers up to this size are received whole before the caller gets the first byte; larger ones are streamed. */
  answerBufferBytes: 256 * 1024,
  /** Period of refusing queued requests whose deadline can no longer be met. */
  sweepPeriodMs: 50,
  /** Period of closing connections that have been idle for too long. */
  staleConnectionPeriodMs: 500,
  /** Number of recent requests whose steps are kept for `explain`. */
  journaledRequests: 1_000,
} as const

/** Options of the retry budget, which limits retries to a share of the answered requests. @public */
export const retryOptions = {
  /** Retries that one answered request adds to the budget. */
  ratio: 0.1,
  /** Retries in the budget at the start. */
  reserve: 5,
  /** Most retries that the budget can hold. */
  limit: 50,
} as const

/** Options of endpoint connections and health. @public */
export const endpointOptions = {
  connectTimeoutMs: 1_000,
  /** Time after a connection's last whole answer from which the connection is replaced instead of reused. */
  maxIdleMs: 1_000,
  /** Time for which an attempt that timed out keeps its slot, as the endpoint may still be working on it. */
  timedOutSlotHoldMs: 10_000,
  health: {
    /** Failures in a row, each of another request, after which an endpoint is ejected. */
    failuresToEject: 5,
    /** Largest share of a service's endpoints that may be ejected at a time. */
    maxEjectedShare: 0.34,
    /** Time of the first ejection; it doubles with each further ejection in a row. */
    ejectionMs: 5_000,
    maxEjectionMs: 60_000,
  },
} as const

/** Options of slot credits. @public */
export const creditOptions = {
  /** Time after which a holder stops using a grant that was not renewed. */
  creditTtlMs: 8_000,
  /** Period at which holders renew their grants. */
  renewPeriodMs: 2_500,
  /** Shortest time for which a new lender waits for reports of holders that it does not know yet. */
  takeoverSettleMs: 1_500,
  /** Shortest time between two reports of one service. */
  minReportIntervalMs: 20,
} as const

/** Options of membership. @public */
export const membershipOptions = {
  heartbeatPeriodMs: 1_000,
  /** Number of peers to which each heartbeat is sent. */
  fanout: 3,
  /** Share of the members whose heartbeat counters are in each heartbeat. */
  counterShare: 0.4,
  /** Number of members whose heartbeat counters are in each heartbeat, if the share is smaller. */
  minCounters: 8,
  /**
   * After a change of the configuration head, the next `newHeadRepeats * fanout` heartbeats and replies carry the head to
   * every receiver. Later ones carry it only to receivers with an older version.
   */
  newHeadRepeats: 6,
  /** Time without an increase of its heartbeat counter after which a daemon is suspected, if there are few daemons. */
  suspectAfterMs: 4_000,
  /** Time added to `suspectAfterMs` for each doubling of the number of daemons beyond a small group. */
  suspectPerDoublingMs: 1_000,
  /** Period of writing the daemon's own row to the table and reading the changed rows of the others. */
  tableSyncPeriodMs: 5_000,
  /** Time without a change of its row after which a suspected daemon is removed, if the table answers. */
  staleRowAfterMs: 20_000,
} as const

/** Options of the links between daemons. @public */
export const peerOptions = {
  connectTimeoutMs: 1_000,
  /** Time without a reply after which a link is replaced. */
  unresponsiveAfterMs: 2_000,
  /** Longest message that is accepted. */
  maxFrameBytes: 8 * 1024 * 1024,
} as const

/** Options of following the accepted configuration. @public */
export const configurationOptions = {
  /** Period of reading the head row from the platform. */
  headPollPeriodMs: 2_000,
  /** Delay before a failed fetch is tried again. */
  fetchRetryMs: 500,
} as const

/** Options of watching the fleet. @public */
export const fleetOptions = {
  /** Period of reading the platform's fleet list. */
  listPeriodMs: 1_000,
  /** Number of daemons that read the fleet list and pass it on to the others. */
  listReaders: 2,
  /** Longest time by which the fleet list lags behind a change that a daemon made. */
  listLagMs: 5_000,
  /** Largest share of the declared VMs that may be missing from a fleet list; a list with more missing VMs is ignored. */
  maxMissingShare: 0.5,
  /** Period of reading changed fleet rows. */
  rowPeriodMs: 1_000,
  /** Period at which a controller plans and takes the next steps of its pools. */
  planPeriodMs: 1_000,
  /** Period of reporting demand and deciding loans. */
  demandPeriodMs: 2_000,
  /** Greatest age at which reported demand is still used. */
  demandMaxAgeMs: 7_000,
  /** Most steps that a controller takes for one pool in one period. */
  stepsPerPlan: 16,
  /** Time after which every daemon is expected to know that a VM is draining. */
  drainNoticeMs: 3_000,
  /**
   * Greatest age of the pool's lease and the VM's row, as read by a controller, at which it requests a reboot. If they are
   * older, it reads them again first.
   */
  leaseCheckMaxAgeMs: 2_000,
  /** Time for which a daemon keeps a pool's lease after rendezvous hashing has assigned the pool to another daemon. */
  releaseAfterMs: 30_000,
} as const

/** Options of claims. @public */
export const claimOptions = {
  /** Most attempts to write a claim while its outcome is unknown. */
  maxAttempts: 3,
  /** Retry delay for a request whose key is claimed by a request without a recorded answer, or can't be claimed. */
  retryAfterMs: 1_000,
  /** Most attempts to record the end of a claimed request. */
  finishAttempts: 120,
  finishRetryMs: 1_000,
  /** Longest time for which a stopping daemon waits for the ends of claimed requests to be recorded. */
  drainTimeoutMs: 5_000,
} as const
