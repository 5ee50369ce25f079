/**
 * Ensures that the configuration version in force never decreases.
 */

/** The configuration version in force at a daemon, which can only increase. @public */
export class VersionGate {
  private inForceVersion = 0

  private constructor () {}

  static create (): VersionGate {
    return new VersionGate()
  }

  /** Version in force; 0 if none is in force yet. */
  get inForce (): number {
    return this.inForceVersion
  }

  /** Returns true if a version is higher than the one in force. */
  isNewer (version: number): boolean {
    return version > this.inForceVersion
  }

  /** Puts a version in force. @returns false if an equal or higher version is in force already. */
  putInForce (version: number): boolean {
    if (version <= this.inForceVersion) return false
    this.inForceVersion = version
    return true
  }
}
