/**
 * Constants for serving jobs. Times are in milliseconds.
 */

/** Constants for shard ownership. */
export const shardOptions = {
  /** Period of the owner's heartbeats to every peer: several fit into the time after which the owner is suspected. */
  heartbeatPeriodMs: 250,
  /**
   * Number of daemons, in the order of succession, that get every heartbeat and are the first to suspect the owner. All others
   * get one in `restHeartbeatInterval`, so that the owner's messages grow less with the number of daemons.
   */
  nearSuccessors: 8,
  restHeartbeatInterval: 4,
  /** Period of the store heartbeat, which proves that the owner still reaches the store. */
  storeHeartbeatPeriodMs: 700,
  /** Time without a heartbeat after which the owner is suspected: covers two lost heartbeats and one slow round of processing. */
  suspectAfterMs: 700,
  /** Takeover delay added for each daemon that ranks before this one, so that successors do not race. */
  takeoverRankDelayMs: 150,
  /**
   * Time without a new store heartbeat after which a suspected owner's shard is taken over: one store heartbeat period and
   * two slow answers.
   */
  storeHeartbeatTimeoutMs: 1_300,
  /** Time without an answer from the store after which an owner is suspected even if its heartbeats arrive. */
  ownerStoreSilentMs: 1_200,
  /**
   * Time for which an owner counts as new: reading a large shard and getting its VMs' first reports takes seconds on a slow
   * VM.
   */
  newOwnerMs: 4_000,
  /** Factor applied to `ownerStoreSilentMs` and `storeHeartbeatTimeoutMs` for a new owner. */
  newOwnerTimeoutFactor: 2.5,
  /** Shortest time between a takeover and handing the shard over to a faster daemon. */
  handOverAfterMs: 1_000,
  /** Time limit for an owner that hands over to commit its remaining changes. */
  handOverLimitMs: 500,
  /** Period of an owner's notices that it has given up the shard while the store does not answer the release: a daemon that starts meanwhile gets one. */
  releaseNoticePeriodMs: 400,
  /** Period of checking the shard's ownership. */
  ownershipCheckPeriodMs: 100,
  /** Shortest time between two checks of a suspected owner. */
  suspectCheckPeriodMs: 350,
  /** Time without an answer from the store from which a daemon makes no calls for an owner: above the long poll of an idle daemon. */
  relayStoreSilentMs: 1_500,
  /** Timeout for opening a connection to a suspected owner. */
  probeTimeoutMs: 400,
  /**
   * Time after a takeover for which a superseded owner that no other daemon can reach may still extend VM leases and start tasks. An owner
   * stops both once its last proof of its ownership is older.
   */
  previousOwnerRenewalMs: 2_000,
  /**
   * Age of an owner's last proof of its ownership from which it asks the other daemons for one: longer than a store heartbeat takes,
   * and short enough for two rounds before the proof is no longer valid, after `previousOwnerRenewalMs`.
   */
  proofRefreshMs: 1_000,
  /** Time after the last proof from the store for which the other daemons may prove an ownership: most outages of the store are shorter. */
  peerProofsForMs: 30_000,
  /** Takeover delay added for a daemon that the owner may not know, and so does not ask: `peerProofsForMs`, and the age of the last proof from the store at the last store heartbeat. */
  unknownMemberDelayMs: 35_000,
  /** Shortest time between a store heartbeat and one that a decision waits for: a store that refuses calls is not to get more of them. */
  proofRetryMs: 250,
  /** Time between two rounds of asking the other daemons. */
  claimPeriodMs: 400,
  /** Period of checking the age of an owner's last proof of its ownership. */
  proofCheckPeriodMs: 100,
} as const

/** Constants for running tasks. */
export const taskOptions = {
  /**
   * Duration of VM leases: long enough to cover a takeover; it also bounds the wait until the runs of a lost VM count as
   * ended.
   */
  leaseMs: 5_000,
  /** Longest wait of a renewal's long poll for an end entry, so that a lease is renewed well before it expires. */
  renewWaitMs: 1_500,
  /**
   * The same for VMs with finite tasks, with best-effort beside latency-sensitive tasks, or in a pool whose long-running tasks
   * are being evacuated: a lost answer delays end entries by this long.
   */
  shortRenewWaitMs: 400,
  /** The same shortly after a long-running task was started on the VM: about the time that such a task takes to start. */
  startingRenewWaitMs: 150,
  /** Time after a start order for which `startingRenewWaitMs` applies. */
  startingMs: 3_000,
  /**
   * Consecutive renewals without an answer after which a VM counts as unresponsive: a platform that loses one call in 20
   * rarely loses two in a row.
   */
  lostRenewalsUntilUnresponsive: 2,
  /** Pause between renewals of an unresponsive VM; also the longest wait for a commit before the next renewal. */
  unresponsiveRetryMs: 200,
  /**
   * Time after an answer that could not be applied until the next renewal. Longer than a lease, so that the VM's runs end and are started
   * elsewhere if its answers can never be applied.
   */
  failedSessionRetryMs: 10_000,
  /** Period of planning in addition to planning caused by events. */
  planPeriodMs: 100,
  /** Delay between an event and planning, so that one plan covers several events: short compared with the shortest task. */
  planSpacingMs: 8,
  /** Shortest time between two commits: several end entries share a transaction, and a client waits only this much longer. */
  commitSpacingMs: 25,
  /** Pause after a failed commit. */
  commitRetryMs: 150,
  /**
   * Limit on the jobs in one transaction: the platform accepts 100 entries, and each job needs two in addition to the
   * owner row and some roster rows.
   */
  jobsPerCommit: 40,
  /** Period of reading the feed of jobs. Hints from other daemons announce most jobs at once; the feed delivers the rest. */
  jobFeedPeriodMs: 500,
  /** Longest wait of a long poll on the feed of VMs. */
  vmFeedWaitMs: 800,
  /** Pause after a failed call to the store. */
  storeRetryMs: 200,
  /**
   * Ended jobs are kept for this multiple of the time for which clients can query their state, so that a late resubmission
   * still finds its job.
   */
  stateRetentionFactor: 2,
  /** Period of removing the rows of jobs whose retention time has passed. */
  removalPeriodMs: 5_000,
  /**
   * Limit on the jobs removed in one transaction. With three entries per job and the condition on the owner row, that makes
   * 61 of the platform's 100 entries.
   */
  jobsPerRemoval: 20,
  /**
   * Limit on the tombstones removed in one transaction. With a condition and a removal each, and the condition on the owner row, that
   * makes 81 of the platform's 100 entries.
   */
  tombstonesPerRemoval: 40,
} as const

/** Constants for calls to VMs that other daemons make for an owner. */
export const relayOptions = {
  /** Number of VMs from which an owner uses relays; it can make the calls to fewer VMs itself, without the delay of a batch. */
  minVms: 100,
  /** Limit on the relays of an owner: each batch is one message, so more relays make smaller batches. */
  maxRelays: 6,
  /** Number of relays below which the owner makes all calls itself, as a single one would be no faster than the owner. */
  minRelays: 2,
  /** Time for which calls are collected into a batch. */
  callBatchMs: 8,
  /** Time for which answers are collected into a batch. */
  answerBatchMs: 12,
  /**
   * Time limit of an order through a relay, and the slack of a renewal: the relay's own time limit of 600 ms, and the delays of
   * batches and links.
   */
  orderTimeoutMs: 900,
  /** Time for which a relay that did not answer a call gets no further ones. */
  retryAfterMs: 3_000,
  /** Period of checking whether the relays still answer heartbeats. */
  checkPeriodMs: 100,
  /** Time after which a relay closes its connections to a VM that it gets no calls for. */
  idleClientMs: 10_000,
} as const

/** Constants for moves and maintenance of machines. */
export const machineOptions = {
  /** Period of planning, and of advancing operations in progress. */
  periodMs: 200,
  /** Period of reading the list of machines; each call costs money. */
  listPeriodMs: 4_000,
  /** The same while a machine is expected back from a move or maintenance. */
  busyListPeriodMs: 1_000,
  /**
   * Time for which finite tasks may keep running on a VM that is evacuated: longer than the longest one, as a task that is
   * stopped begins again elsewhere.
   */
  finiteTaskGraceMs: 4_000,
  /** Pause before an order that was refused or had an unknown outcome is sent again. */
  orderRetryMs: 400,
  /** Time without an answer from the store after which no order is given, as another daemon may own the shard. */
  storeSilentMs: 1_000,
  capacity: {
    /**
     * Time for which a pool keeps an idle machine. A move costs about as much as a machine does in this time, so keeping it
     * longer does not pay.
     */
    keepMs: 1_000,
    /** Machines that a pool keeps without demand: enough to start the first jobs when load returns. */
    spareMachines: 1,
  },
} as const

/** Constants for writing to the store. */
export const storeOptions = {
  /** Shortest time after which an unanswered transaction is sent again: many times the latency of a store that is well. */
  minHedgeMs: 100,
  /** Longest time after which it is sent again, however slow the store is. */
  maxHedgeMs: 600,
  /** Limit on the attempts; three are lost together in one case out of 23 if the platform loses a third of its answers. */
  maxAttempts: 3,
  /** Time that a page of a whole table may take beside the usual latency: half a megabyte takes 0.4 s on a link of 10 Mbit/s, which several pages share. */
  bulkReadMs: 1_500,
  /** Longest wait for an answer through another daemon: some attempts on a store that loses answers. */
  relayAnswerMs: 700,
  /** Period of reads that show an owner whose calls go through other daemons whether its own connections work again. */
  probePeriodMs: 250,
  /** Pause between reads of a feed through another daemon, which do not wait there. */
  relayedFeedPeriodMs: 200,
} as const

/** Constants for serving clients. */
export const clientOptions = {
  /** Time before a request's deadline from which it is not retried. */
  deadlineReserveMs: 150,
  /** Pause before a write with an unknown outcome is retried. */
  submitRetryMs: 100,
  /**
   * Time without an answer from the store after which a hedged write is sent to another daemon: longer than a slow answer
   * takes.
   */
  hedgeAfterMs: 400,
  /** Longest wait for another daemon's write: the timeout of a call to the store, and the network delay. */
  relayAnswerMs: 1_300,
  /** Retry delay sent to a refused client: the store's outages last seconds. */
  retryAfterMs: 1_000,
  /**
   * Mean retry delay sent with a refused write. Clients try four times more and the header has whole seconds, so that they outlast an outage
   * of 7 s; after one second each time, they had used up their attempts in an outage of 4.2 s.
   */
  writeRetryAfterMs: 1_500,
  /** Longest wait for the owner's answer before the store is read instead. */
  ownerAnswerMs: 250,
  /**
   * Time without an answer from the store after which the daemon reports itself as not ready for clients, and logs the store
   * as lost.
   */
  storeSilentMs: 2_000,
  /** Period of checking whether requests that wait for the store are given up. */
  giveUpCheckPeriodMs: 25,
  /** Period of checking whether the store answers. */
  storeCheckPeriodMs: 100,
  /** Time for which a count of pending jobs is cached. */
  pendingCountMaxAgeMs: 800,
} as const

/** Constants for following the operator's configuration and the other daemons. */
export const watchOptions = {
  /**
   * Longest wait of a long poll on the operator's feed: short enough that a dead connection is detected before a change must
   * be in force.
   */
  operatorFeedWaitMs: 1_200,
  /** Limit on the same wait, as a share of the time within which a removed API key must be refused. */
  feedWaitShare: 0.2,
  /** Pause after a failed read. */
  retryMs: 150,
  /** Period of reading the rows of all daemons. */
  memberPeriodMs: 10_000,
  /** Time from the hello message of a daemon without a known row until the rows are read, which collects several such messages. */
  newMemberReadMs: 500,
  /**
   * Time without an answer after which the owner removes a daemon's row: far longer than the restart of a process or VM, and
   * some periods of reading the rows.
   */
  memberSilentMs: 30_000,
} as const

/** Time for which a stopping daemon still serves clients: the balancer detects the stop within two of its checks. */
export const stopServingAfterMs = 2_600
