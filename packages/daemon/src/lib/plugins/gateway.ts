/**
 * Plug-in: the caller port. It is drained before all other plug-ins.
 */
import { delay, type Kernel, type Plugin } from '@vanillathread/kernel'
import { DaemonPhase } from '../DaemonState.js'
import { CallerGateway } from '../request/CallerGateway.js'
import { createServerContext, DISPATCHER, MEMBERSHIP, SETTINGS, STATE } from '../services.js'
import { catalogue, PluginId } from './catalogue.js'

/** Period of checking whether draining is complete. */
const DRAIN_POLL_MS = 20
/** Time without any request after which callers' connections may be closed. */
const QUIET_MS = 200

class GatewayPlugin implements Plugin {
  private readonly gateway: CallerGateway

  constructor (private readonly kernel: Kernel) {
    this.gateway = CallerGateway.create({
      listen: kernel.get(SETTINGS).listen.caller,
      context: createServerContext(kernel),
      kernel,
      dispatcher: kernel.get(DISPATCHER),
    })
  }

  async start (): Promise<void> {
    const state = this.kernel.get(STATE)
    state.addresses.set('caller', await this.gateway.listen())
    state.phase = DaemonPhase.Serving
  }

  /**
   * Keeps serving until the balancer has detected the stop. Then refuses new requests and waits, within the drain timeout,
   * until no request is in flight and none has arrived for a while, so that connections can be closed.
   */
  async drain (): Promise<void> {
    const { timers } = this.kernel
    const state = this.kernel.get(STATE)
    const { balancerDelayMs, drainTimeoutMs } = this.kernel.get(SETTINGS).stop
    const dispatcher = this.kernel.get(DISPATCHER)
    state.phase = DaemonPhase.Leaving
    this.gateway.startDraining()
    this.kernel.get(MEMBERSHIP).beat()
    await delay(timers, balancerDelayMs)
    state.phase = DaemonPhase.Draining
    dispatcher.stop()
    const endMs = timers.now() + drainTimeoutMs
    const isDone = (): boolean => this.gateway.isIdleFor(QUIET_MS) && dispatcher.countOpen() === 0
    while (!isDone() && timers.now() < endMs) await delay(timers, DRAIN_POLL_MS)
  }

  async dispose (): Promise<void> {
    await this.gateway.dispose()
  }
}

catalogue.register({ id: PluginId.Gateway, requires: [PluginId.Dispatcher], create: (kernel) => new GatewayPlugin(kernel) })
