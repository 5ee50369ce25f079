/**
 * What the daemon says of itself on the operations port.
 */
import type { Address } from '@vanillathread/model'

/** Phases of a daemon's life. @public */
export enum DaemonPhase {
  Starting = 'starting',
  Serving = 'serving',
  /** Still serving, while the balancer notices that the daemon is not ready. */
  Leaving = 'leaving',
  /** Finishing requests in flight; new ones are refused as not run. */
  Draining = 'draining',
}

/** Mutable state shared by plug-ins. @public */
export class DaemonState {
  phase = DaemonPhase.Starting
  /** Addresses as bound, by name of the listener. */
  readonly addresses = new Map<string, Address>()

  private constructor (readonly daemonId: string, private currentIncarnation: number) {}

  static create (options: { daemonId: string, incarnation: number }): DaemonState {
    return new DaemonState(options.daemonId, options.incarnation)
  }

  /** Grows with each start of the daemon. */
  get incarnation (): number {
    return this.currentIncarnation
  }

  /** Passes over the incarnation of an earlier start that the table still knows. Only before anything is sent. */
  passOver (earlier: number): void {
    this.currentIncarnation = Math.max(this.currentIncarnation, earlier + 1)
  }

  /** Daemon and incarnation, which names one process. */
  get instanceId (): string {
    return `${this.daemonId}:${this.incarnation}`
  }

  get isReady (): boolean {
    return this.phase === DaemonPhase.Serving
  }
}
