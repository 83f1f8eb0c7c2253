import { Benchmark } from './Benchmark.js';
import { measureGoodput } from './measureGoodput.js';
import { measureShares } from './measureShares.js';

const loads = [0.5, 0.8, 1, 1.2, 1.5, 2, 3];
const maxDeviation = 0.05;
const minJainIndex = 0.99;
const minGoodputFraction = 0.9;

/** Measures fairness on a saturated fleet, and goodput under overload. */
export class SharesBenchmark extends Benchmark {
  /** {@inheritDoc Benchmark.name} */
  public override get name(): string {
    return 'shares';
  }

  /** {@inheritDoc Benchmark.run} */
  public override run(seed: number, print: (line: string) => void): Promise<boolean> {
    const { worst, jain } = measureShares(seed);
    print(`shares: worst deviation ${(worst * 100).toFixed(2)}%, Jain index ${jain.toFixed(5)}`);
    const goodputs = loads.map((load) => measureGoodput(load, seed));
    loads.forEach((load, index) => {
      print(`overload: load ${load}, goodput ${(goodputs[index] ?? 0).toFixed(1)}/s`);
    });
    const fraction = (goodputs.at(-1) ?? 0) / Math.max(...goodputs);
    print(`overload: goodput at 3 times is ${(fraction * 100).toFixed(1)}% of its peak`);
    const isMet = worst <= maxDeviation && jain >= minJainIndex && fraction >= minGoodputFraction;
    return Promise.resolve(isMet);
  }
}
