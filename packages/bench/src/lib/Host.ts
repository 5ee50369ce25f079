/**
 * A process that a bench has started.
 */
import { fork, type ChildProcess } from 'node:child_process'
import type { HostAnswer, HostCommand, HostRole } from './hostProtocol.js'

const FILES: Readonly<Record<HostRole, string>> = {
  platform: '../hosts/platformHost.js',
  endpoints: '../hosts/endpointHost.js',
  daemons: '../hosts/daemonHost.js',
  callers: '../hosts/callerHost.js',
}

/** A started process with its commands. */
export class Host {
  private readonly waiting = new Map<number, { resolve (value: unknown): void, reject (err: Error): void }>()
  private nextId = 1

  private constructor (private readonly child: ChildProcess) {
    child.on('message', (answer: HostAnswer) => this.onAnswer(answer))
    child.on('exit', () => this.onExit())
  }

  static start (role: HostRole): Host {
    return new Host(fork(new URL(FILES[role], import.meta.url), { serialization: 'advanced' }))
  }

  /** Runs a command in the process. */
  call<T> (name: string, argument: unknown = undefined): Promise<T> {
    const command: HostCommand = { id: this.nextId++, name, argument }
    return new Promise<T>((resolve, reject) => {
      this.waiting.set(command.id, { resolve: resolve as (value: unknown) => void, reject })
      this.child.send(command)
    })
  }

  dispose (): void {
    this.child.kill('SIGKILL')
  }

  private onAnswer (answer: HostAnswer): void {
    const waiting = this.waiting.get(answer.id)
    this.waiting.delete(answer.id)
    if (answer.error !== undefined) waiting?.reject(new Error(answer.error))
    else waiting?.resolve(answer.value)
  }

  private onExit (): void {
    for (const { reject } of this.waiting.values()) reject(new Error('host process ended'))
    this.waiting.clear()
  }
}
