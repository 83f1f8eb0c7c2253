import { expect } from 'chai';
import fc from 'fast-check';
import { EscrowModel } from './EscrowModel.js';
import type { StoreCallOutcome } from './StoreCallOutcome.js';

const names = ['s1', 's2', 's3'] as const;
const limit = 20;

/** Waits until pending promises have run. */
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
  { weight: 6, arbitrary: fc.record({ kind: fc.constant('complete' as const), outcome }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('completeLate' as const) }) },
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
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('replaceOwner' as const), shard }) },
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
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('applyRevision' as const), shard }) },
);

type Action = typeof limitAction extends fc.Arbitrary<infer Value> ? Value : never;

/** Runs one step of the reconcilers. The store calls get the given outcomes in turn, and succeed after that. */
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
  else if (action.kind === 'complete') model.store.completeNext(action.outcome);
  else if (action.kind === 'completeLate') model.store.completeNextLate();
  else if (action.kind === 'demand') model.setDemand(action.shard, action.units);
  else if (action.kind === 'replaceOwner') model.replaceOwner(action.shard);
  else if (action.kind === 'recover') model.recover(action.shard);
  else if (action.kind === 'round') await runRound(model, action.shards, action.outcomes);
  else if (action.kind === 'end')
    for (let count = 0; count < 10; count += 1) model.end(action.shard);
  else if (action.kind === 'limit') model.changeLimit(action.units);
  else if (action.kind === 'applyRevision') model.applyNewestRevision(action.shard);
  else {
    for (let count = 0; count < limit; count += 1) {
      const maxLimit = model.start(action.shard);
      if (maxLimit !== undefined) expect(model.totalUse).to.be.at.most(maxLimit + 1e-6);
    }
  }
  await flushPromises();
};

describe('escrow of team limits', () => {
  it('never lets the shards use more than the limit in total, whichever calls are lost or late', async function () {
    // Guards against amounts that two shards use at once after lost responses, late writes, crashes or takeovers.
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

  it('starts no work above the limit in effect while an operator lowers and raises it', async function () {
    // Guards against a shard that raises its allotment under a limit that a newer revision has lowered.
    this.timeout(60_000);
    const actions = fc.array(limitAction, { minLength: 60, maxLength: 200 });
    const property = fc.asyncProperty(actions, async (list) => {
      const model = new EscrowModel(names, limit);
      for (const action of list) await apply(model, action);
    });
    await fc.assert(property, { seed: 20_261_205, numRuns: 400 });
  });

  it('keeps a late write of a previous owner out of the record', async () => {
    // Guards against a new owner that uses an amount which a late write of the previous owner gives to another shard.
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
    // The new owner needs its whole amount in the record, so its plan alone causes no write.
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

  it('makes the whole limit usable in one shard within 10 s after another shard used it', async () => {
    // Guards against an allotment that stays in a shard whose demand has ended.
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
