/**
 * Messages between a bench and the processes that it starts.
 */

/** Roles of the bench's processes. */
export enum HostRole {
  Platform = 'platform',
  Endpoints = 'endpoints',
  Daemons = 'daemons',
  Callers = 'callers',
}

/** A command to a host. */
export interface HostCommand {
  readonly id: number
  readonly name: string
  readonly argument: unknown
}

/** The answer to a command. */
export interface HostAnswer {
  readonly id: number
  readonly value?: unknown
  readonly error?: string
}

/** Functions of a host by command name. */
export type HostFunctions = Readonly<Record<string, (argument: never) => unknown>>

/** Carries out commands from the bench; the process exits when the bench disconnects. */
export function serveCommands (functions: HostFunctions): void {
  process.on('message', async (command: HostCommand) => {
    const answer = await execute(functions, command)
    process.send?.(answer)
  })
  process.on('disconnect', () => process.exit(0))
}

async function execute (functions: HostFunctions, command: HostCommand): Promise<HostAnswer> {
  try {
    const run = functions[command.name]
    if (run === undefined) throw new Error(`unknown command ${command.name}`)
    return { id: command.id, value: await run(command.argument as never) }
  } catch (err) {
    return { id: command.id, error: String(err) }
  }
}
