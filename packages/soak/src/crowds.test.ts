/**
 * Checks that a daemon process survives clients that do not behave (issue 56): it does not end, stays within the memory and the
 * descriptors of its VM, and answers an ordinary caller while the crowd is there and after it has gone.
 */
import { StoreFault } from '@vanillathread/stand-ins'
import { assert, describe } from '@vanillathread/testing'
import { CrowdRun, type Crowd, type CrowdResources } from './lib/crowds/CrowdRun.js'
import { announce, MAX_BODY_BYTES, sendAhead, sendChunks, sendUnfinishedFrame, sendUnfinishedHead, sendWhole, staySilent } from './lib/crowds/members.js'
import { createLargeJob, MANY_STEPS, MIXED_MEMBERS, playRandomCrowds } from './lib/crowds/playRandomCrowds.js'
import { QUEUE_HOST } from './lib/SoakCluster.js'

/** Less memory than the VMs of the users' standard days have (250 MB), and their smallest number of descriptors. */
const SMALL_MEMORY: CrowdResources = { memoryMb: 200, maxDescriptors: 4_100 }

const FEW_DESCRIPTORS: CrowdResources = { memoryMb: 200, maxDescriptors: 512 }

const SEED = 1

const KB = 1_024
const FOUR_MB = 4_000_000

/** As many header fields as Node reads. */
const MANY_FIELDS = Array.from({ length: 1_990 }, () => 'a: b')

function createSmallJob (): string {
  return JSON.stringify({ spec: '', steps: [{ count: 1, cpu: 100, 'mem-mb': 16 }] })
}

interface CrowdCase {
  readonly name: string
  readonly resources?: CrowdResources
  readonly crowds: readonly Crowd[]
}

const CASES: readonly CrowdCase[] = [
  // Guards against bodies that are each inside the limits, and together more than the memory.
  { name: '600 chunked bodies that stop short of the largest one', crowds: [{ members: 600, play: sendChunks(16 * KB, MAX_BODY_BYTES) }] },
  // Guards against reading a body beyond max-body-bytes.
  { name: '150 chunked bodies that stop short of 4 MB', crowds: [{ members: 150, play: sendChunks(16 * KB, FOUR_MB) }] },
  // Guards against reading a body whose announced length is beyond the limit.
  { name: '200 bodies announced with 4 MB', crowds: [{ members: 200, play: announce(FOUR_MB, 10_000) }] },
  // Guards against objects that take hundreds of times the bytes of the chunks that they stand for.
  { name: '60 bodies of 200,000 chunks of one byte', crowds: [{ members: 60, play: sendChunks(1, 200_000) }] },
  // Guards against reading on after a refusal.
  { name: '150 endless bodies', crowds: [{ members: 150, play: sendChunks(16 * KB, Infinity) }] },
  // Guards against objects and unread answers of requests ahead, of which one read holds thousands.
  { name: '150 clients that send 30,000 requests ahead', crowds: [{ members: 150, play: sendAhead(30_000, QUEUE_HOST), readsAnswers: false }] },
  // Guards against the same, where each request is answered at once.
  { name: '150 clients that send 30,000 requests ahead for no queue', crowds: [{ members: 150, play: sendAhead(30_000, 'none.example'), readsAnswers: false }] },
  // Guards against the same, where Node answers by itself.
  { name: '300 clients that send 30,000 requests ahead without a host', crowds: [{ members: 300, play: sendAhead(30_000, undefined), readsAnswers: false }] },
  // Guards against connections that leave no descriptor for VMs and the store.
  { name: '800 silent connections', resources: FEW_DESCRIPTORS, crowds: [{ members: 800, play: staySilent }] },
  // Guards against heads that never end.
  { name: '2,000 unfinished heads', crowds: [{ members: 2_000, play: sendUnfinishedHead(15 * KB) }] },
  // Guards against the processor time of checking and parsing a body inside the limits.
  { name: '300 whole bodies of 85,000 steps', crowds: [{ members: 300, play: sendWhole(() => MANY_STEPS, 1) }] },
  // Guards against messages between daemons that never end.
  { name: '40 unfinished messages between daemons', crowds: [{ members: 40, play: sendUnfinishedFrame(8 * KB * KB), server: 'peer' }] },
  // Guards against the same at the servers that are not for clients.
  {
    name: '200 silent connections to each of the other servers',
    resources: FEW_DESCRIPTORS,
    crowds: [{ members: 200, play: staySilent, server: 'peer' }, { members: 200, play: staySilent, server: 'metrics' }, { members: 200, play: staySilent, server: 'readiness' }],
  },
  // Guards against bodies at servers that need none.
  {
    name: '50 unfinished bodies to each of the other servers',
    crowds: [{ members: 50, play: sendChunks(16 * KB, FOUR_MB), server: 'metrics' }, { members: 50, play: sendChunks(16 * KB, FOUR_MB), server: 'readiness' }],
  },
  // Guards against a body whose type makes the framework read it, for a path that does not exist.
  {
    name: '150 unfinished bodies with a type to the metrics',
    crowds: [{ members: 150, play: sendChunks(16 * KB, KB * KB, ['Content-Type: text/plain']), server: 'metrics' }],
  },
  // Guards against limits that hold one by one and not together.
  { name: 'a mix of 400 clients', crowds: MIXED_MEMBERS.map((play) => ({ members: 40, play, readsAnswers: false })) },
]

describe('clients that do not behave (issue 56)', ({ describe }) => {
  for (const { name, resources = SMALL_MEMORY, crowds } of CASES) describeCrowd(name, resources, (run) => run.play(...crowds))

  // Guards against calls that pile up while the store does not answer.
  describeCrowd('300 whole jobs while the store is silent', SMALL_MEMORY, async (run) => {
    run.cluster.sendToStore({ kind: 'fault', fault: StoreFault.Unresponsive })
    await run.play({ members: 300, play: sendWhole(createLargeJob, 2) })
    run.cluster.sendToStore({ kind: 'fault', fault: StoreFault.None })
  })

  // Guards against the objects of header fields, of which a head of 16 KB may hold thousands.
  describeCrowd('200 clients with 2,000 header fields while the store is silent', SMALL_MEMORY, async (run) => {
    run.cluster.sendToStore({ kind: 'fault', fault: StoreFault.Unresponsive })
    await run.play({ members: 200, play: sendWhole(createSmallJob, 20, MANY_FIELDS) })
    run.cluster.sendToStore({ kind: 'fault', fault: StoreFault.None })
  })

  describe('two random crowds', ({ it }) => {
    // Guards against limits that hold for a kind of client and not for a combination, and against a crowd that keeps a process from exiting.
    it('leave a daemon within its resources, and do not keep it from exiting', async () => assert.equal(await playRandomCrowds(SEED), []))
  })

  function describeCrowd (name: string, resources: CrowdResources, play: (run: CrowdRun) => Promise<void>): void {
    describe(name, ({ it }) => {
      let run: CrowdRun

      it('starts a daemon', async () => { run = await CrowdRun.start(resources) })

      it('leaves the process within the resources of its VM', async () => {
        await play(run)
        assert.equal(run.listFaults(), [])
      })

      it('leaves an ordinary caller its answer', async () => assert.is(await run.query(), 200))

      it('is over once it has gone: a job is accepted', async () => {
        run.disperse()
        const status = await run.submit()
        const faults = run.listFaults()
        await run.stop({ keepsLogs: status !== 200 || faults.length > 0 })
        assert.is(status, 200)
        assert.equal(faults, [])
      })
    })
  }
})
