import { expect } from 'chai';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { fixtures } from './fixtures.js';
import { LoadSimulation } from './LoadSimulation.js';

const { configuration, job, room, step, worker } = fixtures;

/** Duration factors of the workers, as on the users' sites, selected by worker number modulo the number of factors. */
const factors = [0.75, 1.25, 2];

const factorOf = (id: string): number => factors[Number(id.slice(1)) % factors.length] ?? 1;

const fleet = (count: number) =>
  Array.from({ length: count }, (_, number) =>
    worker(`w${number}`, { capacity: room(16_000, 64_000) }),
  );

const createRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  return () => unsafeUniformIntDistribution(0, 0xffff_ffff, generator) / 0x1_0000_0000;
};

/** Draws from an approximate standard normal distribution: the sum of twelve uniform numbers minus 6. */
const drawNormal = (random: () => number): number => {
  let sum = -6;
  for (let count = 0; count < 12; count += 1) sum += random();
  return sum;
};

describe('the speed of a worker', () => {
  // Pattern: declared durations are off by a factor of up to two or three (under the users' load their logarithm has a
  // standard deviation of 0.49). Guards against attributing that error to the worker.
  it('is learned although declared durations are wrong', () => {
    const random = createRandom(1);
    const model = new LoadSimulation(configuration(), fleet(12), factorOf);
    for (let number = 0; number < 100; number += 1) {
      const workMs = 560 * Math.exp(0.5 * drawNormal(random));
      const estimateMs = workMs * Math.exp(0.49 * drawNormal(random));
      const record = job(`j${number}`, [step(6, 1500, { estimateMs })], { queue: 'urgent' });
      model.submit(number * 100, record, () => workMs * Math.exp(0.18 * drawNormal(random)));
    }
    model.run(10_000);
    const byFactor = factors.map((factor) =>
      model.scheduler.workers
        .filter(({ id }) => factorOf(id) === factor)
        .map(({ speed }) => speed.durationFactor),
    );
    const [fast = [], medium = [], slow = []] = byFactor;
    expect(Math.max(...fast)).to.be.below(Math.min(...medium));
    expect(Math.max(...fast)).to.be.below(Math.min(...slow));
  });

  // Pattern: a worker becomes slow and recovers (`srv_slow`). Guards against an estimate that no longer changes.
  it('follows a worker that becomes slow', () => {
    let factor = 1;
    const model = new LoadSimulation(configuration(), fleet(3), (id) => (id === 'w0' ? factor : 1));
    const submit = (from: number): void => {
      for (let number = 0; number < 40; number += 1) {
        const id = `j${from + number * 100}`;
        model.submit(from + number * 100, job(id, [step(6, 3000)], { queue: 'urgent' }), () => 300);
      }
    };
    const speedOf = (id: string): number =>
      model.scheduler.workers.find((each) => each.id === id)?.speed.durationFactor ?? 0;
    submit(0);
    model.run(4000);
    factor = 6;
    submit(4000);
    model.run(8000);
    expect(speedOf('w0')).to.be.above(2 * speedOf('w1'));
  });

  // Pattern: wide batch steps arrive before urgent ones on a half-full fleet (roster-build against stop-lookup).
  // Guards against batch work that occupies fast workers without need, while urgent work becomes late on slow ones.
  it('decides that fast workers are left to urgent work', () => {
    const model = new LoadSimulation(configuration(), fleet(6), factorOf);
    const warmUp = [...Array(30).keys()];
    for (const number of warmUp) {
      const record = job(`warm${number}`, [step(20, 1500, { estimateMs: 300 })], {
        queue: 'urgent',
      });
      model.submit(number * 100, record, () => 300);
    }
    const batch = step(10, 3000, { estimateMs: 3000 });
    for (const number of [0, 1]) model.submit(5000, job(`batch${number}`, [batch]), () => 3000);
    const ids = [...Array(10).keys()].map((number) => `urgent${number}`);
    ids.forEach((id, number) => {
      const record = job(id, [step(4, 1500, { estimateMs: 500 })], { queue: 'urgent' });
      model.submit(5100 + number * 100, record, () => 500);
    });
    model.run(20_000);
    // The objective of the urgent queue is 1.5 times the declared duration plus 250 ms.
    ids.forEach((id, number) => {
      expect(model.finishedAt(id) - (5100 + number * 100), id).to.be.at.most(1000);
    });
    for (const number of [0, 1]) {
      expect(model.finishedAt(`batch${number}`)).to.be.at.most(5000 + 4 * 3000 + 3000);
    }
  });
});
