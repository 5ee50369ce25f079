/**
 * Keeps the version in force from ever going back.
 */

/** Highest configuration version that a daemon has seen and that it has in force. @public */
export class VersionGate {
  private seenVersion = 0
  private inForceVersion = 0

  private constructor () {}

  static create (): VersionGate {
    return new VersionGate()
  }

  /** Highest version heard of. */
  get seen (): number {
    return this.seenVersion
  }

  /** Version in force. */
  get inForce (): number {
    return this.inForceVersion
  }

  /** Notes a version heard of. @returns true where it is higher than the one in force. */
  observe (version: number): boolean {
    this.seenVersion = Math.max(this.seenVersion, version)
    return version > this.inForceVersion
  }

  /** Puts a version in force. @returns false where a higher or equal one already is. */
  enter (version: number): boolean {
    if (version <= this.inForceVersion) return false
    this.seenVersion = Math.max(this.seenVersion, version)
    this.inForceVersion = version
    return true
  }
}
