/**
 * Constants of serving jobs. Times are in milliseconds.
 */

/** Constants of owning a shard. */
export const shardOptions = {
  /** Period of the owner's message to every peer: several fit into the time after which it is doubted. */
  beatPeriodMs: 250,
  /** Period of the owner's write that proves it still reaches the store. */
  storeBeatPeriodMs: 700,
  /** Silence of the owner after which it is doubted: two beats lost and one round of slow processing. */
  doubtAfterMs: 700,
  /** Added for each daemon that is asked to take over before this one, so that they do not race. */
  rankDelayMs: 150,
  /** Time for which the owner's proof must stand still before the shard is taken over: a store beat, and two slow answers. */
  standStillMs: 1_300,
  /** Time without the store after which an owner is doubted though its peers hear it. */
  ownerStoreSilentMs: 1_200,
  /** Time for which an owner counts as new: reading a large shard and hearing its VMs takes seconds on a slow VM. */
  newOwnerMs: 4_000,
  /** Factor on the times after which a new owner is doubted for its silence towards the store. */
  newOwnerPatience: 2.5,
  /** Time after a take-over before the shard is handed to a faster daemon. */
  handOverAfterMs: 1_000,
  /** Time in which an owner that hands over writes what is left. */
  handOverLimitMs: 500,
  /** Period of looking after ownership. */
  watchPeriodMs: 100,
  /** Shortest time between two looks at a doubted owner's row. */
  lookPeriodMs: 350,
  /** Bound on opening a connection to a doubted owner. */
  probeTimeoutMs: 400,
  /** Time for which a superseded owner that nobody reaches may still extend leases. */
  isolatedAfterMs: 2_000,
} as const

/** Constants of running tasks. */
export const taskOptions = {
  /** Lease given to VMs: covers a take-over, and bounds the wait for a VM that is lost. */
  leaseMs: 5_000,
  /** Longest wait of a renewal for an end, so that a lease is renewed well before it ends. */
  renewWaitMs: 1_500,
  /** Same on VMs whose tasks end by themselves or need their pace watched: a lost answer hides ends for this long. */
  watchedRenewWaitMs: 400,
  /** Same for a moment after a task that lasts was started there: about the time that one takes to begin. */
  startingRenewWaitMs: 150,
  startingMs: 3_000,
  /** Renewals without an answer, one after another, that make a VM silent: a platform that loses one in twenty loses two in a row rarely. */
  lostRenewalsToSilence: 2,
  /** Pause after a VM did not answer. */
  silentRetryMs: 200,
  /** Period of planning beside the planning that events cause. */
  planPeriodMs: 100,
  /** Delay by which planning gathers several events: small against the shortest task. */
  planSpacingMs: 8,
  /** Shortest time between two commits: several ends share a transaction, and a client waits this little. */
  commitSpacingMs: 25,
  /** Pause after a failed commit. */
  commitRetryMs: 150,
  /** Jobs in one transaction: the platform takes 100 entries, and each job needs two beside the owner's row. */
  jobsPerCommit: 40,
  /** Period of reading the feed of jobs: hints bring most jobs at once, the feed the rest. */
  jobFeedPeriodMs: 500,
  /** Longest wait of the feed of VMs. */
  vmFeedWaitMs: 800,
  /** Pause after a failed call to the store. */
  storeRetryMs: 200,
  /** Ended jobs are kept for this multiple of the time for which their state can be asked for, so that a late resend still finds its job. */
  stateKeptFactor: 2,
  /** Period of removing rows of jobs that ended long ago. */
  collectPeriodMs: 5_000,
  /** Jobs removed in one transaction: with four entries each and the owner's row that makes 81 of 100. */
  jobsPerRemoval: 20,
} as const

/** Constants of moving and maintaining machines. */
export const machineOptions = {
  /** Period of planning. */
  periodMs: 200,
  /** Period of reading the list of machines, each call of which is priced. */
  listPeriodMs: 4_000,
  /** Same while a machine is expected back. */
  busyListPeriodMs: 1_000,
  /** Time for which tasks that end by themselves may stay on a machine that is emptied: about the longest task's. */
  shortTaskGraceMs: 2_000,
  /** Pause before an order that was refused or lost is given again. */
  orderRetryMs: 400,
  /** Time without the store after which no order is given, as another daemon may own the shard. */
  storeSilentMs: 1_000,
  capacity: {
    /** A move costs about what a machine costs in this time, so an idle machine is worth keeping no longer. */
    keepMs: 1_000,
    /** Enough to begin on the first jobs of a turn. */
    spareMachines: 1,
  },
} as const

/** Constants of serving clients. */
export const clientOptions = {
  /** Time left of a request's deadline below which it is not tried again. */
  deadlineReserveMs: 150,
  /** Pause before a submission whose outcome is not known is tried again. */
  submitRetryMs: 100,
  /** Time without the store's answer after which another daemon is asked to write as well: above a slow store's answer. */
  hedgeAfterMs: 400,
  /** Longest wait for another daemon's write: the bound on a call to the store, and the way. */
  relayAnswerMs: 1_300,
  /** What a client that is refused is told to wait: the store's outages last seconds. */
  retryAfterMs: 1_000,
  /** Longest wait for the owner's answer before the store is read instead. */
  ownerAnswerMs: 250,
  /** Time without the store after which the daemon wants no new clients, and logs the store as lost. */
  storeSilentMs: 2_000,
  /** Period of looking whether the store is lost or back. */
  storeWatchPeriodMs: 100,
  /** Time for which a count of pending jobs may be given again. */
  pendingKeptMs: 800,
} as const

/** Constants of following the operator and the peers. */
export const watchOptions = {
  /** Longest wait of the operator's feed: a silent connection is noticed before a change is due. */
  operatorFeedWaitMs: 1_200,
  /** Pause after a failed read. */
  retryMs: 150,
  /** Period of reading the daemons' rows. */
  memberPeriodMs: 10_000,
} as const

/** Time for which clients find a stopping daemon: the balancer notices within two of its checks. */
export const stopAfterMs = 2_600
