import { expect } from 'chai';
import fc from 'fast-check';
import { TakeoverSimulation, type TakeoverSubmission } from './TakeoverSimulation.js';

const { process } = globalThis as unknown as {
  readonly process: { readonly env: Readonly<Record<string, string | undefined>> };
};
/** `TOUCANLINE_RANDOM_RUNS` asks for a longer run, `TOUCANLINE_SEED` for another seed. */
const runs = Number(process.env.TOUCANLINE_RANDOM_RUNS ?? 200);
const seed = Number(process.env.TOUCANLINE_SEED ?? 20261204);
/** Longer than the time of a queue, the waits of a takeover and a worker lease together. */
const settleMs = 120_000;
/** Requests that were held back run one after the other on two workers. */
const settleRounds = 6;

/** One step of a run. */
type Step = readonly [name: string, run: (site: TakeoverSimulation) => Promise<void> | void];

const weigh = (weight: number, arbitrary: fc.Arbitrary<Step>): fc.WeightedArbitrary<Step> => ({
  weight,
  arbitrary,
});
const always = (label: string, run: Step[1]): fc.Arbitrary<Step> => fc.constant([label, run]);

const submission: fc.Arbitrary<TakeoverSubmission> = fc.record({
  queue: fc.constantFrom('batch', 'once', 'stay'),
  runTimeMs: fc.constantFrom(100, 3000, 20_000, 30_000),
  detached: fc.boolean(),
});
const faults = fc.array(fc.constantFrom('none', 'lost', 'dropped', 'late'), {
  minLength: 1,
  maxLength: 6,
});

const step: fc.Arbitrary<Step> = fc.oneof(
  weigh(
    6,
    submission.map((value) => [
      `submit ${JSON.stringify(value)}`,
      (site) => {
        site.submit(value);
      },
    ]),
  ),
  weigh(
    5,
    fc
      .constantFrom(250, 2000, 8000, 30_000)
      .map((ms) => [`advance ${ms}`, (site) => site.advance(ms)]),
  ),
  weigh(
    3,
    always('cut off', (site) => {
      site.cutOff(true);
    }),
  ),
  weigh(
    1,
    always('rejoin', (site) => {
      site.cutOff(false);
    }),
  ),
  weigh(
    1,
    always('kill the owner', (site) => {
      site.killOwner();
    }),
  ),
  weigh(
    1,
    fc.nat({ max: 1 }).map((index) => [
      `toggle worker ${index}`,
      (site) => {
        site.toggleWorker(index);
      },
    ]),
  ),
  weigh(
    1,
    faults.map((value) => [
      `writes ${value.join()}`,
      (site) => {
        site.failWrites(value);
      },
    ]),
  ),
  weigh(
    1,
    always('deliver late writes', (site) => {
      site.applyLateWrites();
    }),
  ),
  weigh(
    1,
    always('lose', (site) => site.failAndDeclareLost()),
  ),
  weigh(
    1,
    always('come back', (site) => site.declareReturned()),
  ),
);

describe('takeovers between data centres under random faults', () => {
  // Guards P2, P6 and P7 while work passes from a cut-off or failed data centre to another one and back.
  it(`keeps the guarantees (seed ${seed}, ${runs} runs)`, async function () {
    this.timeout(Math.max(60_000, runs * 600));
    let takeovers = 0;
    let passed = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { minLength: 10, maxLength: 40, size: 'max' }),
        async (steps) => {
          const site = new TakeoverSimulation();
          await site.advance(3000);
          for (const [label, run] of steps) {
            await run(site);
            expect(site.checker.violations, label).to.deep.equal([]);
          }
          await site.advance(settleMs);
          await site.heal();
          for (let round = 0; round < settleRounds && site.open.length > 0; round += 1) {
            await site.advance(settleMs);
          }
          expect(site.checker.violations).to.deep.equal([]);
          expect(site.open, 'requests without an answer').to.deep.equal([]);
          takeovers += site.takeovers;
          passed += site.answeredBySuccessor;
        },
      ),
      { seed, numRuns: runs },
    );
    // Runs without a takeover or a start after one would check nothing.
    expect(takeovers, 'takeovers').to.be.greaterThan(runs / 2);
    expect(passed, 'requests that the successor ended').to.be.greaterThan(runs / 4);
  });
});
