import type { Resources, ShardLoad } from '@toucanline/schema';
import { expect } from 'chai';
import fc from 'fast-check';
import { LoadFeed, Router } from '../src/index.js';
import { ManualClock } from './ManualClock.js';

const periodMs = 1000;
const checks = { seed: 20_261_204, numRuns: 300 };

const resources: fc.Arbitrary<Resources> = fc.record({
  processors: fc.nat(8),
  memoryMb: fc.nat(8),
  accelerators: fc.nat(2),
});
const busy = resources.filter((amount) => Object.values(amount).some((part) => part > 0));
const teams = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd'), busy);
const load: fc.Arbitrary<ShardLoad> = fc.record({
  shard: fc.constantFrom('s1', 's2', 's3'),
  dataCentre: fc.constant('dc1'),
  epoch: fc.constant(1),
  owner: fc.constant('p1'),
  address: fc.constant('127.0.0.1:1'),
  waiting: fc.nat(3),
  free: resources,
  room: resources,
  use: teams,
  demand: teams,
});
const loads = fc.uniqueArray(load, { selector: ({ shard }) => shard, maxLength: 3 });
/** Successive states of an owner, each with the time since the previous one, in milliseconds. */
const steps = fc.array(fc.tuple(fc.nat(1500), loads), { minLength: 1, maxLength: 12 });

const createState = (
  shards: readonly ShardLoad[],
): Parameters<LoadFeed['createChangeNotice']>[1] => ({
  shards,
  configurationRevision: 1,
  keysRevision: 1,
  takeovers: { version: 1, watched: true },
});

const createLoad = (use: ShardLoad['use']): ShardLoad => ({
  shard: 's1',
  dataCentre: 'dc1',
  epoch: 1,
  owner: 'p1',
  address: '127.0.0.1:1',
  waiting: 0,
  free: { processors: 1, memoryMb: 1, accelerators: 0 },
  room: { processors: 2, memoryMb: 2, accelerators: 0 },
  use,
  demand: {},
});

describe('load notices', () => {
  it('bring a peer to the state of the owner by changes only', () => {
    // Guards against a change that is never sent, and against a team or shard that is never removed.
    const property = fc.property(steps, loads, (earlierSteps, finalLoads) => {
      const clock = new ManualClock();
      const feed = new LoadFeed(periodMs, true);
      const router = new Router(clock, 'dc1');
      let isFirst = true;
      for (const [elapsedMs, shards] of [...earlierSteps, [periodMs, finalLoads] as const]) {
        clock.advance(elapsedMs);
        const change = feed.createChangeNotice(clock.now(), createState(shards));
        const notice = isFirst ? feed.createFullNotice() : change;
        isFirst = false;
        if (notice !== undefined) router.applyNotice('p1', notice);
      }
      clock.advance(1);
      router.markAlive('p1');
      const known = ['s1', 's2', 's3'].flatMap((shard) => router.findLoad(shard, 0) ?? []);
      const sorted = [...finalLoads].sort((left, right) => left.shard.localeCompare(right.shard));
      expect(known).to.deep.equal(sorted);
    });
    fc.assert(property, checks);
  });

  it('are sent at a limited rate while the load changes, but at once for revisions and owners', () => {
    const feed = new LoadFeed(periodMs, true);
    const use = { processors: 1, memoryMb: 0, accelerators: 0 };
    feed.createChangeNotice(0, createState([createLoad({})]));
    expect(feed.createChangeNotice(1, createState([createLoad({ a: use })]))).not.to.equal(
      undefined,
    );
    expect(feed.createChangeNotice(500, createState([createLoad({ b: use })]))).to.equal(undefined);
    expect(
      feed.createChangeNotice(1001, createState([createLoad({ b: use })]))?.shards[0]?.use,
    ).to.deep.equal({
      a: [0, 0, 0],
      b: [1, 0, 0],
    });
    expect(feed.createChangeNotice(2500, createState([createLoad({ b: use })]))).to.equal(
      undefined,
    );
    const revised = { ...createState([createLoad({ b: use })]), keysRevision: 2 };
    expect(feed.createChangeNotice(2501, revised)).to.include({ keysRevision: 2 });
    expect(feed.createChangeNotice(2502, { ...revised, shards: [] })?.ended).to.deep.equal(['s1']);
  });

  it('stay valid as long as their sender is marked as alive', () => {
    // Guards against an owner that counts as lost because nothing changed, or as alive forever.
    const clock = new ManualClock();
    const router = new Router(clock, 'dc1');
    router.applyLocalLoads('p1', [createLoad({})]);
    clock.advance(4500);
    router.markAlive('p1');
    clock.advance(4500);
    expect(router.findLoad('s1', 5000)?.owner).to.equal('p1');
    clock.advance(501);
    expect(router.findLoad('s1', 5000)).to.equal(undefined);
  });
});
