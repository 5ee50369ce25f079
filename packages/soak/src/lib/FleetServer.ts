/**
 * HTTP servers of the machine service and of all VMs, over the in-memory stand-ins.
 */
import type { AddressInfo } from 'node:net'
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import { SystemTimerService } from '@vanillathread/kernel'
import { parseTaskName, type VmEntry } from '@vanillathread/model'
import { MachineRefusal, MachineState, type Machine, type MachineAnswer, type RowKey } from '@vanillathread/ports'
import { FleetStandIn, type TaskBehaviour, type VmStandIn } from '@vanillathread/stand-ins'
import { sendEvent, type JobPayload, type VmCommand } from './messages.js'
import { VmServer } from './VmServer.js'

/** Pool whose machines run no VM. */
export const STANDBY_POOL = 'spare'

const CAPACITY = { cpuMillis: 16_000, memoryMb: 32_768, accelerators: 0 }
const MACHINES_PER_RACK = 4

const NAME_BY_STATE: Readonly<Record<MachineState, string>> = {
  [MachineState.Up]: 'up',
  [MachineState.Moving]: 'moving',
  [MachineState.InMaintenance]: 'upkeep',
  [MachineState.Down]: 'down',
}

const REASON_BY_REFUSAL: Readonly<Partial<Record<MachineRefusal, string>>> = {
  [MachineRefusal.Fenced]: 'fence',
  [MachineRefusal.Busy]: 'busy',
  [MachineRefusal.NotInWave]: 'wave',
}

/** Serves a {@link FleetStandIn} and reports what happens on it as events. */
export class FleetServer {
  private readonly app: FastifyInstance = fastify()
  private readonly fleet: FleetStandIn
  private readonly servers = new Map<string, VmServer>()
  /** Payloads of the jobs whose tasks were started, by job. */
  private readonly payloads = new Map<string, JobPayload>()
  private machineCount = 0

  private constructor (private readonly host: string, ignoresLease: boolean) {
    this.fleet = FleetStandIn.create({
      store: { put: (key) => this.register(key), remove: (key) => sendEvent({ kind: 'unregistered', vm: key.key }) },
      timers: SystemTimerService.create(),
      standbyPool: STANDBY_POOL,
      ignoresLease,
      vmObserver: {
        onStart: (vm, run, order) => sendEvent({ kind: 'start', vm: vm.id, run, order }),
        onEnd: (vm, run, end) => sendEvent({ kind: 'end', vm: vm.id, run, end }),
        onEndsAcknowledged: (vm, ends) => sendEvent({ kind: 'acknowledged', vm: vm.id, ends }),
      },
      machineObserver: {
        onMaintenance: (machine, wave, downBefore) => sendEvent({ kind: 'maintenance', machine, wave, downBefore }),
        onWaveComplete: () => {},
        onBeforeTakeDown: (machine, runs) => {
          sendEvent({ kind: 'take-down', machine, runs })
          this.closeVm(machine)
        },
      },
      getBehaviour: (task) => this.getBehaviour(task),
    })
    this.app.get('/machines', async () => ({ machines: (await this.listMachines()).map(encodeMachine), 'next-token': '' }))
    this.app.post('/machine-move', (req, res) => this.order(req, res, (body, orderer) => this.fleet.move(body.machine, body.pool ?? '', orderer)))
    this.app.post('/machine-upkeep', (req, res) => this.order(req, res, (body, orderer) => this.fleet.maintain(body.machine, Number(body.wave), orderer)))
  }

  /** With `ignoresLease`, runs go on after the lease of their VM has expired. */
  static create (options: { host: string, ignoresLease: boolean }): FleetServer {
    return new FleetServer(options.host, options.ignoresLease)
  }

  /** Listens on a port that the system chooses, and returns the port. */
  async listen (): Promise<number> {
    await this.app.listen({ host: this.host, port: 0 })
    return (this.app.server.address() as AddressInfo).port
  }

  execute (command: VmCommand): void {
    switch (command.kind) {
      case 'barrier': return sendEvent({ kind: 'barrier', number: command.number })
      case 'add': return this.fleet.addMachine(command.machine, command.pool, `r-${Math.floor(this.machineCount++ / MACHINES_PER_RACK)}`, CAPACITY)
      case 'fault': {
        const vm = this.findVm(command.machine)
        if (vm !== undefined) vm.fault = command.fault
        return
      }
      case 'crash':
        this.closeVm(command.machine)
        return this.fleet.crash(command.machine, command.downMs)
      case 'restart': return this.restart(command.machine, command.registerDelayMs)
      case 'drain': return this.drain(command.machine)
      case 'leave': return this.leave(command.machine)
    }
  }

  /** Starts a VM again at its address. */
  private restart (machine: string, registerDelayMs: number): void {
    const former = this.findVm(machine)
    if (former === undefined) return
    this.fleet.restart(machine, registerDelayMs)
    const vm = this.findVm(machine)
    if (vm === undefined) return
    sendEvent({ kind: 'restarted', vm: vm.id })
    this.servers.get(vm.id)?.replaceVm(vm)
  }

  private drain (machine: string): void {
    const vm = this.findVm(machine)
    if (vm === undefined) return
    vm.entry = { ...vm.entry, draining: true }
    this.fleet.register(vm)
  }

  private leave (machine: string): void {
    const vm = this.findVm(machine)
    this.closeVm(machine)
    this.fleet.remove(machine)
    if (vm !== undefined) this.fleet.expireRegistration(vm)
  }

  private findVm (machine: string): VmStandIn | undefined {
    return this.fleet.machines.get(machine)?.vm
  }

  /** Reports the end of a machine's VM and closes its server, so that connections to it are refused. */
  private closeVm (machine: string): void {
    const vm = this.findVm(machine)
    if (vm === undefined) return
    sendEvent({ kind: 'died', vm: vm.id })
    const server = this.servers.get(vm.id)
    this.servers.delete(vm.id)
    server?.close().catch(() => {})
  }

  /** Starts the server of a new VM, and reports the registration once the VM is reachable. */
  private register ({ key }: RowKey): number {
    const vm = this.fleet.vms.find((each) => each.id === key)
    if (vm === undefined) return 0
    if (this.servers.has(vm.id)) {
      sendEvent({ kind: 'registered', entry: vm.entry })
      return 0
    }
    const server = VmServer.create({ vm, onStartOrder: ({ task, payload }) => this.readPayload(task, payload) })
    this.servers.set(vm.id, server)
    server.listen(this.host).then((port) => {
      const entry: VmEntry = { ...vm.entry, address: { host: this.host, port } }
      vm.entry = entry
      if (vm.alive) sendEvent({ kind: 'registered', entry })
    }, () => process.exit(1))
    return 0
  }

  private readPayload (task: string, payload: string): void {
    this.payloads.set(parseTaskName(task)?.jobId ?? '', JSON.parse(payload) as JobPayload)
  }

  private getBehaviour (task: string): TaskBehaviour {
    const name = parseTaskName(task)
    const payload = this.payloads.get(name?.jobId ?? '')
    const step = payload?.steps[name?.step ?? 0]
    return { durationMs: step?.durationMs, fails: payload?.poison ?? false, cpuMillis: step?.cpuMillis ?? 0, memoryMb: step?.memoryMb ?? 0 }
  }

  private async listMachines (): Promise<Machine[]> {
    const res = await this.fleet.list()
    return res.ok ? res.value : []
  }

  private async order (req: FastifyRequest, res: FastifyReply, execute: (body: OrderBody, orderer: { holder: string, fencingToken: number }) => Promise<MachineAnswer>): Promise<FastifyReply> {
    const orderer = { holder: String(req.headers['vanillathread-lease-holder']), fencingToken: Number(req.headers['vanillathread-fencing-token']) }
    const answer = await execute(req.body as OrderBody, orderer)
    if (answer.kind === 'done') return res.send({})
    if (answer.kind === 'unknown') return res.code(503).send({})
    const reason = REASON_BY_REFUSAL[answer.refusal]
    return reason === undefined ? res.code(400).send({}) : res.code(409).send({ reason })
  }
}

interface OrderBody {
  readonly machine: string
  readonly pool?: string
  readonly wave?: number
}

function encodeMachine (machine: Machine): Record<string, unknown> {
  const { id, pool, state, zone, labels, capacity, vmId } = machine
  return { machine: id, pool, state: NAME_BY_STATE[state], zone, labels, capacity: encodeCapacity(capacity), id: vmId }
}

/** Encodes a VM as the store's row that registers it. */
export function encodeRegistration (entry: VmEntry): Record<string, unknown> {
  return {
    service: entry.pool,
    address: `${entry.address.host}:${entry.address.port}`,
    zone: entry.zone,
    state: entry.draining ? 'draining' : 'ready',
    capacity: encodeCapacity(entry.capacity),
    labels: entry.labels,
    machine: entry.machine,
    born: entry.bornMs,
  }
}

function encodeCapacity (capacity: VmEntry['capacity']): Record<string, number> {
  return { cpu: capacity.cpuMillis, 'mem-mb': capacity.memoryMb, gpu: capacity.accelerators }
}
