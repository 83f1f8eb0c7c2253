import { expect } from 'chai';
import fc from 'fast-check';
import { SiteSimulation, type Submission } from './SiteSimulation.js';

const { process } = globalThis as unknown as {
  readonly process: { readonly env: Readonly<Record<string, string | undefined>> };
};
/** `TOUCANLINE_RANDOM_RUNS` sets the number of runs, `TOUCANLINE_SEED` the seed. */
const runs = Number(process.env.TOUCANLINE_RANDOM_RUNS ?? 150);
const seed = Number(process.env.TOUCANLINE_SEED ?? 20261204);
/** Time within which every request has to finish after the last fault. */
const convergenceMs = 90_000;

/** Step of a run, with a label for error messages. */
type Step = readonly [name: string, run: (simulation: SiteSimulation) => void];

const submission: fc.Arbitrary<Submission> = fc.record({
  queue: fc.constantFrom('service', 'batch', 'once', 'once', 'gang'),
  processors: fc.integer({ min: 1, max: 3 }),
  tasks: fc.integer({ min: 1, max: 3 }),
  runTimeMs: fc.integer({ min: 50, max: 8000 }),
  fails: fc.integer({ min: 0, max: 9 }).map((value) => value === 0),
  key: fc.option(fc.integer({ min: 0, max: 3 }), { nil: undefined, freq: 3 }),
  detached: fc.integer({ min: 0, max: 3 }).map((value) => value === 0),
  deadlineMs: fc.integer({ min: 2000, max: 60_000 }),
});

const index = fc.nat({ max: 20 });
const name = (label: string, run: (simulation: SiteSimulation) => void): Step => [label, run];

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: submission.map((value) =>
      name(`submit ${JSON.stringify(value)}`, (simulation) => {
        simulation.submit(value);
      }),
    ),
  },
  {
    weight: 6,
    arbitrary: fc.integer({ min: 50, max: 6000 }).map((ms) =>
      name(`advance ${ms}`, (simulation) => {
        simulation.advance(ms);
      }),
    ),
  },
  {
    weight: 2,
    arbitrary: index.map((at) =>
      name(`cancel ${at}`, (simulation) => {
        simulation.cancel(at);
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: index.map((at) =>
      name(`repeat ${at}`, (simulation) => {
        simulation.resubmit(at);
      }),
    ),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(fc.constantFrom(0, 0.1, 0.5), fc.constantFrom(20, 500, 3000))
      .map(([loss, delay]) =>
        name(`network ${loss} ${delay}`, (simulation) => {
          simulation.setNetwork(loss, delay);
        }),
      ),
  },
  {
    weight: 1,
    arbitrary: fc.boolean().map((isUp) =>
      name(`store ${String(isUp)}`, (simulation) => {
        simulation.setStoreUp(isUp);
      }),
    ),
  },
  {
    weight: 2,
    arbitrary: index.map((at) =>
      name(`cut ${at % 3}`, (simulation) => {
        simulation.togglePartition(at);
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: index.map((at) =>
      name(`reboot ${at % 3}`, (simulation) => {
        simulation.reboot(at);
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: index.map((at) =>
      name(`leave ${at % 3}`, (simulation) => {
        simulation.leave(at);
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: fc.constant(
      name('fail over', (simulation) => {
        simulation.failOver();
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: index.map((at) =>
      name(`fail over without ${at % 3}`, (simulation) => {
        simulation.failOver(at);
      }),
    ),
  },
);

describe('a shard under random faults', () => {
  // Checks the guarantees P1, P2, P6 and P7 for random orders of messages, and that no request is
  // lost.
  it(`keeps the guarantees and answers every request (seed ${seed}, ${runs} runs)`, function () {
    this.timeout(Math.max(60_000, runs * 400));
    fc.assert(
      fc.property(
        fc.integer(),
        fc.array(step, { minLength: 1, maxLength: 40, size: 'max' }),
        (runSeed, steps) => {
          const simulation = new SiteSimulation(runSeed);
          simulation.advance(1000);
          for (const [label, run] of steps) {
            run(simulation);
            expect(simulation.checker.violations, label).to.deep.equal([]);
          }
          simulation.heal();
          simulation.advance(convergenceMs);
          expect(simulation.checker.violations).to.deep.equal([]);
          expect(simulation.unanswered, 'requests without an answer').to.deep.equal([]);
          expect(simulation.orphans, 'tasks without a request').to.deep.equal([]);
          expect(simulation.phantomCount, 'tasks that only the owner counts').to.equal(0);
        },
      ),
      {
        seed,
        numRuns: runs,
        // Bounds the search for a smaller counterexample, so that a failing run ends in time too.
        plugins: [
          fc.interruptAfterTimeLimit(Math.max(20_000, runs * 100), { failOnInterrupt: true }),
        ],
      },
    );
  });
});
