import { spawn } from 'node:child_process';
import type { Readable } from 'node:stream';
import { expect } from 'chai';

const logModule = new URL('../src/Log.js', import.meta.url).href;

/** Script that logs many lines for two seconds, and reports its longest timer delay and heap size on standard error. */
const floodScript = `
  const { Log } = await import(${JSON.stringify(logModule)});
  const log = new Log('flooding', 'info');
  let latest = performance.now();
  let longestMs = 0;
  const timer = setInterval(() => {
    const now = performance.now();
    longestMs = Math.max(longestMs, now - latest);
    latest = now;
    for (let count = 0; count < 50; count += 1) log.write('info', 'jobSubmitted', { request: 'x'.repeat(300), count });
  }, 5);
  setTimeout(() => {
    clearInterval(timer);
    process.stderr.write(JSON.stringify({ longestMs, heapMb: process.memoryUsage().heapUsed / 1e6 }));
    setTimeout(() => { log.flush(); process.exit(0); }, 800);
  }, 2000);
`;

/** Waits for the report of the script. */
const readReport = (stderr: Readable): Promise<{ longestMs: number; heapMb: number }> =>
  new Promise((resolve) => {
    stderr.once('data', (text: Buffer) => {
      resolve(JSON.parse(text.toString()) as { longestMs: number; heapMb: number });
    });
  });

describe('the output of log lines', () => {
  // Guards against a process that blocks, or buffers without bound, because nobody reads its standard output: the
  // script writes 6 MB, of which a pipe holds 64 KiB.
  it('does not block the process while nobody reads its pipe', async function () {
    this.timeout(20_000);
    const command = '"$0" --input-type=module -e "$1" | sleep 4';
    const shell = spawn('sh', ['-c', command, process.execPath, floodScript], {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    const { longestMs, heapMb } = await readReport(shell.stderr);
    await new Promise((resolve) => shell.once('exit', resolve));
    expect(longestMs, 'longest delay of a timer').to.be.below(500);
    expect(heapMb, 'heap').to.be.below(100);
  });

  it('drops and counts lines while nobody reads, and continues with complete lines', async function () {
    this.timeout(20_000);
    const child = spawn(process.execPath, ['--input-type=module', '-e', floodScript], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const { longestMs, heapMb } = await readReport(child.stderr);
    const lines: string[] = [];
    child.stdout.on('data', (text: Buffer) => lines.push(text.toString()));
    await new Promise((resolve) => child.once('close', resolve));
    expect(longestMs, 'longest delay of a timer').to.be.below(500);
    expect(heapMb, 'heap').to.be.below(100);
    const text = lines.join('');
    expect(text).to.include('linesSuppressed');
    for (const line of text.trimEnd().split('\n'))
      expect(() => void JSON.parse(line)).not.to.throw();
  });
});
