/**
 * A process that the soak starts. It is ended by its id, at the latest when the soak exits.
 */
import { spawn, type ChildProcess } from 'node:child_process'
import { openSync, closeSync } from 'node:fs'

/** Options of {@link SoakProcess.create}. */
export interface SoakProcessOptions {
  /** Arguments of node. */
  readonly args: readonly string[]
  readonly env?: Readonly<Record<string, string>>
  /** File to which the output is appended. */
  readonly logPath: string
  /** Opens an IPC channel and is called with each message of the process. */
  readonly onMessage?: (message: unknown) => void
}

/** Processes that have not exited. */
const running = new Set<ChildProcess>()

process.on('exit', () => { for (const child of running) child.kill('SIGKILL') })

/** A program that can be started again after it has exited. */
export class SoakProcess {
  private child?: ChildProcess
  private exited: Promise<void> = Promise.resolve()

  private constructor (private readonly options: SoakProcessOptions) {}

  static create (options: SoakProcessOptions): SoakProcess {
    return new SoakProcess(options)
  }

  get isRunning (): boolean {
    return this.child !== undefined
  }

  /** Id of the running process. */
  get pid (): number | undefined {
    return this.child?.pid
  }

  start (): void {
    if (this.child !== undefined) return
    const { args, env, logPath, onMessage } = this.options
    const log = openSync(logPath, 'a')
    const child = spawn(process.execPath, args, {
      env: { PATH: process.env['PATH'], ...env },
      stdio: onMessage === undefined ? ['ignore', log, log] : ['ignore', log, log, 'ipc'],
    })
    closeSync(log)
    if (onMessage !== undefined) child.on('message', onMessage)
    this.child = child
    running.add(child)
    this.exited = new Promise((resolve) => {
      child.once('exit', () => {
        running.delete(child)
        this.child = undefined
        resolve()
      })
    })
  }

  /** Sends a message over the IPC channel. */
  send (message: object): void {
    if (this.child?.connected === true) this.child.send(message)
  }

  signal (name: NodeJS.Signals): void {
    this.child?.kill(name)
  }

  /** Waits for the exit. Kills the process after the time limit, if there is one. */
  async waitForExit (limitMs?: number): Promise<void> {
    const timer = limitMs === undefined ? undefined : setTimeout(() => this.signal('SIGKILL'), limitMs)
    await this.exited
    clearTimeout(timer)
  }

  async kill (): Promise<void> {
    this.signal('SIGKILL')
    await this.exited
  }
}
