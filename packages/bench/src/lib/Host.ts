/**
 * A child process of a bench.
 */
import { fork, type ChildProcess } from 'node:child_process'
import type { HostAnswer, HostCommand, HostRole } from './hostProtocol.js'

const FILES: Readonly<Record<HostRole, string>> = {
  platform: '../hosts/platformHost.js',
  endpoints: '../hosts/endpointHost.js',
  daemons: '../hosts/daemonHost.js',
  callers: '../hosts/callerHost.js',
}

/** A started child process that carries out commands. */
export class Host {
  private readonly pendingCalls = new Map<number, { resolve (value: unknown): void, reject (err: Error): void }>()
  private nextId = 1

  private constructor (private readonly child: ChildProcess) {
    child.on('message', (answer: HostAnswer) => this.onAnswer(answer))
    child.on('exit', () => this.onExit())
  }

  static start (role: HostRole): Host {
    return new Host(fork(new URL(FILES[role], import.meta.url), { serialization: 'advanced' }))
  }

  /** Runs a command in the process and returns its result. */
  call<T> (name: string, argument: unknown = undefined): Promise<T> {
    const command: HostCommand = { id: this.nextId++, name, argument }
    return new Promise<T>((resolve, reject) => {
      this.pendingCalls.set(command.id, { resolve: resolve as (value: unknown) => void, reject })
      this.child.send(command)
    })
  }

  dispose (): void {
    this.child.kill('SIGKILL')
  }

  private onAnswer (answer: HostAnswer): void {
    const pendingCall = this.pendingCalls.get(answer.id)
    this.pendingCalls.delete(answer.id)
    if (answer.error !== undefined) pendingCall?.reject(new Error(answer.error))
    else pendingCall?.resolve(answer.value)
  }

  private onExit (): void {
    for (const { reject } of this.pendingCalls.values()) reject(new Error('host process ended'))
    this.pendingCalls.clear()
  }
}
