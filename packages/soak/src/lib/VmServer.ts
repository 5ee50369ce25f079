/**
 * HTTP server of one VM, over the in-memory stand-in.
 */
import type { AddressInfo } from 'node:net'
import fastify, { type FastifyInstance, type FastifyReply, type FastifyRequest } from 'fastify'
import { exhaustiveSwitchError, OrderRefusal, RunEnd, type EndEntry, type RunningEntry, type VmReport } from '@vanillathread/model'
import { VmAnswerKind, type RunReference, type StartCall, type VmAnswer, type VmClient } from '@vanillathread/ports'
import type { VmStandIn } from '@vanillathread/stand-ins'

const REASON_BY_REFUSAL: Readonly<Partial<Record<OrderRefusal, string>>> = {
  [OrderRefusal.Fenced]: 'fence',
  [OrderRefusal.OldRun]: 'old',
  [OrderRefusal.LeaseExpired]: 'late',
  [OrderRefusal.NoRoom]: 'room',
}

const NAME_BY_RUN_END: Readonly<Record<RunEnd, string>> = {
  [RunEnd.Done]: 'done',
  [RunEnd.Failed]: 'failed',
  [RunEnd.Stopped]: 'stopped',
  [RunEnd.LeaseExpired]: 'lapsed',
  [RunEnd.Broken]: 'broken',
  [RunEnd.Alone]: 'alone',
}

type Body = Readonly<Record<string, unknown>>

/** Serves a {@link VmStandIn}. */
export class VmServer {
  private readonly app: FastifyInstance = fastify({ forceCloseConnections: true })
  private client: VmClient

  private constructor (private vm: VmStandIn, onStartOrder: (call: StartCall) => void) {
    this.client = vm.connect()
    this.app.post('/run-start', (req, res) => {
      const call = decodeStart(req.body as Body)
      onStartOrder(call)
      return this.answer(req, res, () => this.client.start(call))
    })
    this.app.post('/run-stop', (req, res) => this.answer(req, res, () => this.client.stop(decodeReference(req.body as Body))))
    this.app.post('/pace', (req, res) => this.answer(req, res, () => this.client.pace({ ...decodeReference(req.body as Body), percent: Number((req.body as Body)['percent']) })))
    this.app.post('/hold', (req, res) => this.answer(req, res, () => this.renew(req.body as Body)))
  }

  /** `onStartOrder` is called before the VM handles a start order. */
  static create (options: { vm: VmStandIn, onStartOrder: (call: StartCall) => void }): VmServer {
    return new VmServer(options.vm, options.onStartOrder)
  }

  /** Listens on a port that the system chooses, and returns the port. */
  async listen (host: string): Promise<number> {
    await this.app.listen({ host, port: 0 })
    return (this.app.server.address() as AddressInfo).port
  }

  /** Serves another incarnation of the VM from now on. The connections to the former one end. */
  replaceVm (vm: VmStandIn): void {
    this.vm = vm
    this.client = vm.connect()
    this.app.server.closeAllConnections()
  }

  async close (): Promise<void> {
    await this.app.close()
  }

  private renew (body: Body): Promise<VmAnswer<VmReport>> {
    const until = body['until-ms']
    return this.client.renew({
      fencingToken: Number(body['fencing-token'] ?? 0),
      acknowledgedEnd: Number(body['last-seen'] ?? 0),
      leaseUntilMs: typeof until === 'number' ? until : undefined,
      waitMs: Number(body['wait-ms'] ?? 0),
    })
  }

  private async answer<T> (req: FastifyRequest, res: FastifyReply, call: () => Promise<VmAnswer<T>>): Promise<FastifyReply> {
    const expected = req.headers['vanillathread-expect-instance']
    if (expected !== undefined && expected !== this.vm.id) return res.code(421).send({})
    const answer = await call()
    switch (answer.kind) {
      case VmAnswerKind.Done: return res.send({ 'clock-ms': this.vm.clockMs, born: this.vm.entry.bornMs, ...encodeReport(answer.value) })
      case VmAnswerKind.Refused:
        if (answer.refusal === OrderRefusal.NotSent) return reset(res)
        return res.code(409).send({ 'clock-ms': this.vm.clockMs, reason: REASON_BY_REFUSAL[answer.refusal] })
      case VmAnswerKind.Unknown: return reset(res)
      default: throw exhaustiveSwitchError(answer)
    }
  }
}

/** Closes the connection of a request without an answer. */
function reset (res: FastifyReply): FastifyReply {
  res.hijack()
  res.raw.destroy()
  return res
}

function decodeReference (body: Body): RunReference {
  return { task: String(body['task']), run: Number(body['run-id']), fencingToken: Number(body['fencing-token'] ?? 0) }
}

function decodeStart (body: Body): StartCall {
  return { ...decodeReference(body), payload: String(body['spec']), leaseUntilMs: Number(body['until-ms']), checkpoint: String(body['checkpoint'] ?? '') }
}

function encodeReport (value: unknown): Record<string, unknown> {
  const report = value as VmReport | undefined
  if (report === undefined) return {}
  const encodeRunning = (run: RunningEntry): unknown[] => [run.task, run.run, run.checkpoint, run.percent, 0]
  const encodeEnd = (end: EndEntry): unknown[] => [end.number, end.task, end.run, NAME_BY_RUN_END[end.end], end.checkpoint]
  return { running: report.running.map(encodeRunning), finished: report.ends.map(encodeEnd) }
}
