/**
 * Numbered result codes. docs/RESULT-CODES.md holds the same table; a test checks that both are equal.
 */

/** Whether the work of a refused or failed request was executed. @public */
export enum Execution {
  Ran = 'ran',
  NotRun = 'not-run',
  Unknown = 'unknown',
}

/**
 * Number of each result code; {@link RESULT_CODES} holds its title.
 *
 * 1xxx: declarations and settings. 2xxx: requests, of which 21xx are about jobs. 3xxx: configuration. 4xxx: platform.
 * @public
 */
export enum ResultCode {
  YamlSyntax = 1001,
  SchemaViolation = 1002,
  FileUnreadable = 1003,
  DuplicateId = 1010,
  VmInTwoPools = 1011,
  UnknownPool = 1012,
  ServiceWithoutPool = 1013,
  UnknownZone = 1014,
  /** The budget of a pool demands as many available VMs as the pool has, or more. */
  BudgetNotSatisfiable = 1015,
  EndpointOutsidePool = 1016,
  /** The openings of a maintenance window within the period are too few or too short for the VMs of a pool. */
  WindowTooShort = 1017,
  PoolWithoutBudget = 1018,
  UnknownService = 2001,
  InvalidRequest = 2002,
  QueueFull = 2003,
  /** The request would end after its deadline, by the estimates of waiting and service time. */
  DeadlineUnreachable = 2004,
  /** The deadline passed before the request was sent to an endpoint. */
  DeadlineExpired = 2005,
  NoEndpoint = 2006,
  /** An endpoint declared that it did not run the request. */
  EndpointRefused = 2007,
  /** No connection could be opened, so nothing was sent. */
  ConnectFailed = 2008,
  /** The request was sent to an endpoint and no answer came. */
  AnswerLost = 2009,
  /** The answer of an endpoint ended before it was complete. */
  AnswerBroken = 2010,
  /** A request with the same idempotency key was answered, and its answer was not kept or cannot be read. */
  DuplicateRequest = 2011,
  /** The store did not record the claim of the idempotency key. */
  ClaimStoreUnavailable = 2012,
  Stopping = 2013,
  NoConfiguration = 2014,
  /** The idempotency key is claimed, and no answer to the request that claimed it is recorded. */
  ClaimUndecided = 2015,
  /** The idempotency key is claimed by a request with other content. */
  KeyReused = 2016,
  RequestTooLarge = 2017,
  CallerGone = 2018,
  HeadTooLarge = 2019,
  /** The head or the body of the request did not arrive in time. */
  RequestTimeout = 2020,
  MethodNotAllowed = 2021,
  /** The daemon holds as many requests as its memory allows. */
  Overloaded = 2022,
  InternalError = 2023,
  UnknownPath = 2024,
  UnknownQueue = 2101,
  /** No job with this id is stored: it never was, or its rows were removed. */
  UnknownJob = 2102,
  InvalidJob = 2103,
  /** The store did not record the job or the cancellation. */
  JobNotStored = 2104,
  JobOutcomeUnknown = 2105,
  /** Neither the owner nor the store returned the state of the job or the count of pending jobs. */
  JobStateUnavailable = 2106,
  /** The call has no usable key, or one that no team holds. */
  Unauthorized = 2107,
  /** The daemon has not proved its configuration current for so long that it cannot check the call's key or path. */
  ConfigurationStale = 2108,
  /** The store is silent, so nothing of the request was sent to it. */
  StoreSilent = 2109,
  /** The job was cancelled before it was stored, so it never runs. */
  JobCancelled = 2110,
  /** The version that an edit is based on is not the accepted one. */
  VersionConflict = 3001,
  NothingToApply = 3002,
  /** Not every daemon applies the accepted configuration version yet. */
  RolloutIncomplete = 3003,
  NotFound = 3004,
  ChunkDigestMismatch = 3005,
  PlatformUnavailable = 4001,
  /** The transaction was not executed, because a condition does not hold. */
  PlatformConflict = 4002,
  PlatformOutcomeUnknown = 4003,
}

/** Title of a result code, and for request codes how the request is answered. @public */
export interface ResultCodeInfo {
  /** Short title, as sent in a problem document. */
  readonly title: string
  /** HTTP status of the answer; set for request codes (2xxx) only. */
  readonly status?: number
  /** Whether the work of the request ran; set for request codes (2xxx) only. */
  readonly execution?: Execution
}

/** Title, status and execution of every result code. @public */
export const RESULT_CODES: Readonly<Record<ResultCode, ResultCodeInfo>> = {
  [ResultCode.YamlSyntax]: { title: 'File is not valid YAML' },
  [ResultCode.SchemaViolation]: { title: 'Value does not match the schema' },
  [ResultCode.FileUnreadable]: { title: 'File cannot be read' },
  [ResultCode.DuplicateId]: { title: 'Identifier is declared twice' },
  [ResultCode.VmInTwoPools]: { title: 'VM is named in two pools' },
  [ResultCode.UnknownPool]: { title: 'Pool is not declared' },
  [ResultCode.ServiceWithoutPool]: { title: 'Service names no declared pool' },
  [ResultCode.UnknownZone]: { title: 'Availability zone is not declared' },
  [ResultCode.BudgetNotSatisfiable]: { title: 'Availability budget leaves no VM for maintenance' },
  [ResultCode.EndpointOutsidePool]: { title: 'Endpoint runs on a VM outside its service\'s pool' },
  [ResultCode.WindowTooShort]: { title: 'Maintenance windows cannot cover the pool within the maintenance period' },
  [ResultCode.PoolWithoutBudget]: { title: 'Pool has no availability budget' },
  [ResultCode.UnknownService]: { title: 'Service is not declared', status: 404, execution: Execution.NotRun },
  [ResultCode.InvalidRequest]: { title: 'Request header has an invalid value', status: 400, execution: Execution.NotRun },
  [ResultCode.QueueFull]: { title: 'Queue of the service is full', status: 503, execution: Execution.NotRun },
  [ResultCode.DeadlineUnreachable]: { title: 'Deadline cannot be met', status: 503, execution: Execution.NotRun },
  [ResultCode.DeadlineExpired]: { title: 'Deadline passed while the request was queued', status: 503, execution: Execution.NotRun },
  [ResultCode.NoEndpoint]: { title: 'No endpoint of the service can take work', status: 503, execution: Execution.NotRun },
  [ResultCode.EndpointRefused]: { title: 'Endpoint refused the request without running it', status: 503, execution: Execution.NotRun },
  [ResultCode.ConnectFailed]: { title: 'No connection to an endpoint could be opened', status: 503, execution: Execution.NotRun },
  [ResultCode.AnswerLost]: { title: 'Request was sent and its answer was lost', status: 502, execution: Execution.Unknown },
  [ResultCode.AnswerBroken]: { title: 'Answer broke off before its end', status: 502, execution: Execution.Unknown },
  [ResultCode.DuplicateRequest]: { title: 'A request with this idempotency key was already accepted', status: 409, execution: Execution.Unknown },
  [ResultCode.ClaimStoreUnavailable]: { title: 'Idempotency key cannot be claimed now', status: 503, execution: Execution.NotRun },
  [ResultCode.Stopping]: { title: 'Daemon is stopping', status: 503, execution: Execution.NotRun },
  [ResultCode.NoConfiguration]: { title: 'No configuration is in force yet', status: 503, execution: Execution.NotRun },
  [ResultCode.ClaimUndecided]: { title: 'An earlier request with this idempotency key may still be running', status: 409, execution: Execution.Unknown },
  [ResultCode.KeyReused]: { title: 'Idempotency key was used for another request', status: 422, execution: Execution.NotRun },
  [ResultCode.RequestTooLarge]: { title: 'Request body is too large', status: 413, execution: Execution.NotRun },
  [ResultCode.CallerGone]: { title: 'Caller closed its connection before the request was sent', status: 503, execution: Execution.NotRun },
  [ResultCode.HeadTooLarge]: { title: 'Request head is too large', status: 431, execution: Execution.NotRun },
  [ResultCode.RequestTimeout]: { title: 'Request did not arrive in time', status: 408, execution: Execution.NotRun },
  [ResultCode.MethodNotAllowed]: { title: 'Method is not served', status: 405, execution: Execution.NotRun },
  [ResultCode.Overloaded]: { title: 'Daemon has no memory for more requests', status: 503, execution: Execution.NotRun },
  [ResultCode.InternalError]: { title: 'Request failed in the daemon', status: 500, execution: Execution.Unknown },
  [ResultCode.UnknownPath]: { title: 'Nothing is served at this path', status: 404, execution: Execution.NotRun },
  [ResultCode.UnknownQueue]: { title: 'No queue is configured at this path', status: 404, execution: Execution.NotRun },
  [ResultCode.UnknownJob]: { title: 'Job is not known', status: 410, execution: Execution.NotRun },
  [ResultCode.InvalidJob]: { title: 'Job is not valid', status: 400, execution: Execution.NotRun },
  [ResultCode.JobNotStored]: { title: 'Job or cancel was not stored', status: 503, execution: Execution.NotRun },
  [ResultCode.JobOutcomeUnknown]: { title: 'Whether the job or cancel was stored is not known', status: 504, execution: Execution.Unknown },
  [ResultCode.JobStateUnavailable]: { title: 'State of the job or queue cannot be read now', status: 503, execution: Execution.NotRun },
  [ResultCode.Unauthorized]: { title: 'Call has no valid key', status: 401, execution: Execution.NotRun },
  [ResultCode.ConfigurationStale]: { title: 'Configuration may be out of date', status: 503, execution: Execution.NotRun },
  [ResultCode.StoreSilent]: { title: 'Store does not answer', status: 503, execution: Execution.NotRun },
  [ResultCode.JobCancelled]: { title: 'Job was cancelled before it was stored', status: 503, execution: Execution.NotRun },
  [ResultCode.VersionConflict]: { title: 'Configuration changed since the version that the edit was based on' },
  [ResultCode.NothingToApply]: { title: 'Declarations equal the configuration in force' },
  [ResultCode.RolloutIncomplete]: { title: 'Configuration was accepted and is not yet in force everywhere' },
  [ResultCode.NotFound]: { title: 'Named object does not exist' },
  [ResultCode.ChunkDigestMismatch]: { title: 'Configuration chunk does not match its digest' },
  [ResultCode.PlatformUnavailable]: { title: 'Platform service did not execute the call' },
  [ResultCode.PlatformConflict]: { title: 'A condition of the transaction does not hold' },
  [ResultCode.PlatformOutcomeUnknown]: { title: 'Platform call may or may not have taken effect' },
}
