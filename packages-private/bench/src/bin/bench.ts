import { parseArgs } from 'node:util';
import { printShares } from '../printShares.js';

const commands: Readonly<Record<string, (seed: number) => void>> = { shares: printShares };

const { positionals, values } = parseArgs({
  allowPositionals: true,
  options: { seed: { type: 'string', default: '1' } },
});
const command = commands[positionals[0] ?? ''];
if (command === undefined) {
  process.stderr.write(`usage: bench ${Object.keys(commands).join('|')} [--seed N]\n`);
  process.exitCode = 2;
} else command(Number(values.seed));
