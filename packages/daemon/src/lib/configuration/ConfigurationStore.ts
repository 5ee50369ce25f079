/**
 * The configuration in force in this daemon, which comes from the platform, from peers or from the operator who applied it.
 */
import { delay, type EventLog, type Metrics, type Subscription, type TimerService } from '@vanillathread/kernel'
import {
  assembleBundle, EventCode, getDigest, Result, ResultCode,
  type Address, type AssembledBundle, type ConfigurationHead, type Declarations,
} from '@vanillathread/model'
import { readConfigurationHead, type Platform } from '@vanillathread/ports'
import { VersionGate } from '@vanillathread/policy'
import { configurationOptions } from '../options.js'
import { PeerMessageKind, type PeerMessageOf } from '../peer/messages.js'
import type { PeerNetwork } from '../peer/PeerNetwork.js'

/** A configuration in force. @public */
export interface ActiveConfiguration {
  readonly head: ConfigurationHead
  readonly declarations: Declarations
}

/** Called with each configuration that comes into force. @public */
export type ConfigurationListener = (configuration: ActiveConfiguration) => void

/** Options of {@link ConfigurationStore.create}. */
export interface ConfigurationStoreOptions {
  readonly platform: Platform
  readonly network: PeerNetwork
  readonly timers: TimerService
  readonly log: EventLog
  readonly metrics: Metrics
}

/** Longest wait for an object from a peer. */
const PEER_ANSWER_TIMEOUT_MS = 1_000

/** Fetches the newest accepted configuration and puts it in force. */
export class ConfigurationStore {
  private readonly gate = VersionGate.create()
  private readonly listeners: ConfigurationListener[] = []
  /** Chunks and manifest of the configuration in force by digest, which peers may request. */
  private objects = new Map<string, Uint8Array>()
  /** Objects of the latest announcement by digest. An object is used only if a head or manifest refers to its digest. */
  private announced: ReadonlyMap<string, Uint8Array> = new Map()
  /** Callbacks of the object requests that wait for a peer's answer, by digest. */
  private readonly pendingObjects = new Map<string, (bytes: Uint8Array) => void>()
  /** Peers that last sent a newer head, the latest first. */
  private readonly newerPeers: Address[] = []
  private active: ActiveConfiguration | undefined
  /** Head with the highest version received so far. */
  private newestHead: ConfigurationHead | undefined
  /** True while {@link ConfigurationStore.fetchNewest} is fetching. Further calls then only set the newest head. */
  private fetching = false
  /** True if the last read of the head row failed. */
  private platformFailing = false
  private subscription: Subscription | undefined

  private constructor (private readonly options: ConfigurationStoreOptions) {}

  static create (options: ConfigurationStoreOptions): ConfigurationStore {
    return new ConfigurationStore(options)
  }

  /** Starts to poll the head row. Resolves after the first poll, even if there is no configuration yet. */
  async start (): Promise<void> {
    const { network, timers } = this.options
    network.on(PeerMessageKind.ObjectRequest, (message, reply) => reply(this.createObjectsAnswer(message)))
    network.on(PeerMessageKind.Objects, (message) => this.receiveObjects(message))
    this.subscription = timers.every(configurationOptions.headPollPeriodMs, () => { this.pollHead() })
    await this.pollHead()
  }

  /** The configuration in force, if there is one. */
  get current (): ActiveConfiguration | undefined {
    return this.active
  }

  /** Calls the listener with the configuration in force, if there is one, and with each later one. */
  subscribe (listener: ConfigurationListener): void {
    this.listeners.push(listener)
    if (this.active !== undefined) listener(this.active)
  }

  getHead (): ConfigurationHead | undefined {
    return this.active?.head
  }

  /** Returns the version in force, or 0 if there is none. */
  getVersionInForce (): number {
    return this.gate.inForce
  }

  /** Receives the head that a peer has in force, and fetches its configuration if its version is higher than the one in force here. */
  receiveHead (head: ConfigurationHead, peer: Address): void {
    if (!this.gate.isNewer(head.version)) return
    this.newerPeers.unshift(peer)
    this.newerPeers.length = Math.min(this.newerPeers.length, MAX_NEWER_PEERS)
    this.fetchNewest(head)
  }

  /**
   * Receives an accepted head and its objects from the operator who applied it, so that the configuration
   * reaches the daemons even if the platform fails right after accepting it.
   */
  announce (head: ConfigurationHead, objects: ReadonlyMap<string, Uint8Array>): void {
    if (!this.gate.isNewer(head.version)) return
    this.announced = objects
    this.fetchNewest(head)
  }

  dispose (): void {
    this.subscription?.dispose()
  }

  private async pollHead (): Promise<void> {
    const res = await readConfigurationHead(this.options.platform)
    this.recordPlatformState(res.ok)
    if (res.ok && this.gate.isNewer(res.value.head.version)) await this.fetchNewest(res.value.head)
  }

  /** Logs when the platform becomes unavailable and when it is available again. */
  private recordPlatformState (isAvailable: boolean): void {
    if (isAvailable === !this.platformFailing) return
    this.platformFailing = !isAvailable
    this.options.log.write(isAvailable ? EventCode.PlatformRecovered : EventCode.PlatformUnavailable, { call: 'read head' })
  }

  /** Fetches the highest version received so far, and retries until that version or a higher one is in force. */
  private async fetchNewest (head: ConfigurationHead): Promise<void> {
    if (this.newestHead === undefined || head.version > this.newestHead.version) this.newestHead = head
    if (this.fetching) return
    this.fetching = true
    while (this.newestHead !== undefined && this.newestHead.version > this.gate.inForce) {
      const target = this.newestHead
      const failure = await this.fetch(target)
      if (failure === undefined) continue
      this.options.log.write(EventCode.ConfigurationRejected, { version: target.version, ...failure })
      await delay(this.options.timers, configurationOptions.fetchRetryMs)
    }
    this.fetching = false
  }

  /** Fetches a version and puts it in force. Returns why that failed, or undefined. */
  private async fetch (head: ConfigurationHead): Promise<{ code: ResultCode } | { reason: string } | undefined> {
    try {
      const res = await assembleBundle(head.manifestDigest, (digest) => this.getObject(digest))
      if (!res.ok) return { code: res.error }
      this.putInForce(head, res.value)
      return undefined
    } catch (err) {
      return { reason: String(err) }
    }
  }

  /** Returns an object from memory, from the object store, or from a peer that has sent a newer head, in this order. */
  private async getObject (digest: string): Promise<Result<Uint8Array, ResultCode>> {
    const known = this.objects.get(digest) ?? this.announced.get(digest)
    if (known !== undefined && getDigest(known) === digest) return Result.ok(known)
    const res = await this.options.platform.objects.get(digest)
    if (res.ok && res.value !== undefined && getDigest(res.value) === digest) return Result.ok(res.value)
    for (const peer of this.newerPeers) {
      const bytes = await this.fetchFromPeer(peer, digest)
      if (bytes !== undefined) return Result.ok(bytes)
    }
    return Result.err(ResultCode.PlatformUnavailable)
  }

  private fetchFromPeer (peer: Address, digest: string): Promise<Uint8Array | undefined> {
    return new Promise((resolve) => {
      const timer = this.options.timers.after(PEER_ANSWER_TIMEOUT_MS, () => {
        this.pendingObjects.delete(digest)
        resolve(undefined)
      })
      this.pendingObjects.set(digest, (bytes) => {
        timer.dispose()
        this.pendingObjects.delete(digest)
        this.options.log.write(EventCode.ConfigurationFromPeer, { digest })
        resolve(bytes)
      })
      this.options.network.send(peer, { kind: PeerMessageKind.ObjectRequest, digests: [digest] })
    })
  }

  private createObjectsAnswer (message: PeerMessageOf<PeerMessageKind.ObjectRequest>): PeerMessageOf<PeerMessageKind.Objects> {
    const objects = message.digests.flatMap((digest) => {
      const bytes = this.objects.get(digest)
      return bytes === undefined ? [] : [{ digest, bytes: Uint8Array.from(bytes) }]
    })
    return { kind: PeerMessageKind.Objects, objects }
  }

  private receiveObjects (message: PeerMessageOf<PeerMessageKind.Objects>): void {
    for (const { digest, bytes } of message.objects) {
      if (getDigest(bytes) === digest) this.pendingObjects.get(digest)?.(bytes)
    }
  }

  private putInForce (head: ConfigurationHead, loaded: AssembledBundle): void {
    if (!this.gate.putInForce(head.version)) return
    this.active = { head, declarations: loaded.declarations }
    this.objects = loaded.objects
    this.announced = new Map()
    this.options.log.write(EventCode.ConfigurationInForce, { version: head.version })
    this.options.metrics.gauge('configuration.version', head.version)
    for (const listener of this.listeners) this.notify(listener, this.active)
  }

  /** Calls a listener. An error in one must not keep the version from the others. */
  private notify (listener: ConfigurationListener, active: ActiveConfiguration): void {
    try {
      listener(active)
    } catch (err) {
      this.options.log.write(EventCode.HandlerFailed, { operation: 'apply configuration', version: active.head.version, reason: String(err) })
    }
  }
}

const MAX_NEWER_PEERS = 4
