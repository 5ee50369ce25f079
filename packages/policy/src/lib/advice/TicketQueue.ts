/**
 * Decides for which steps tickets are requested next.
 *
 * This answers a load of more steps than the admission service can decide within the validity of a ticket. A request is chosen only when the
 * service is about to be free for it, so no ticket ages while its request waits here, and no request is sent for a step that has
 * meanwhile started or ended. Steps whose tickets expire unused take turns and get at most every second request, so that steps that
 * cannot start for another reason, such as gangs that find no room together, do not keep tickets from the others.
 */

/** A step that wants tickets. @public */
export interface TicketDemand {
  /** Name of the step. */
  readonly name: string
  /** True if the step has no ticket, and a task of it would find room. */
  readonly isStartable: boolean
  /** Time at which tickets of the step last arrived; undefined if none did. */
  readonly answeredAtMs: number | undefined
}

/** The steps that want tickets at present. @public */
export class TicketQueue<T extends TicketDemand> {
  private readonly names = new Set<string>()
  /** In the order of placement. */
  private first: T[] = []
  private again: T[] = []
  /** Steps that cannot start now, in the order of placement: tickets are requested ahead, or for further VMs. */
  private ahead: T[] = []
  private wasAgain = false

  private constructor () {}

  static create<T extends TicketDemand> (): TicketQueue<T> {
    return new TicketQueue()
  }

  get size (): number {
    return this.names.size
  }

  clear (): void {
    this.names.clear()
    this.first = []
    this.again = []
    this.ahead = []
  }

  /** Adds a step unless it was added. Steps are added in the order in which their tasks are placed. */
  add (step: T): void {
    if (this.names.has(step.name)) return
    this.names.add(step.name)
    if (!step.isStartable) this.ahead.push(step)
    else if (step.answeredAtMs === undefined) this.first.push(step)
    else this.again.push(step)
  }

  /** Removes and returns the step to request tickets for next. */
  take (): T | undefined {
    const isAgain = this.again.length > 0 && (this.first.length === 0 || !this.wasAgain)
    const step = isAgain ? this.takeLeastRecent() : this.first.shift() ?? this.ahead.shift()
    if (step === undefined) return undefined
    this.wasAgain = isAgain
    this.names.delete(step.name)
    return step
  }

  private takeLeastRecent (): T | undefined {
    const step = this.again.reduce((oldest, each) => (each.answeredAtMs ?? 0) < (oldest.answeredAtMs ?? 0) ? each : oldest)
    this.again = this.again.filter((each) => each !== step)
    return step
  }
}
