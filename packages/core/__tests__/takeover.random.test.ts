import { expect } from 'chai';
import fc from 'fast-check';
import { TakeoverSimulation, type TakeoverSubmission } from './TakeoverSimulation.js';

const { process } = globalThis as unknown as {
  readonly process: { readonly env: Readonly<Record<string, string | undefined>> };
};
/** `TOUCANLINE_RANDOM_RUNS` sets the number of runs, `TOUCANLINE_SEED` the seed. */
const runs = Number(process.env.TOUCANLINE_RANDOM_RUNS ?? 200);
const seed = Number(process.env.TOUCANLINE_SEED ?? 20261204);
/** Longer than a release delay, the waits of a takeover and a worker lease together. */
const settleMs = 120_000;
/** Maximum number of settle periods: requests that were held back run one after the other on two workers. */
const settleRounds = 6;

/** One step of a run. */
type Step = readonly [name: string, run: (simulation: TakeoverSimulation) => Promise<void> | void];

const withWeight = (weight: number, arbitrary: fc.Arbitrary<Step>): fc.WeightedArbitrary<Step> => ({
  weight,
  arbitrary,
});
const createStep = (label: string, run: Step[1]): fc.Arbitrary<Step> => fc.constant([label, run]);

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
  withWeight(
    6,
    submission.map((value) => [
      `submit ${JSON.stringify(value)}`,
      (simulation) => {
        simulation.submit(value);
      },
    ]),
  ),
  withWeight(
    5,
    fc
      .constantFrom(250, 2000, 8000, 30_000)
      .map((ms) => [`advance ${ms}`, (simulation) => simulation.advance(ms)]),
  ),
  withWeight(
    3,
    createStep('cut off', (simulation) => {
      simulation.cutOff(true);
    }),
  ),
  withWeight(
    1,
    createStep('rejoin', (simulation) => {
      simulation.cutOff(false);
    }),
  ),
  withWeight(
    1,
    createStep('kill the owner', (simulation) => {
      simulation.killOwner();
    }),
  ),
  withWeight(
    1,
    fc.nat({ max: 1 }).map((index) => [
      `toggle worker ${index}`,
      (simulation) => {
        simulation.toggleWorker(index);
      },
    ]),
  ),
  withWeight(
    1,
    faults.map((value) => [
      `writes ${value.join()}`,
      (simulation) => {
        simulation.failWrites(value);
      },
    ]),
  ),
  withWeight(
    1,
    createStep('deliver late writes', (simulation) => {
      simulation.applyLateWrites();
    }),
  ),
  withWeight(
    1,
    createStep('lose', (simulation) => simulation.failAndDeclareLost()),
  ),
  withWeight(
    1,
    createStep('come back', (simulation) => simulation.declareReturned()),
  ),
);

describe('takeovers between data centres under random faults', () => {
  // Checks P2, P6 and P7 while another data centre takes over work of one that is cut off or failed and returns.
  it(`keeps the guarantees (seed ${seed}, ${runs} runs)`, async function () {
    this.timeout(Math.max(60_000, runs * 600));
    let takeovers = 0;
    let answeredBySuccessor = 0;
    await fc.assert(
      fc.asyncProperty(
        fc.array(step, { minLength: 10, maxLength: 40, size: 'max' }),
        async (steps) => {
          const simulation = new TakeoverSimulation();
          await simulation.advance(3000);
          for (const [label, run] of steps) {
            await run(simulation);
            expect(simulation.checker.violations, label).to.deep.equal([]);
          }
          await simulation.advance(settleMs);
          await simulation.heal();
          for (let round = 0; round < settleRounds && simulation.open.length > 0; round += 1) {
            await simulation.advance(settleMs);
          }
          expect(simulation.checker.violations).to.deep.equal([]);
          expect(simulation.open, 'requests without an answer').to.deep.equal([]);
          takeovers += simulation.takeovers;
          answeredBySuccessor += simulation.answeredBySuccessor;
        },
      ),
      { seed, numRuns: runs },
    );
    // Ensures that enough runs had a takeover and a request that succeeded after one.
    expect(takeovers, 'takeovers').to.be.greaterThan(runs / 2);
    expect(answeredBySuccessor, 'requests that succeeded in the successor').to.be.greaterThan(
      runs / 4,
    );
  });
});
