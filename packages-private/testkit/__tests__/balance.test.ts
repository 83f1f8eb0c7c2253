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

  /** A claim is complete once the record of its epoch names the holder of the lease too. */
  const readOwner = (shard: string): string | undefined => {
    const holder = site.store.peek(`owners/${shard}`).value?.split(' ')[0];
    const claim = JSON.parse(site.store.peek(`claims/${shard}`).value ?? '{}') as Partial<Claim>;
    return holder === claim.owner ? holder : undefined;
  };

  /** Number of shards by owner, largest first; shards without an owner are left out. */
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

  /** Submits short work all the time until it is stopped; returns every answer. */
  const run = async (queue: string): Promise<readonly string[]> => {
    const seen: string[] = [];
    while (isActive) {
      const specification = { size, command: 'sleep 30; echo ok', deadlineSeconds: 60 };
      const { view, problem } = await caller.submit(queue, specification, { wait: 30 });
      seen.push(view.output?.[0] ?? `${problem.title}, ran ${problem.ran}`);
    }
    return seen;
  };

  before(async () => {
    await site.start();
    await waitForCounts([4], 10_000);
    const queues = ['renders', 'renders', 'renders', 'rosters', 'rosters'];
    outcomes = Promise.all(queues.map(run)).then((lists) => lists.flat());
  });
  after(() => site.stop());

  it('gives a scheduler that starts later its part, and then moves nothing', async () => {
    await (await site.addScheduler('dc1', 's1-dc1')).waitUntilHealthy();
    await waitForCounts([2, 2], 30_000);
    const epochs = readEpochs();
    await sleep(8000);
    expect(readEpochs()).to.deep.equal(epochs);
  });

  it('spreads the shards of a killed scheduler over the survivors', async () => {
    await (await site.addScheduler('dc1', 's2-dc1')).waitUntilHealthy();
    await waitForCounts([2, 1, 1], 30_000);
    site.findOwner('s4')?.signal('SIGKILL');
    await waitForCounts([2, 2], 30_000);
  });

  it('loses and repeats no request meanwhile', async () => {
    isActive = false;
    const all = await outcomes;
    const bad = all.filter((outcome) => outcome !== 'ok');
    // Running tasks are adopted and entries hold what waits, so neither the handovers nor the kill show.
    expect(bad).to.deep.equal([]);
    expect(all.length).to.be.greaterThan(500);
    expect(site.monitor.violations).to.deep.equal([]);
  });
});
