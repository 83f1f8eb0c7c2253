import { expect } from 'chai';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { SchedulerSimulation } from './SchedulerSimulation.js';

/** Seeds that failed once: a former leader started tasks again (2), reports of ended incarnations were taken (others). */
const failedOnce = [2, 27, 90, 112, 185];
/** Fixed seeds keep the verdict the same each time; more by hand with the variable. */
const seeds = process.env.TOUCANLINE_SEED?.split(',').map(Number) ?? [1, 3, 4, 5, 6, ...failedOnce];

describe('random runs of the engine', () => {
  // Guards against two runs of a task, overfilled workers, starts out of order and lost jobs, under lost and late
  // calls, takeovers with a former leader that goes on, cut-off and reborn workers.
  for (const seed of seeds) {
    it(`keep the promises with seed ${seed}`, function () {
      this.timeout(60_000);
      const generator = xoroshiro128plus(seed);
      const fleet = new SchedulerSimulation(
        () => unsafeUniformIntDistribution(0, 0xffff_ffff, generator) / 0x1_0000_0000,
      );
      fleet.run(30_000, true);
      fleet.run(40_000, false);
      expect(fleet.unfinished).to.deep.equal([]);
    });
  }
});
