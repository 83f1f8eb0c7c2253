#!/usr/bin/env node
import { HandoverBenchmark } from '../HandoverBenchmark.js';
import { PlacementBenchmark } from '../PlacementBenchmark.js';
import { PlanningBenchmark } from '../PlanningBenchmark.js';
import type { Benchmark } from '../Benchmark.js';
import { SiteBenchmark } from '../SiteBenchmark.js';
import { SharesBenchmark } from '../SharesBenchmark.js';
import { WaitingBenchmark } from '../WaitingBenchmark.js';

const defaultSeed = 1;
const benchmarks: readonly Benchmark[] = [
  new PlacementBenchmark(),
  new SharesBenchmark(),
  new SiteBenchmark(),
  new WaitingBenchmark(),
  new HandoverBenchmark(),
  new PlanningBenchmark(),
];

const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const [name, ...rest] = process.argv.slice(2);
const position = rest.indexOf('--seed');
const seed = position < 0 ? defaultSeed : Number(rest[position + 1]);
const benchmark = benchmarks.find((candidate) => candidate.name === name);
if (benchmark === undefined || !Number.isInteger(seed)) {
  const names = benchmarks.map((candidate) => candidate.name).join('|');
  process.stderr.write(`usage: bench ${names} [--seed N]\n`);
  process.exitCode = 2;
} else {
  print(`benchmark ${benchmark.name}, seed ${seed}, Node.js ${process.version}`);
  const isMet = await benchmark.run(seed, print);
  print(isMet ? 'all targets met' : 'targets missed, see above');
}
