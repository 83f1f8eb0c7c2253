import { spawn } from 'node:child_process';
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
    process.on('SIGTERM', () => { log.flush(); process.exit(0); });
  }, 2000);
  setInterval(() => undefined, 1000);
`;

describe('the output of log lines', () => {
  // Guards against a process that stands still because nobody reads its standard output: 6 MB are written here, a pipe
  // holds 64 KiB.
  it('neither delays the process nor grows while nobody reads it, and tells later what was dropped', async function () {
    this.timeout(20_000);
    const child = spawn(process.execPath, ['--input-type=module', '-e', flood], {
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const report = await new Promise<string>((resolve) => {
      child.stderr.once('data', (text: Buffer) => {
        resolve(text.toString());
      });
    });
    const { longestMs, heapMb } = JSON.parse(report) as { longestMs: number; heapMb: number };
    const lines: string[] = [];
    child.stdout.on('data', (text: Buffer) => lines.push(text.toString()));
    await new Promise((resolve) => setTimeout(resolve, 300));
    child.kill('SIGTERM');
    await new Promise((resolve) => child.once('exit', resolve));
    expect(longestMs, 'longest delay of a timer').to.be.below(500);
    expect(heapMb, 'heap').to.be.below(100);
    const text = lines.join('');
    expect(text).to.include('linesSuppressed');
    for (const line of text.trimEnd().split('\n'))
      expect(() => void JSON.parse(line)).not.to.throw();
  });
});
