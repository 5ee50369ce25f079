/**
 * Runs a test body with a local cluster, and counts the runs of a request in it.
 */
import { LocalCluster, type LocalClusterOptions } from './LocalCluster.js'

/** Creates a cluster, runs the body and disposes of the cluster, also if the body throws. */
export async function withCluster (options: LocalClusterOptions, body: (cluster: LocalCluster) => Promise<void>): Promise<void> {
  const cluster = await LocalCluster.create(options)
  try {
    await body(cluster)
  } finally {
    await cluster.dispose()
  }
}

/** Returns how often the endpoints have run the request with this token. */
export function countRuns (cluster: LocalCluster, token: string): number {
  return cluster.endpoints.flatMap((endpoint) => endpoint.runs).filter((run) => run.token === token).length
}
