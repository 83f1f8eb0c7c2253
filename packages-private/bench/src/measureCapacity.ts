import { sleep } from '@toucanline/testkit';
import { CapacitySite } from './CapacitySite.js';
import { fitLine } from './fitLine.js';
import { ProcessProbe } from './ProcessProbe.js';

const intervalMs = 8000;
const settleMs = 3000;
const workerSizes = [25, 50, 100, 200] as const;
const taskSizes = [0, 500, 1000, 2000] as const;
const rateSizes = [10, 20, 40, 80] as const;
const callerSizes = [0, 100, 200, 400] as const;

/** One measured quantity over several sizes. */
interface Series {
  readonly name: string;
  readonly points: readonly (readonly [number, number])[];
}

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const printSeries = (title: string, unit: string, series: readonly Series[]): void => {
  print(`\n## ${title} (per ${unit})`);
  for (const { name, points } of series) {
    const { slope, intercept, error } = fitLine(points);
    const listed = points.map(([x, y]) => `${x}:${y.toPrecision(4)}`).join('  ');
    const line = `slope ${slope.toPrecision(3)}  at zero ${intercept.toPrecision(3)}`;
    print(`${name.padEnd(34)} ${line}  fit error ${(error * 100).toFixed(0)}%   [${listed}]`);
  }
};

const toSeries = (
  rows: readonly (readonly [number, Readonly<Record<string, number>>])[],
): readonly Series[] =>
  Object.keys(rows[0]?.[1] ?? {}).map((name) => ({
    name,
    points: rows.map(([size, values]) => [size, values[name] ?? 0] as const),
  }));

const measureProcesses = async (
  site: CapacitySite,
  load: () => Promise<unknown>,
): Promise<Readonly<Record<string, number>>> => {
  const scheduler = new ProcessProbe(site.schedulerPid);
  const entry = new ProcessProbe(site.entryPid);
  const callsBefore = site.storeCalls;
  await load();
  const schedulerUse = scheduler.measure();
  const entryUse = entry.measure();
  return {
    'scheduler CPU (cores)': schedulerUse.cores,
    'scheduler resident (MB)': schedulerUse.residentMb,
    'scheduler traffic (B/s)': schedulerUse.bytesPerSecond,
    'entry CPU (cores)': entryUse.cores,
    'entry resident (MB)': entryUse.residentMb,
    'entry traffic (B/s)': entryUse.bytesPerSecond,
    'store calls (1/s)': ((site.storeCalls - callsBefore) / intervalMs) * 1000,
  };
};

const measureWorkers = async (): Promise<void> => {
  const rows: [number, Readonly<Record<string, number>>][] = [];
  for (const workers of workerSizes) {
    const site = new CapacitySite(workers);
    await site.start();
    await sleep(settleMs);
    rows.push([workers, await measureProcesses(site, () => sleep(intervalMs))]);
    await site.stop();
  }
  printSeries('Idle workers', 'worker', toSeries(rows));
};

const measureLoad = async (): Promise<void> => {
  const site = new CapacitySite(50);
  await site.start();
  const tasks: [number, Readonly<Record<string, number>>][] = [];
  let running = 0;
  for (const size of taskSizes) {
    await site.fill(size - running);
    running = size;
    await sleep(settleMs);
    tasks.push([size, await measureProcesses(site, () => sleep(intervalMs))]);
  }
  printSeries('Running tasks on 50 workers', 'task', toSeries(tasks));
  await site.stop();
  const rates: [number, Readonly<Record<string, number>>][] = [];
  for (const rate of rateSizes) {
    const loaded = new CapacitySite(50);
    await loaded.start();
    await sleep(settleMs);
    const load = (): Promise<unknown> => loaded.submitSteadily(rate, intervalMs);
    rates.push([rate, await measureProcesses(loaded, load)]);
    await loaded.stop();
  }
  printSeries('Batch requests on 50 workers', 'request a second', toSeries(rates));
};

const measureCallers = async (): Promise<void> => {
  const rows: [number, Readonly<Record<string, number>>][] = [];
  for (const callers of callerSizes) {
    const site = new CapacitySite(50);
    await site.start();
    await sleep(settleMs);
    const waiting = site.holdCallers(callers, intervalMs / 1000 + settleMs / 1000);
    await sleep(settleMs);
    rows.push([callers, await measureProcesses(site, () => sleep(intervalMs))]);
    await waiting;
    await site.stop();
  }
  printSeries('Waiting callers', 'caller', toSeries(rows));
};

const parts: Readonly<Record<string, () => Promise<void>>> = {
  workers: measureWorkers,
  load: measureLoad,
  callers: measureCallers,
};

/**
 * Measures how the use of each daemon grows with workers, running tasks, requests a second and waiting
 * callers, and prints slopes with the error of the fit.
 *
 * @param names - parts to measure: `workers`, `load`, `callers`; all if empty
 */
export const measureCapacity = async (names: readonly string[]): Promise<void> => {
  for (const [name, measure] of Object.entries(parts)) {
    if (names.length === 0 || names.includes(name)) await measure();
  }
};
