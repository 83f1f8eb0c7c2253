import { expect } from 'chai';
import fc from 'fast-check';
import { SiteSimulation, type Submission } from './SiteSimulation.js';

const { process } = globalThis as unknown as {
  readonly process: { readonly env: Readonly<Record<string, string | undefined>> };
};
/** `TOUCANLINE_RANDOM_RUNS` asks for a longer run, `TOUCANLINE_SEED` for another seed. */
const runs = Number(process.env.TOUCANLINE_RANDOM_RUNS ?? 150);
const seed = Number(process.env.TOUCANLINE_SEED ?? 20261204);
/** Time within which every request has to end after the last fault, in milliseconds. */
const settleMs = 90_000;

/** One step of a run. */
type Step = readonly [name: string, run: (site: SiteSimulation) => void];

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
const name = (label: string, run: (site: SiteSimulation) => void): Step => [label, run];

const step: fc.Arbitrary<Step> = fc.oneof(
  {
    weight: 6,
    arbitrary: submission.map((value) =>
      name(`submit ${JSON.stringify(value)}`, (site) => {
        site.submit(value);
      }),
    ),
  },
  {
    weight: 6,
    arbitrary: fc.integer({ min: 50, max: 6000 }).map((ms) =>
      name(`advance ${ms}`, (site) => {
        site.advance(ms);
      }),
    ),
  },
  {
    weight: 2,
    arbitrary: index.map((at) =>
      name(`cancel ${at}`, (site) => {
        site.cancel(at);
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: index.map((at) =>
      name(`repeat ${at}`, (site) => {
        site.resubmit(at);
      }),
    ),
  },
  {
    weight: 2,
    arbitrary: fc
      .tuple(fc.constantFrom(0, 0.1, 0.5), fc.constantFrom(20, 500, 3000))
      .map(([loss, delay]) =>
        name(`network ${loss} ${delay}`, (site) => {
          site.setNetwork(loss, delay);
        }),
      ),
  },
  {
    weight: 1,
    arbitrary: fc.boolean().map((isUp) =>
      name(`store ${String(isUp)}`, (site) => {
        site.setStoreUp(isUp);
      }),
    ),
  },
  {
    weight: 2,
    arbitrary: index.map((at) =>
      name(`cut ${at % 3}`, (site) => {
        site.togglePartition(at);
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: index.map((at) =>
      name(`reboot ${at % 3}`, (site) => {
        site.reboot(at);
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: index.map((at) =>
      name(`leave ${at % 3}`, (site) => {
        site.leave(at);
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: fc.constant(
      name('fail over', (site) => {
        site.failOver();
      }),
    ),
  },
  {
    weight: 1,
    arbitrary: index.map((at) =>
      name(`fail over without ${at % 3}`, (site) => {
        site.failOver(at);
      }),
    ),
  },
);

describe('a shard under random faults', () => {
  // Guards P1, P2, P6 and P7 in every order of messages, and that no request is lost.
  it(`keeps the guarantees and answers every request (seed ${seed}, ${runs} runs)`, function () {
    this.timeout(Math.max(60_000, runs * 400));
    fc.assert(
      fc.property(
        fc.integer(),
        fc.array(step, { minLength: 1, maxLength: 40, size: 'max' }),
        (runSeed, steps) => {
          const site = new SiteSimulation(runSeed);
          site.advance(1000);
          for (const [label, run] of steps) {
            run(site);
            expect(site.checker.violations, label).to.deep.equal([]);
          }
          site.heal();
          site.advance(settleMs);
          expect(site.checker.violations).to.deep.equal([]);
          expect(site.unanswered, 'requests without an answer').to.deep.equal([]);
          expect(site.orphans, 'tasks without a request').to.deep.equal([]);
          expect(site.phantomCount, 'tasks that only the owner counts').to.equal(0);
        },
      ),
      {
        seed,
        numRuns: runs,
        // Bounds the search for a smaller counterexample, so that a failure ends in time as well.
        plugins: [
          fc.interruptAfterTimeLimit(Math.max(20_000, runs * 100), { failOnInterrupt: true }),
        ],
      },
    );
  });
});
