/**
 * Plug-ins of the daemon, and the catalogue in which they register.
 */
import type { Kernel } from './Kernel.js'

/** One part of the daemon that the kernel starts and stops. @public */
export interface Plugin {
  /** Acquires resources. Throws if it cannot; the kernel then disposes of all plug-ins. */
  start? (): Promise<void>
  /** Refuses new work and waits for work in flight. */
  drain? (): Promise<void>
  /** Releases all resources. */
  dispose? (): Promise<void> | void
}

/** Registration of a plug-in: its id, its requirements and its constructor. @public */
export interface PluginDefinition {
  /** Unique id, which other plug-ins name in `requires`. */
  readonly id: string
  /** Ids of plug-ins that start before this one and stop after it. */
  readonly requires: readonly string[]
  create (kernel: Kernel): Plugin
}

/** The registered plug-ins. @public */
export class PluginCatalogue {
  private readonly definitions = new Map<string, PluginDefinition>()

  private constructor () {}

  static create (): PluginCatalogue {
    return new PluginCatalogue()
  }

  register (definition: PluginDefinition): void {
    if (this.definitions.has(definition.id)) throw new Error(`plug-in ${definition.id} is registered twice`)
    this.definitions.set(definition.id, definition)
  }

  /** Returns the definitions, each after all that it requires. Throws if one is missing or requires itself through others. */
  listInStartOrder (): PluginDefinition[] {
    const ordered: PluginDefinition[] = []
    const visiting = new Set<string>()
    const visit = (id: string): void => {
      const definition = this.definitions.get(id)
      if (definition === undefined) throw new Error(`plug-in ${id} is required and not registered`)
      if (ordered.includes(definition)) return
      if (visiting.has(id)) throw new Error(`plug-in ${id} requires itself`)
      visiting.add(id)
      for (const required of definition.requires) visit(required)
      ordered.push(definition)
    }
    for (const id of this.definitions.keys()) visit(id)
    return ordered
  }
}
