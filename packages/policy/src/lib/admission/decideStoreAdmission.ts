/**
 * Decides whether a request that needs the store is tried or refused at once.
 *
 * This answers the requests that arrive while the store is silent: each of them would wait for its time limit and end with an
 * unknown outcome. One at a time is tried, so that the end of the silence is noticed without sending all of them.
 */

/** What becomes of a request that needs the store. @public */
export enum StoreAdmission {
  /** The request is carried out. */
  Admit = 'admit',
  /** The request is carried out to find out whether the store answers again. */
  Probe = 'probe',
  /** The request is refused before anything of it is sent. */
  Refuse = 'refuse',
}

/** Inputs of {@link decideStoreAdmission}. @public */
export interface StoreState {
  /** True from the time at which requests were given up until the store answers on any path. */
  readonly isSilent: boolean
  /** True while a request waits that was sent to find out whether the store answers again. */
  readonly isProbing: boolean
}

/** Decides on a request that has just arrived. @public */
export function decideStoreAdmission ({ isSilent, isProbing }: StoreState): StoreAdmission {
  if (!isSilent) return StoreAdmission.Admit
  return isProbing ? StoreAdmission.Refuse : StoreAdmission.Probe
}
