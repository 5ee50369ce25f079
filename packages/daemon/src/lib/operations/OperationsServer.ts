/**
 * The HTTP server for operators: health checks, status, explanations and announcements of a configuration.
 */
import type { FastifyInstance, FastifyReply } from 'fastify'
import { z } from 'zod'
import type { Kernel, LoopLagMonitor } from '@vanillathread/kernel'
import { configurationHeadSchema, exhaustiveSwitchError, RESULT_CODES, ResultCode, type Address } from '@vanillathread/model'
import { ServerRole, VmState, type ConnectionTimeouts, type Member, type MemberRecord, type VmRecord, type WaveDecision } from '@vanillathread/policy'
import { ConnectionGuard, type ServerContext } from '../server/ConnectionGuard.js'
import { createHttpServer, type HttpLimits } from '../server/createHttpServer.js'
import { renderJsonRefusal } from '../server/refusals.js'
import type { ConfigurationStore } from '../configuration/ConfigurationStore.js'
import type { CreditExchange } from '../credits/CreditExchange.js'
import type { DaemonPhase, DaemonState } from '../DaemonState.js'
import type { FleetController } from '../fleet/FleetController.js'
import type { FleetWatch } from '../fleet/FleetWatch.js'
import type { MembershipKeeper } from '../membership/MembershipKeeper.js'
import type { PeerNetwork } from '../peer/PeerNetwork.js'
import type { LinkCounters } from '../peer/PeerLink.js'
import type { RequestDispatcher } from '../request/RequestDispatcher.js'

/** Parts of the daemon that the server reads. Each is absent until its plug-in has set it. */
export interface ObservedParts {
  configuration?: ConfigurationStore
  membership?: MembershipKeeper
  network?: PeerNetwork
  credits?: CreditExchange
  fleet?: FleetWatch
  dispatcher?: RequestDispatcher
  controller?: FleetController
}

/** Options of {@link OperationsServer.create}. */
export interface OperationsServerOptions {
  readonly listen: Address
  readonly context: ServerContext
  readonly kernel: Kernel
  readonly state: DaemonState
  readonly lag: LoopLagMonitor
  readonly parts: ObservedParts
}

/** State of one service in one daemon. @public */
export interface ServiceStatus {
  readonly id: string
  /** Requests that wait for a slot. */
  readonly queued: number
  /** Attempts that occupy a slot. */
  readonly active: number
  /** Slots that the daemon may use. */
  readonly slots: number
  /** Id of the daemon that lends the slots. */
  readonly lender: string | undefined
  /** Endpoints that are ejected because of failures, or are being probed after an ejection. */
  readonly ejected: string[]
}

/** Answer to `GET /status`. @public */
export interface StatusDocument {
  readonly daemonId: string
  readonly incarnation: number
  readonly phase: DaemonPhase
  /** Configuration version in force in this daemon; 0 if there is none. */
  readonly version: number
  readonly loopLagMs: number
  /** Resident memory of the process. */
  readonly memoryBytes: number
  /** This daemon with the state `self`, then the other daemons with their states in its view. */
  readonly members: ReadonlyArray<MemberRecord & { state: string }>
  /** VMs that get no new work. */
  readonly leavingVms: readonly string[]
  readonly services: readonly ServiceStatus[]
  /** Pools that this daemon controls. */
  readonly controlledPools: readonly string[]
  /** State of the maintenance wave: running, or the reason why it halted. */
  readonly wave: WaveDecision | undefined
  readonly peerTraffic: LinkCounters | undefined
}

const announcementSchema = z.strictObject({
  head: configurationHeadSchema,
  objects: z.array(z.strictObject({ digest: z.string(), base64: z.string() })),
})

const ANNOUNCEMENT_LIMIT_BYTES = 16 * 1024 * 1024

const TIMEOUTS: ConnectionTimeouts = { headerMs: 60_000, idleMs: 72_000, bodyMs: 300_000 }
const LIMITS: HttpLimits = { maxHeaderBytes: 16 * 1024, maxBodyBytes: ANNOUNCEMENT_LIMIT_BYTES, keepAliveMs: TIMEOUTS.idleMs }

const STATUS_OK = 200
const STATUS_BAD_REQUEST = 400
const STATUS_NOT_FOUND = 404
const STATUS_UNAVAILABLE = 503

/** Serves the operations port. */
export class OperationsServer {
  private readonly server: FastifyInstance
  private readonly guard: ConnectionGuard

  private constructor (private readonly options: OperationsServerOptions) {
    this.guard = ConnectionGuard.create({ ...options.context, server: 'operations', role: ServerRole.Operations, getTimeouts: () => TIMEOUTS })
    this.server = createHttpServer({ guard: this.guard, log: options.kernel.log, forceCloseConnections: true, getLimits: () => LIMITS, render: renderJsonRefusal })
    this.server.get('/live', () => ({ live: true }))
    this.server.get('/ready', (_req, reply) => {
      // A daemon that has no configuration refuses every request.
      const ready = options.state.isReady && (options.parts.configuration?.getVersionInForce() ?? 0) > 0
      return reply.code(ready ? STATUS_OK : STATUS_UNAVAILABLE).send({ ready, phase: options.state.phase })
    })
    this.server.get('/status', () => this.getStatus())
    this.server.post('/configuration/announce', (req, reply) => this.announce(parseJson(req.body), reply))
    this.server.get<{ Params: { id: string } }>('/explain/request/:id', (req, reply) => this.send(reply, this.explainRequest(req.params.id)))
    this.server.get<{ Params: { id: string } }>('/explain/pool/:id', (req, reply) => this.send(reply, this.explainPool(req.params.id)))
    this.server.get<{ Params: { id: string } }>('/explain/vm/:id', (req, reply) => this.send(reply, this.explainVm(req.params.id)))
  }

  static create (options: OperationsServerOptions): OperationsServer {
    return new OperationsServer(options)
  }

  async listen (): Promise<Address> {
    const { host, port } = this.options.listen
    await this.server.listen({ host, port })
    const bound = this.server.server.address()
    return { host, port: typeof bound === 'object' && bound !== null ? bound.port : port }
  }

  async dispose (): Promise<void> {
    await this.server.close()
    this.guard.dispose()
  }

  /** Sends a document, or the status 404 if there is none. */
  private send (reply: { code (status: number): { send (body: unknown): unknown } }, document: object | undefined): unknown {
    if (document !== undefined) return reply.code(STATUS_OK).send(document)
    return reply.code(STATUS_NOT_FOUND).send({ code: ResultCode.NotFound, title: RESULT_CODES[ResultCode.NotFound].title })
  }

  private announce (body: unknown, reply: FastifyReply): FastifyReply {
    const announcement = announcementSchema.safeParse(body)
    if (!announcement.success) return reply.code(STATUS_BAD_REQUEST).send({ code: ResultCode.InvalidRequest })
    const { head, objects } = announcement.data
    this.options.parts.configuration?.announce(head, new Map(objects.map(({ digest, base64 }) => [digest, Buffer.from(base64, 'base64')])))
    return reply.send({ announced: head.version })
  }

  private getStatus (): StatusDocument {
    const { state, lag, parts } = this.options
    return {
      daemonId: state.daemonId,
      incarnation: state.incarnation,
      phase: state.phase,
      version: parts.configuration?.getVersionInForce() ?? 0,
      loopLagMs: lag.lagMs,
      memoryBytes: process.memoryUsage.rss(),
      members: this.listMembers(),
      leavingVms: parts.fleet?.listLeaving() ?? [],
      services: this.listServices(),
      controlledPools: parts.controller?.listControlled() ?? [],
      wave: parts.controller?.getWave(),
      peerTraffic: parts.network?.counters,
    }
  }

  private listMembers (): StatusDocument['members'] {
    const { membership } = this.options.parts
    if (membership === undefined) return []
    const others = membership.listOthers().map(({ record, state }: Member) => ({ ...record, state }))
    return [{ ...membership.getSelf(), version: this.options.parts.configuration?.getVersionInForce() ?? 0, state: 'self' }, ...others]
  }

  private listServices (): ServiceStatus[] {
    const { dispatcher, credits } = this.options.parts
    const nowMs = this.options.kernel.timers.now()
    return [...dispatcher?.listLanes() ?? []].map(([id, lane]) => ({
      id,
      queued: lane.queued,
      active: lane.active,
      slots: lane.slots.getTotalLimit(nowMs),
      lender: credits?.getLenderId(id),
      ejected: lane.endpoints.listEjected(),
    }))
  }

  private explainRequest (requestId: string): object | undefined {
    const steps = this.options.parts.dispatcher?.journal.find(requestId)
    if (steps === undefined) return undefined
    const startMs = steps[0]?.atMs ?? 0
    return { requestId, steps: steps.map(({ atMs, ...step }) => ({ afterMs: Math.round(atMs - startMs), ...step })) }
  }

  private explainPool (poolId: string): object | undefined {
    const declarations = this.options.parts.configuration?.current?.declarations
    const pool = declarations?.inventory.pools.find(({ id }) => id === poolId)
    if (declarations === undefined || pool === undefined) return undefined
    const vms = declarations.inventory.vms.filter((vm) => vm.pool === poolId)
    return {
      pool,
      budget: declarations.rules.budgets.find((budget) => budget.pool === poolId),
      out: this.options.parts.fleet?.rows.getBudget(poolId).value.out,
      vms: vms.map((vm) => ({ id: vm.id, zone: vm.zone, rack: vm.rack, state: this.getRow(vm.id)?.state, takesNewWork: !this.isLeaving(vm.id) })),
      services: declarations.inventory.services.filter((service) => service.pool === poolId).map(({ id }) => id),
    }
  }

  private explainVm (vmId: string): object | undefined {
    const declarations = this.options.parts.configuration?.current?.declarations
    const vm = declarations?.inventory.vms.find(({ id }) => id === vmId)
    if (declarations === undefined || vm === undefined) return undefined
    const endpoints = declarations.inventory.services.flatMap((service) =>
      service.endpoints.filter((endpoint) => endpoint.vm === vmId).map((endpoint) => ({ service: service.id, endpoint: endpoint.id })))
    return { vm, row: this.getRow(vmId), takesNewWork: !this.isLeaving(vmId), waitsFor: this.explainWait(vmId), endpoints }
  }

  private getRow (vmId: string): VmRecord | undefined {
    return this.options.parts.fleet?.rows.listVms().get(vmId)?.value
  }

  /** Returns in words what a VM waits for. */
  private explainWait (vmId: string): string {
    const row = this.getRow(vmId)
    if (row === undefined) return 'a controller to record it'
    switch (row.state) {
      case VmState.Active: return 'nothing; it takes work'
      case VmState.Draining: return 'its requests in flight to end'
      case VmState.Rebooting: return `the platform to finish reboot ${row.operationId ?? ''}`
      case VmState.Lost: return 'the platform to list it as live again'
      default: throw exhaustiveSwitchError(row.state)
    }
  }

  private isLeaving (vmId: string): boolean {
    return this.options.parts.fleet?.isLeaving(vmId) ?? false
  }
}

/** Parses the body of a request. Returns undefined if it is not JSON. */
function parseJson (body: unknown): unknown {
  try {
    return JSON.parse(String(body))
  } catch {
    return undefined
  }
}
