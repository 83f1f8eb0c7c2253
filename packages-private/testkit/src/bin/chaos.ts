import { writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { ChaosRun } from '../ChaosRun.js';

const { values } = parseArgs({
  options: {
    seed: { type: 'string', default: '1' },
    minutes: { type: 'string', default: '1' },
    log: { type: 'string' },
  },
});
const print = (line: string): void => {
  process.stdout.write(`${line}\n`);
};

const run = new ChaosRun(Number(values.seed), Number(values.minutes) * 60_000, print);
const { outcomes, violations, log } = await run.run();
if (values.log !== undefined) writeFileSync(values.log, log.join('\n'));
for (const [outcome, count] of [...outcomes].sort())
  print(`${String(count).padStart(7)} ${outcome}`);
for (const violation of violations) print(`violation: ${violation}`);
print(`seed ${values.seed}: ${violations.length} violations`);
// Callers that never got an answer keep their sockets open, so the process would not end by itself.
process.exit(violations.length > 0 ? 1 : 0);
