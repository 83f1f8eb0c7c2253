import { Benchmark } from './Benchmark.js';
import { measureCancellation } from './measureCancellation.js';
import { measureDecisions } from './measureDecisions.js';
import { measurePacking } from './measurePacking.js';

const minPerSecond = 5000;
const maxP99Us = 2000;
const maxCostRatio = 2;
const minPoints = 10;

/** Measures the decisions of the core alone, on one core. */
export class PlacementBenchmark extends Benchmark {
  /** {@inheritDoc Benchmark.name} */
  public override get name(): string {
    return 'placement';
  }

  /** {@inheritDoc Benchmark.run} */
  public override async run(seed: number, print: (line: string) => void): Promise<boolean> {
    const verdicts: boolean[] = [];
    const check = (name: string, isMet: boolean): void => {
      verdicts.push(isMet);
      print(`  ${isMet ? 'met   ' : 'MISSED'} ${name}`);
    };
    const costs: number[] = [];
    for (const workers of [130, 1300]) {
      const cost = await measureDecisions(workers, seed);
      costs.push(cost.meanUs);
      print(
        `decisions, ${workers} workers, 10,000 waiting, 200 teams: ` +
          `${cost.perSecond.toFixed(0)}/s over ${cost.decisions}, ` +
          `mean ${cost.meanUs.toFixed(1)} us, p50 ${cost.p50Us.toFixed(1)} us, ` +
          `p99 ${cost.p99Us.toFixed(1)} us, max ${cost.maxUs.toFixed(0)} us`,
      );
      check(`at least ${minPerSecond} decisions/s`, cost.perSecond >= minPerSecond);
      check(`p99 at most ${maxP99Us} us`, cost.decisions > 0 && cost.p99Us <= maxP99Us);
    }
    const [small = NaN, large = NaN] = costs;
    print(`cost at 1,300 workers over cost at 130: ${(large / small).toFixed(2)}`);
    check(`ratio below ${maxCostRatio}`, large / small < maxCostRatio);
    for (const workers of [130, 1300]) {
      const burstMs = await measureCancellation(workers, seed);
      print(`cancelling 5,000 of 10,000, ${workers} workers: ${burstMs.toFixed(1)} ms`);
    }
    const { core, inOrder, skipping } = measurePacking(seed);
    const compare = (name: string, baseline: number): void => {
      print(
        `packing against ${name}: ${(core * 100).toFixed(1)}% to ${(baseline * 100).toFixed(1)}%, ` +
          `ratio ${(core / baseline).toFixed(3)}, ${((core - baseline) * 100).toFixed(1)} points`,
      );
    };
    compare('first fit in arrival order', inOrder);
    check(`at least ${minPoints} points`, (core - inOrder) * 100 >= minPoints);
    compare('first fit that passes blocked requests', skipping);
    return verdicts.every((isMet) => isMet);
  }
}
