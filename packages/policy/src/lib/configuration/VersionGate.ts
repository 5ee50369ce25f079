/**
 * Keeps the version in force from ever going back.
 */

/** Configuration version that a daemon has in force. @public */
export class VersionGate {
  private inForceVersion = 0

  private constructor () {}

  static create (): VersionGate {
    return new VersionGate()
  }

  /** Version in force. */
  get inForce (): number {
    return this.inForceVersion
  }

  /** Returns true where a version is higher than the one in force. */
  isNewer (version: number): boolean {
    return version > this.inForceVersion
  }

  /** Puts a version in force. @returns false where a higher or equal one already is. */
  enter (version: number): boolean {
    if (version <= this.inForceVersion) return false
    this.inForceVersion = version
    return true
  }
}
