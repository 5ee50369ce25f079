/**
 * The configuration in force in this daemon, taken from the platform or from peers.
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

/** Called with each configuration that enters into force. @public */
export type ConfigurationListener = (configuration: ActiveConfiguration) => void

/** Options of {@link ConfigurationStore.create}. */
export interface ConfigurationStoreOptions {
  readonly platform: Platform
  readonly network: PeerNetwork
  readonly timers: TimerService
  readonly log: EventLog
  readonly metrics: Metrics
}

/** Time for which an answer of a peer is awaited. */
const PEER_ANSWER_TIMEOUT_MS = 1_000

/** Follows the accepted configuration. */
export class ConfigurationStore {
  private readonly gate = VersionGate.create()
  private readonly listeners: ConfigurationListener[] = []
  /** Chunks and manifest in force, which peers may ask for. */
  private objects = new Map<string, Uint8Array>()
  /** Objects of the latest announcement, which count only where their digests are referred to. */
  private announced: ReadonlyMap<string, Uint8Array> = new Map()
  private readonly awaitedObjects = new Map<string, (bytes: Uint8Array) => void>()
  private readonly headSources: Address[] = []
  private active: ActiveConfiguration | undefined
  private wanted: ConfigurationHead | undefined
  private fetching = false
  private platformFailing = false
  private subscription: Subscription | undefined

  private constructor (private readonly options: ConfigurationStoreOptions) {}

  static create (options: ConfigurationStoreOptions): ConfigurationStore {
    return new ConfigurationStore(options)
  }

  /** Starts to follow the head. Resolves after the first look, whether or not there is a configuration. */
  async start (): Promise<void> {
    const { network, timers } = this.options
    network.on(PeerMessageKind.ObjectRequest, (message, reply) => reply(this.answerObjects(message)))
    network.on(PeerMessageKind.Objects, (message) => this.takeInObjects(message))
    this.subscription = timers.every(configurationOptions.headPeriodMs, () => { this.pollHead() })
    await this.pollHead()
  }

  /** The configuration in force, if there is one. */
  get current (): ActiveConfiguration | undefined {
    return this.active
  }

  /** Calls back with the configuration in force, and with each later one. */
  subscribe (listener: ConfigurationListener): void {
    this.listeners.push(listener)
    if (this.active !== undefined) listener(this.active)
  }

  getHead (): ConfigurationHead | undefined {
    return this.active?.head
  }

  getVersionInForce (): number {
    return this.gate.inForce
  }

  /** Takes in the head that a peer has in force. */
  noteHead (head: ConfigurationHead, peer: Address): void {
    if (!this.gate.isNewer(head.version)) return
    this.headSources.unshift(peer)
    this.headSources.length = Math.min(this.headSources.length, MAX_HEAD_SOURCES)
    this.want(head)
  }

  /**
   * Takes in an accepted head with its objects from the operator who applied it, so that it spreads
   * even where the platform fails right after it was accepted.
   */
  announce (head: ConfigurationHead, objects: ReadonlyMap<string, Uint8Array>): void {
    if (!this.gate.isNewer(head.version)) return
    this.announced = objects
    this.want(head)
  }

  dispose (): void {
    this.subscription?.dispose()
  }

  private async pollHead (): Promise<void> {
    const res = await readConfigurationHead(this.options.platform)
    this.notePlatform(res.ok)
    if (res.ok && this.gate.isNewer(res.value.head.version)) await this.want(res.value.head)
  }

  private notePlatform (works: boolean): void {
    if (works === !this.platformFailing) return
    this.platformFailing = !works
    this.options.log.write(works ? EventCode.PlatformRecovered : EventCode.PlatformUnavailable, { call: 'read head' })
  }

  /** Fetches the highest version heard of until it is in force. */
  private async want (head: ConfigurationHead): Promise<void> {
    if (this.wanted === undefined || head.version > this.wanted.version) this.wanted = head
    if (this.fetching) return
    this.fetching = true
    while (this.wanted !== undefined && this.wanted.version > this.gate.inForce) {
      const target = this.wanted
      const res = await assembleBundle(target.manifestDigest, (digest) => this.getObject(digest))
      if (res.ok) this.enter(target, res.value)
      else await this.onFetchFailed(target, res.error)
    }
    this.fetching = false
  }

  private async onFetchFailed (head: ConfigurationHead, code: ResultCode): Promise<void> {
    this.options.log.write(EventCode.ConfigurationRejected, { version: head.version, code })
    await delay(this.options.timers, configurationOptions.fetchRetryMs)
  }

  /** Looks in memory, then in the object store, then at peers that have a higher version in force. */
  private async getObject (digest: string): Promise<Result<Uint8Array, ResultCode>> {
    const known = this.objects.get(digest) ?? this.announced.get(digest)
    if (known !== undefined && getDigest(known) === digest) return Result.ok(known)
    const res = await this.options.platform.objects.get(digest)
    if (res.ok && res.value !== undefined && getDigest(res.value) === digest) return Result.ok(res.value)
    for (const peer of this.headSources) {
      const bytes = await this.askPeer(peer, digest)
      if (bytes !== undefined) return Result.ok(bytes)
    }
    return Result.err(ResultCode.PlatformUnavailable)
  }

  private askPeer (peer: Address, digest: string): Promise<Uint8Array | undefined> {
    return new Promise((resolve) => {
      const timer = this.options.timers.after(PEER_ANSWER_TIMEOUT_MS, () => {
        this.awaitedObjects.delete(digest)
        resolve(undefined)
      })
      this.awaitedObjects.set(digest, (bytes) => {
        timer.dispose()
        this.awaitedObjects.delete(digest)
        this.options.log.write(EventCode.ConfigurationFromPeer, { digest })
        resolve(bytes)
      })
      this.options.network.send(peer, { kind: PeerMessageKind.ObjectRequest, digests: [digest] })
    })
  }

  private answerObjects (message: PeerMessageOf<PeerMessageKind.ObjectRequest>): PeerMessageOf<PeerMessageKind.Objects> {
    const objects = message.digests.flatMap((digest) => {
      const bytes = this.objects.get(digest)
      return bytes === undefined ? [] : [{ digest, bytes: Uint8Array.from(bytes) }]
    })
    return { kind: PeerMessageKind.Objects, objects }
  }

  private takeInObjects (message: PeerMessageOf<PeerMessageKind.Objects>): void {
    for (const { digest, bytes } of message.objects) {
      if (getDigest(bytes) === digest) this.awaitedObjects.get(digest)?.(bytes)
    }
  }

  private enter (head: ConfigurationHead, loaded: AssembledBundle): void {
    if (!this.gate.enter(head.version)) return
    this.active = { head, declarations: loaded.declarations }
    this.objects = loaded.objects
    this.announced = new Map()
    this.options.log.write(EventCode.ConfigurationInForce, { version: head.version })
    this.options.metrics.gauge('configuration.version', head.version)
    for (const listener of this.listeners) listener(this.active)
  }
}

const MAX_HEAD_SOURCES = 4
