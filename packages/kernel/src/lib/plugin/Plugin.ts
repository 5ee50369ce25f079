/**
 * Plug-ins of the daemon and how they register themselves.
 */
import type { Kernel } from './Kernel.js'

/** One concern of the daemon. @public */
export interface Plugin {
  /** Acquires what the plug-in needs. Throws where it cannot; the kernel then stops what has started. */
  start? (): Promise<void>
  /** Refuses new work and waits for what is in flight. */
  drain? (): Promise<void>
  /** Releases everything. */
  dispose? (): Promise<void> | void
}

/** How a plug-in is found, ordered and built. @public */
export interface PluginDefinition {
  readonly id: string
  /** Ids of plug-ins that start before this one and stop after it. */
  readonly requires: readonly string[]
  create (kernel: Kernel): Plugin
}

/** The plug-ins that have registered themselves. @public */
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

  /** Returns the definitions so that each comes after everything it requires. */
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
