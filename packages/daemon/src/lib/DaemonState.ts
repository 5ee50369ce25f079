/**
 * Identity, phase and addresses of the daemon, which the plug-ins share and the operations port shows.
 */
import type { Address } from '@vanillathread/model'

/** Phases of a daemon from its start to its stop. @public */
export enum DaemonPhase {
  Starting = 'starting',
  Serving = 'serving',
  /** Still serving, until the load balancer has detected that the daemon is not ready. */
  Leaving = 'leaving',
  /** Finishing requests in flight. New requests are refused and marked as not run. */
  Draining = 'draining',
}

/** Mutable state shared by plug-ins. @public */
export class DaemonState {
  phase = DaemonPhase.Starting
  /** Addresses that the listeners are bound to, by name of the listener. */
  readonly addresses = new Map<string, Address>()

  private constructor (readonly daemonId: string, private currentIncarnation: number) {}

  static create (options: { daemonId: string, incarnation: number }): DaemonState {
    return new DaemonState(options.daemonId, options.incarnation)
  }

  /** Time of this start of the daemon in seconds, raised if necessary so that it is higher than that of every earlier start. */
  get incarnation (): number {
    return this.currentIncarnation
  }

  /** Raises the incarnation above that of an earlier start. Must be called before anything is sent to peers. */
  raiseIncarnationAbove (earlierIncarnation: number): void {
    this.currentIncarnation = Math.max(this.currentIncarnation, earlierIncarnation + 1)
  }

  /** Daemon id and incarnation, which together identify one process. */
  get instanceId (): string {
    return `${this.daemonId}:${this.incarnation}`
  }

  /** True if the load balancer may send requests to this daemon. */
  get isReady (): boolean {
    return this.phase === DaemonPhase.Serving
  }
}
