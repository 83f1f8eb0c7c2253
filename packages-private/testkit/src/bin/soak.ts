import { readFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { PlatformSoak } from '../PlatformSoak.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    runs: { type: 'string', default: '1' },
    seconds: { type: 'string', default: '8' },
    hosts: { type: 'string' },
  },
});
const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const firstSeed = Number(values.seed);
const hostCount = values.hosts === undefined ? undefined : Number(values.hosts);
const failedSeeds: number[] = [];
for (let seed = firstSeed; seed < firstSeed + Number(values.runs); seed += 1) {
  const soak = new PlatformSoak(seed, Number(values.seconds) * 1000, print, hostCount);
  const summary = await soak.run().then(
    ({ outcomes, runCount, violations }) => {
      const counts = [...outcomes].sort().map(([outcome, count]) => `${outcome}: ${count}`);
      for (const violation of violations) print(`violation: ${violation}`);
      if (violations.length > 0) failedSeeds.push(seed);
      return `${violations.length} violations, ${runCount} runs, ${counts.join(', ')}`;
    },
    (error: unknown) => {
      failedSeeds.push(seed);
      return `failed: ${String(error)}`;
    },
  );
  const load = readFileSync('/proc/loadavg', 'utf8').split(' ', 1).join('');
  print(`seed ${seed}: ${summary}, load average ${load}`);
}
print(`failed seeds: ${failedSeeds.length === 0 ? 'none' : failedSeeds.join(', ')}`);
process.exit(failedSeeds.length > 0 ? 1 : 0);
