import type { Claim } from '@toucanline/schema';
import { expect } from 'chai';
import { Caller, Site, sleep } from '../src/index.js';

const size = { processors: 1, memoryMb: 512, accelerators: 0 };
const shards = ['s1', 's2', 's3', 's4'];
const document = [
  'schema = 1',
  ...shards.map((shard) => `[shards.${shard}]\ndataCentre = "dc1"`),
  '[teams.a]\nshare = 1',
  '[queues.renders]\nkind = "batch"\nidempotent = true',
  '[queues.rosters]\nkind = "batch"\nidempotent = false',
].join('\n');

describe('the balance of shards over the schedulers of a data centre', () => {
  const site = new Site({
    document,
    dataCentres: ['dc1'],
    entriesPerDataCentre: 1,
    schedulersPerDataCentre: 1,
    workersPerDataCentre: 8,
    teams: ['a'],
  });
  const caller = new Caller(() => site.entries[0]?.url ?? '', 'key-a');
  let isActive = true;
  let outcomes: Promise<readonly string[]>;

  /** Returns the owner of a shard once the claim is complete: the record of its epoch names the lease holder too. */
  const readOwner = (shard: string): string | undefined => {
    const holder = site.store.peek(`owners/${shard}`).value?.split(' ')[0];
    const claim = JSON.parse(site.store.peek(`claims/${shard}`).value ?? '{}') as Partial<Claim>;
    return holder === claim.owner ? holder : undefined;
  };

  /** Counts the shards of each owner, largest count first; shards without an owner are left out. */
  const countOwned = (): readonly number[] => {
    const owners = shards.flatMap((shard) => readOwner(shard) ?? []);
    const counts = [...new Set(owners)].map((name) => owners.filter((owner) => owner === name));
    return counts.map(({ length }) => length).sort((left, right) => right - left);
  };

  const readEpochs = (): readonly unknown[] =>
    shards.map((shard) => site.store.peek(`claims/${shard}`).version);

  const waitForCounts = async (counts: readonly number[], timeoutMs: number): Promise<void> => {
    const endsAt = performance.now() + timeoutMs;
    while (JSON.stringify(countOwned()) !== JSON.stringify(counts)) {
      if (performance.now() > endsAt) {
        throw new Error(`not ${counts.join()} within ${timeoutMs} ms: ${countOwned().join()}`);
      }
      await sleep(50);
    }
  };

  /** Submits short requests one after another until the load is stopped; returns the outcome of each. */
  const run = async (queue: string): Promise<readonly string[]> => {
    const answers: string[] = [];
    while (isActive) {
      const specification = { size, command: 'sleep 30; echo ok', deadlineSeconds: 60 };
      const { view, problem } = await caller.submit(queue, specification, { wait: 30 });
      answers.push(view.output?.[0] ?? `${problem.title}, ran ${problem.ran}`);
    }
    return answers;
  };

  before(async () => {
    await site.start();
    await waitForCounts([4], 10_000);
    const queues = ['renders', 'renders', 'renders', 'rosters', 'rosters'];
    outcomes = Promise.all(queues.map(run)).then((lists) => lists.flat());
  });
  after(() => site.stop());

  it('moves an equal part of the shards to a scheduler that starts later, and then moves nothing', async () => {
    await (await site.addScheduler('dc1', 's1-dc1')).waitUntilHealthy();
    await waitForCounts([2, 2], 30_000);
    const epochs = readEpochs();
    await sleep(8000);
    expect(readEpochs()).to.deep.equal(epochs);
  });

  it('spreads the shards of a killed scheduler over the remaining ones', async () => {
    await (await site.addScheduler('dc1', 's2-dc1')).waitUntilHealthy();
    await waitForCounts([2, 1, 1], 30_000);
    site.findOwner('s4')?.signal('SIGKILL');
    await waitForCounts([2, 2], 30_000);
  });

  it('loses no request and repeats none during the moves', async () => {
    isActive = false;
    const all = await outcomes;
    const unexpected = all.filter((outcome) => outcome !== 'ok');
    // New owners adopt running tasks and entries hold waiting requests, so callers notice neither handovers nor kill.
    expect(unexpected).to.deep.equal([]);
    expect(all.length).to.be.greaterThan(500);
    expect(site.monitor.violations).to.deep.equal([]);
  });
});
