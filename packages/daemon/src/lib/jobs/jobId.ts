/**
 * Ids of jobs, which clients choose.
 */

const JOB_ID = /^[0-9a-f]{16}$/

/** Returns true if the text is the id of a job. */
export function isJobId (text: string): boolean {
  return JOB_ID.test(text)
}

/** Returns the id of the job at the end of a client's path, or undefined if the path does not end with one. */
export function findJobId (path: string): string | undefined {
  const last = path.slice(path.lastIndexOf('/') + 1)
  return isJobId(last) ? last : undefined
}
