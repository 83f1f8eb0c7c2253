import type { Resources } from '@toucanline/schema';
import { Benchmark } from './Benchmark.js';
import { measureCancellation } from './measureCancellation.js';
import { measureDecisions } from './measureDecisions.js';
import { measurePacking } from './measurePacking.js';

const minPerSecond = 5000;
const maxP99Us = 2000;
const maxCostRatio = 2;
const minPoints = 10;

const listFractions = ({ processors, memoryMb, accelerators }: Resources): readonly number[] => [
  processors,
  memoryMb,
  accelerators,
];

/**
 * Calculates the mean allocated fraction over all resources. The largest fraction alone hides idle capacity:
 * strict arrival order allocates all accelerators while half of the processors are idle.
 */
const calculateMean = (allocated: Resources): number =>
  listFractions(allocated).reduce((sum, fraction) => sum + fraction, 0) /
  listFractions(allocated).length;

const findLargest = (allocated: Resources): number => Math.max(...listFractions(allocated));

const formatAllocated = (name: string, allocated: Resources): string => {
  const parts = [...listFractions(allocated), calculateMean(allocated)];
  return name.padEnd(40) + parts.map((part) => `${(part * 100).toFixed(1)}%`.padStart(7)).join('');
};

/**
 * Measures throughput, cost and packing of placement decisions of the decision core, without processes or
 * I/O.
 */
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
        `decisions, ${workers} workers, 10,000 waiting, 230 teams: ` +
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
    for (const { trace, results } of measurePacking(seed)) {
      print(`packing, ${trace}: allocated processors, memory, accelerators, and their mean`);
      for (const { name, allocated } of results) print(`  ${formatAllocated(name, allocated)}`);
      const [core, inOrder] = results.map(({ allocated }) => allocated);
      if (core === undefined || inOrder === undefined) continue;
      const meanPoints = (calculateMean(core) - calculateMean(inOrder)) * 100;
      check(`${meanPoints.toFixed(1)} points over arrival order, mean`, meanPoints >= minPoints);
      const largestPoints = (findLargest(core) - findLargest(inOrder)) * 100;
      check(
        `${largestPoints.toFixed(1)} points over arrival order, fullest resource`,
        largestPoints >= minPoints,
      );
    }
    return verdicts.every((isMet) => isMet);
  }
}
