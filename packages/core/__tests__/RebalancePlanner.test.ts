import { expect } from 'chai';
import fc from 'fast-check';
import { periods, RebalancePlanner } from '../src/index.js';
import { ManualClock } from './ManualClock.js';

type View = Parameters<RebalancePlanner['decide']>[0];

const createView = (counts: Readonly<Record<string, number>>, epoch = 1): View => {
  const owned = Object.entries(counts).flatMap(([process, count]) =>
    Array.from(
      { length: count },
      (_, index) => [`${process}-${index}`, { process, epoch }] as const,
    ),
  );
  const shards = owned.map(([shard]) => shard);
  return { shards, owners: new Map(owned), members: Object.keys(counts) };
};

/** Returns the decision of a scheduler after its view was stable for long enough. */
const decide = (process: string, view: View): ReturnType<RebalancePlanner['decide']> => {
  const clock = new ManualClock();
  const planner = new RebalancePlanner(clock, process);
  expect(planner.decide(view)).to.equal(undefined);
  clock.advance(periods.rebalanceStabilizationMs);
  return planner.decide(view);
};

describe('RebalancePlanner', () => {
  it('moves a shard to a new scheduler, and none in a balanced site', () => {
    expect(decide('a', createView({ a: 4, b: 0 }))).to.deep.equal({ shard: 'a-0', to: 'b' });
    expect(decide('b', createView({ a: 4, b: 0 }))).to.equal(undefined);
    expect(decide('a', createView({ a: 2, b: 2, c: 0 }))).to.include({ to: 'c' });
    expect(decide('a', createView({ a: 2, b: 1, c: 1 }))).to.equal(undefined);
  });

  it('moves no shard while one has no owner or an owner is cut off', () => {
    const view = createView({ a: 4, b: 0 });
    const owners = new Map([...view.owners].slice(1));
    expect(decide('a', { ...view, owners })).to.equal(undefined);
    expect(decide('a', { ...createView({ a: 4, b: 1, c: 0 }), members: ['a', 'c'] })).to.equal(
      undefined,
    );
  });

  it('waits after each change of owners, epochs or schedulers, and after each decision', () => {
    // Guards against moves directly after a failover, and against a failed handover that is repeated in a loop.
    const clock = new ManualClock();
    const planner = new RebalancePlanner(clock, 'a');
    const views = [
      createView({ a: 3, b: 1 }),
      createView({ a: 3, b: 1 }, 2),
      createView({ a: 3, c: 1 }),
    ];
    for (const view of views) {
      clock.advance(periods.rebalanceStabilizationMs - 1);
      expect(planner.decide(view)).to.equal(undefined);
    }
    clock.advance(periods.rebalanceStabilizationMs);
    expect(planner.decide(createView({ a: 3, c: 1 }))).to.include({ to: 'c' });
    clock.advance(periods.rebalanceStabilizationMs - 1);
    expect(planner.decide(createView({ a: 3, c: 1 }))).to.equal(undefined);
  });

  it('ends with at most the rounded-up mean for each scheduler, after no more moves than there are shards', () => {
    const counts = fc.dictionary(fc.constantFrom('a', 'b', 'c', 'd', 'e'), fc.nat(9), {
      minKeys: 1,
    });
    const property = fc.property(counts, (given) => {
      const current = { ...given };
      const total = Object.values(given).reduce((sum, count) => sum + count, 0);
      const roundedMean = Math.ceil(total / Object.keys(given).length);
      let moves = 0;
      for (;;) {
        const view = createView(current);
        const decided = Object.keys(current).flatMap((process) => {
          const move = decide(process, view);
          return move === undefined ? [] : [{ from: process, to: move.to }];
        });
        expect(decided.length).to.be.at.most(1);
        const [move] = decided;
        if (move === undefined) break;
        moves += 1;
        current[move.from] = (current[move.from] ?? 0) - 1;
        current[move.to] = (current[move.to] ?? 0) + 1;
      }
      expect(Math.max(...Object.values(current))).to.be.at.most(roundedMean);
      expect(moves).to.be.at.most(total);
    });
    fc.assert(property, { seed: 20_261_204, numRuns: 200 });
  });
});
