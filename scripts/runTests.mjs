// Runs the tests in parallel, and then those that need the machine for themselves one at a time. Passes its arguments
// to both runs. The last line is the sum of the counts that scripts/reporter.cjs prints for each run.
import { spawn } from 'node:child_process';

const countLine = /^(\d+) passed, (\d+) failed, (\d+) skipped$/gm;

// Runs Mocha, prints its output and returns its exit code and the counts of its last line.
const run = (...options) =>
  new Promise((resolve) => {
    const child = spawn(
      process.execPath,
      ['node_modules/mocha/bin/mocha.js', ...options, ...process.argv.slice(2)],
      { stdio: ['inherit', 'pipe', 'inherit'] },
    );
    let output = '';
    child.stdout.on('data', (chunk) => {
      process.stdout.write(chunk);
      output = (output + chunk).slice(-100_000);
    });
    child.on('close', (code) => {
      const counts = [...output.matchAll(countLine)].at(-1)?.slice(1).map(Number);
      // A run that ends without counts, for example because a file cannot be loaded, counts as one failed test.
      resolve({ code: code ?? 1, counts: counts ?? [0, 1, 0] });
    });
  });

const runs = [await run(), await run('--config', '.mocharc.isolated.json')];
const [passed, failed, skipped] = [0, 1, 2].map((index) =>
  runs.reduce((sum, { counts }) => sum + counts[index], 0),
);
console.log(`${passed} passed, ${failed} failed, ${skipped} skipped`);
process.exitCode = runs.find(({ code }) => code !== 0)?.code ?? 0;
