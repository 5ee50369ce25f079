/**
 * A worker that goes down and up by turns.
 */
import { setTimeout as sleep } from 'node:timers/promises'

/** Period and duration of the flapping, as in the list of troubles of nmg-padana-grown. */
const PERIOD_MS = 1_400
export const FLAPPING_MS = 6_500

/** A row is removed after three heartbeat intervals of silence. */
const ROW_EXPIRES_MS = 4_500

/** Takes a machine's worker down and up again. Each life has an id of its own. */
export async function flap (cluster, first) {
  const endMs = performance.now() + FLAPPING_MS
  let worker = first
  for (let life = 2; performance.now() + PERIOD_MS <= endMs; life++) {
    worker.crash()
    cluster.log(`${worker.id} on ${worker.machine} goes down`)
    const { id } = worker
    setTimeout(() => cluster.remove(id), ROW_EXPIRES_MS)
    await sleep(PERIOD_MS / 2)
    worker = await cluster.addWorker(`${first.id}-${life}`, { machine: first.machine, rack: first.rack, capacity: first.capacity })
    cluster.log(`${worker.id} on ${worker.machine} is up`)
    await sleep(PERIOD_MS / 2)
  }
}
