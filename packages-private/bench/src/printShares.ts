import { measureOverload } from './measureOverload.js';
import { measureShares } from './measureShares.js';

const loads = [0.5, 0.8, 1, 1.2, 1.5, 2, 3];

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

/**
 * Prints the closeness to shares and the goodput under overload.
 *
 * @param seed - seed of the measurements
 */
export const printShares = (seed: number): void => {
  const { worst, jain } = measureShares(seed);
  print(
    `shares: seed ${seed}, worst deviation ${(worst * 100).toFixed(2)}%, Jain ${jain.toFixed(5)}`,
  );
  const goodputs = loads.map((load) => measureOverload(load, seed));
  loads.forEach((load, index) => {
    print(`overload: load ${load}, goodput ${(goodputs[index] ?? 0).toFixed(1)}/s`);
  });
  const peak = Math.max(...goodputs);
  print(
    `overload: goodput at 3 times is ${(((goodputs.at(-1) ?? 0) / peak) * 100).toFixed(1)}% of its peak`,
  );
};
