import { expect } from 'chai';
import fc from 'fast-check';
import { EscrowModel } from './EscrowModel.js';
import type { StoreCallOutcome } from './StoreCallOutcome.js';

const names = ['s1', 's2', 's3'] as const;
const limit = 20;

/** Lets pending promises go on. */
const flushPromises = async (): Promise<void> => {
  for (let turn = 0; turn < 20; turn += 1) await Promise.resolve();
};

const shard = fc.constantFrom(...names);
const outcome = fc.constantFrom<StoreCallOutcome>(
  'done',
  'done',
  'done',
  'lostAnswer',
  'lateAnswer',
  'lateEffect',
  'down',
);

const commonAction = fc.oneof(
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('step' as const), shard }) },
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('settle' as const), outcome }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('settleLate' as const) }) },
  { weight: 4, arbitrary: fc.record({ kind: fc.constant('start' as const), shard }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('end' as const), shard }) },
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('round' as const),
      shards: fc.shuffledSubarray([...names], { minLength: 1 }),
      outcomes: fc.array(outcome, { maxLength: 4 }),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('demand' as const),
      shard,
      units: fc.integer({ min: 0, max: 40 }),
    }),
  },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('crash' as const), shard }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('recover' as const), shard }) },
);

const limitAction = fc.oneof(
  { weight: 20, arbitrary: commonAction },
  {
    weight: 1,
    arbitrary: fc.record({
      kind: fc.constant('limit' as const),
      units: fc.integer({ min: 1, max: 30 }),
    }),
  },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('learn' as const), shard }) },
);

type Action = typeof limitAction extends fc.Arbitrary<infer Value> ? Value : never;

/** Lets keepers take a step; each call meets the next outcome, and then the store works. */
const runRound = async (
  model: EscrowModel,
  shards: readonly string[] = names,
  outcomes: readonly StoreCallOutcome[] = [],
): Promise<void> => {
  for (const name of shards) model.step(name);
  await flushPromises();
  for (let call = 0; model.store.pendingCalls > 0; call += 1) {
    model.store.completeNext(outcomes[call] ?? 'done');
    await flushPromises();
  }
};

const apply = async (model: EscrowModel, action: Action): Promise<void> => {
  model.clock.advance(2500);
  if (action.kind === 'step') model.step(action.shard);
  else if (action.kind === 'settle') model.store.completeNext(action.outcome);
  else if (action.kind === 'settleLate') model.store.completeNextLate();
  else if (action.kind === 'demand') model.setDemand(action.shard, action.units);
  else if (action.kind === 'crash') model.replaceOwner(action.shard);
  else if (action.kind === 'recover') model.recover(action.shard);
  else if (action.kind === 'round') await runRound(model, action.shards, action.outcomes);
  else if (action.kind === 'end')
    for (let count = 0; count < 10; count += 1) model.end(action.shard);
  else if (action.kind === 'limit') model.changeLimit(action.units);
  else if (action.kind === 'learn') model.applyNewestRevision(action.shard);
  else {
    for (let count = 0; count < limit; count += 1) {
      const highest = model.start(action.shard);
      if (highest !== undefined) expect(model.totalUse).to.be.at.most(highest + 1e-6);
    }
  }
  await flushPromises();
};

describe('escrowed limits', () => {
  it('never lets shards spend more than the limit together, whatever is lost or late', async function () {
    // Guards against double spending by lost answers, late writes, crashes and takeovers.
    this.timeout(60_000);
    const actions = fc.array(commonAction, { minLength: 60, maxLength: 160 });
    const property = fc.asyncProperty(actions, async (list) => {
      const model = new EscrowModel(names, limit);
      for (const action of list) {
        await apply(model, action);
        expect(model.totalUsable).to.be.at.most(limit + 1e-6);
        expect(model.totalUse).to.be.at.most(limit);
      }
    });
    await fc.assert(property, { seed: 20_261_204, numRuns: 400 });
  });

  it('starts nothing above the limit in effect while an operator lowers and raises it', async function () {
    // Guards against a shard that raises its allotment by a limit that a newer revision took back.
    this.timeout(60_000);
    const actions = fc.array(limitAction, { minLength: 60, maxLength: 200 });
    const property = fc.asyncProperty(actions, async (list) => {
      const model = new EscrowModel(names, limit);
      for (const action of list) await apply(model, action);
    });
    await fc.assert(property, { seed: 20_261_205, numRuns: 400 });
  });

  it('keeps a late write of a former owner out of the record', async () => {
    // Guards against a new owner that spends what the former owner's write gives to another shard.
    const model = new EscrowModel(names, limit);
    const run = async (shards: readonly string[]): Promise<void> => {
      model.clock.advance(2500);
      await runRound(model, shards);
      for (const name of shards) while (model.start(name) !== undefined);
    };
    model.setDemand('s1', 100);
    for (let round = 0; round < 4; round += 1) await run(names);
    expect(model.readUse('s1')).to.equal(limit);
    for (let unit = 0; unit < 15; unit += 1) model.end('s1');
    model.setDemand('s1', 0);
    model.setDemand('s2', 100);
    await runRound(model, ['s1'], ['lateEffect']);
    model.replaceOwner('s1');
    model.recover('s1');
    // The new owner wants all that the record says, so its plan alone causes no write.
    model.setDemand('s2', 0);
    model.setDemand('s1', 100);
    await run(['s1']);
    model.store.completeNextLate();
    model.setDemand('s2', 100);
    for (let round = 0; round < 4; round += 1) {
      await run(['s2']);
      expect(model.totalUsable).to.be.at.most(limit + 1e-6);
    }
    await run(['s1']);
    expect(model.totalUse).to.be.at.most(limit);
  });

  it('makes a whole limit usable in one shard within 10 s after others used it', async () => {
    // Guards against an allotment that stays where demand was before.
    const model = new EscrowModel(names, limit);
    const run = async (ms: number, active: string): Promise<void> => {
      for (let elapsed = 0; elapsed < ms; elapsed += 250) {
        model.clock.advance(250);
        await runRound(model);
        while (model.start(active) !== undefined);
      }
    };
    model.setDemand('s2', 100);
    await run(10_000, 's2');
    expect(model.readUse('s2')).to.equal(limit);
    model.setDemand('s2', 0);
    while (model.readUse('s2') > 0) model.end('s2');
    model.setDemand('s3', 100);
    await run(10_000, 's3');
    expect(model.readUse('s3')).to.equal(limit);
    const before = model.store.writes;
    await run(20_000, 's3');
    expect(model.store.writes - before).to.be.at.most(20);
  });
});
