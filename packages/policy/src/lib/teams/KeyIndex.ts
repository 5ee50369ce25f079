/**
 * Index of the API keys of one version of the configuration.
 */
import { createHash } from 'node:crypto'
import type { TeamRules } from '@vanillathread/model'

/**
 * Finds the team that holds a key. Keys are looked up by their SHA-256 digest, so that the time of a lookup reveals nothing about
 * how much of a guessed key is right.
 * @public
 */
export class KeyIndex {
  private readonly teamsByDigest = new Map<string, string>()

  private constructor (teams: readonly TeamRules[]) {
    for (const { name, keys } of teams) {
      for (const key of keys) {
        const digest = getDigest(key)
        if (!this.teamsByDigest.has(digest)) this.teamsByDigest.set(digest, name)
      }
    }
  }

  /** Indexes the keys of the teams. A key that several teams hold belongs to the first of them. */
  static create (teams: readonly TeamRules[]): KeyIndex {
    return new KeyIndex(teams)
  }

  /** Returns the name of the team that holds the key, or undefined if none does. */
  findTeam (key: string): string | undefined {
    return this.teamsByDigest.get(getDigest(key))
  }
}

function getDigest (key: string): string {
  return createHash('sha256').update(key).digest('base64')
}
