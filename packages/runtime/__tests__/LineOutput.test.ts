import { spawn } from 'node:child_process';
import type { Readable } from 'node:stream';
import { expect } from 'chai';

const logModule = new URL('../src/Log.js', import.meta.url).href;

/** Logs a flood for two seconds and tells on the other channel how late its timers were, and how much memory it took. */
const flood = `
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

/** Waits for what the flooding process tells. */
const readReport = (stderr: Readable): Promise<{ longestMs: number; heapMb: number }> =>
  new Promise((resolve) => {
    stderr.once('data', (text: Buffer) => {
      resolve(JSON.parse(text.toString()) as { longestMs: number; heapMb: number });
    });
  });

describe('the output of log lines', () => {
  // Guards against a process that stands still, or buffers without bound, because nobody reads its standard output: 6 MB
  // are written here, of which a pipe takes 64 KiB.
  it('does not delay the process while nobody reads its pipe', async function () {
    this.timeout(20_000);
    const command = '"$0" --input-type=module -e "$1" | sleep 4';
    const shell = spawn('sh', ['-c', command, process.execPath, flood], {
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    const { longestMs, heapMb } = await readReport(shell.stderr);
    await new Promise((resolve) => shell.once('exit', resolve));
    expect(longestMs, 'longest delay of a timer').to.be.below(500);
    expect(heapMb, 'heap').to.be.below(100);
  });

  it('drops and counts lines while nobody reads, and goes on with whole lines', async function () {
    this.timeout(20_000);
    const child = spawn(process.execPath, ['--input-type=module', '-e', flood], {
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
