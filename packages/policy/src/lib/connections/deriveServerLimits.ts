/**
 * Limits of the servers of a daemon, from the resources of its VM. Load: called once, at the start.
 */

/** What a VM gives to the process of a daemon. @public */
export interface VmResources {
  /** Memory of the process, in bytes. What the system has received for it and what it has not read yet count too. */
  readonly memoryBytes: number
  /** File descriptors of the process. */
  readonly descriptors: number
}

/** Groups of clients. Each has limits of its own, so that a crowd of one group leaves the others theirs. @public */
export enum ServerRole {
  /** Clients of queues. */
  Clients = 'clients',
  /** Callers of services, whose bodies are forwarded. */
  Callers = 'callers',
  /** Other daemons. */
  Peers = 'peers',
  /** The load balancer, operators and readers of the metrics. */
  Operations = 'operations',
}

/** Limits of one server. @public */
export interface ServerLimits {
  /** Open connections. */
  readonly maxConnections: number
  /** Cost of all requests that are not whole or whose answers have not been sent, see `ConnectionLedger`. */
  readonly maxCost: number
  /** Requests of one connection that may be open at a time; a client that sends more without reading answers is disconnected. */
  readonly maxOpenRequests: number
  /** Cost of a call for each byte of the request's body. */
  readonly costPerByte: number
}

/** Resources of a VM whose settings state none. @public */
export const DEFAULT_VM_RESOURCES: VmResources = { memoryBytes: 256 * 1024 * 1024, descriptors: 4_096 }

/** Descriptors that the system keeps for files. */
const FILE_DESCRIPTORS = 200

/** Open requests of one connection. Clients that wait for an answer before they send again have one. */
const MAX_OPEN_REQUESTS = 32

/** Connections that every server may have, whatever the VM. */
const MIN_CONNECTIONS = 16

interface Shares {
  /** Share of the sockets; the rest is for connections to VMs, to the store and to other daemons. */
  readonly descriptors: number
  /** Share of the memory for open connections, and for requests. */
  readonly connectionMemory: number
  readonly requestMemory: number
  /** Memory that an open connection takes beside its requests: its objects, and what the system may have received on it. */
  readonly connectionBytes: number
  /** Memory that the handling of a request takes for each byte of its body. */
  readonly costPerByte: number
}

const SHARES: Readonly<Record<ServerRole, Shares>> = {
  [ServerRole.Clients]: { descriptors: 0.35, connectionMemory: 0.15, requestMemory: 0.08, connectionBytes: 128 * 1024, costPerByte: 12 },
  [ServerRole.Callers]: { descriptors: 0.35, connectionMemory: 0.15, requestMemory: 0.12, connectionBytes: 128 * 1024, costPerByte: 1 },
  // Daemons read what others send at once, and there may be a thousand of them.
  [ServerRole.Peers]: { descriptors: 0.3, connectionMemory: 0.1, requestMemory: 0.08, connectionBytes: 16 * 1024, costPerByte: 1 },
  [ServerRole.Operations]: { descriptors: 0.02, connectionMemory: 0.01, requestMemory: 0.02, connectionBytes: 64 * 1024, costPerByte: 1 },
}

/** Returns the limits of a server. @public */
export function deriveServerLimits ({ memoryBytes, descriptors }: VmResources, role: ServerRole): ServerLimits {
  const share = SHARES[role]
  const sockets = Math.max(0, descriptors - FILE_DESCRIPTORS)
  return {
    maxConnections: Math.max(MIN_CONNECTIONS, Math.floor(Math.min(sockets * share.descriptors, memoryBytes * share.connectionMemory / share.connectionBytes))),
    maxCost: Math.floor(memoryBytes * share.requestMemory),
    maxOpenRequests: MAX_OPEN_REQUESTS,
    costPerByte: share.costPerByte,
  }
}
