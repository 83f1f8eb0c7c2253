import { periods } from '@toucanline/core';
import { sleep } from '@toucanline/testkit';
import { CapacitySite } from './CapacitySite.js';
import { fitLine } from './fitLine.js';

/** Measured interval: a multiple of the poll period, so that each worker is polled equally often. */
const intervalMs = 2 * periods.workerPollMs;
/** Longer than a renewal, so that starts before the measured interval are reported before it begins. */
const settleMs = 6000;
const workerCounts = [25, 50, 100, 200] as const;
const taskCounts = [0, 500, 1000, 2000] as const;
const requestRates = [10, 20, 40, 80] as const;
const callerCounts = [0, 100, 200, 400] as const;
const dataCentreCounts = [1, 2, 4, 8] as const;
const teamCounts = [10, 60, 120, 230] as const;
const shardCounts = [1, 2, 4, 8] as const;
/** Peak rate of requests per second for one scheduler at the target site size. */
const peakRate = 4;

/** Measured values by name of the quantity. */
type Values = Readonly<Record<string, number>>;

/** A site size with the values measured at it. */
type Row = readonly [number, Values];

const print = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

const printRows = (title: string, unit: string, rows: readonly Row[]): void => {
  print(`\n## ${title} (per ${unit})`);
  const names = new Set(rows.flatMap(([, values]) => Object.keys(values)));
  for (const name of names) {
    const points = rows.map(([size, values]) => [size, values[name] ?? 0] as const);
    const { slope, intercept, error } = fitLine(points);
    const listed = points.map(([x, y]) => `${x}:${y.toPrecision(4)}`).join('  ');
    const line = `slope ${slope.toPrecision(3)}  at zero ${intercept.toPrecision(3)}`;
    print(`${name.padEnd(34)} ${line}  fit error ${(error * 100).toFixed(0)}%   [${listed}]`);
  }
};

const waitInterval = (): Promise<void> => sleep(intervalMs);

const waitToSettle = (): Promise<void> => sleep(settleMs);

const measureSite = async (
  options: ConstructorParameters<typeof CapacitySite>[0],
  prepare: (site: CapacitySite) => Promise<unknown>,
  load: (site: CapacitySite) => Promise<unknown>,
): Promise<Values> => {
  const site = new CapacitySite(options);
  await site.start();
  try {
    await prepare(site);
    await sleep(settleMs);
    return await site.measure(() => load(site));
  } finally {
    await site.stop();
  }
};

const measureWorkers = async (): Promise<void> => {
  const rows: Row[] = [];
  for (const workers of workerCounts) {
    rows.push([
      workers,
      await measureSite({ workersPerDataCentre: workers }, waitToSettle, waitInterval),
    ]);
  }
  printRows('Idle workers', 'worker', rows);
};

const measureTasks = async (): Promise<void> => {
  const rows: Row[] = [];
  for (const tasks of taskCounts) {
    const fill = (site: CapacitySite): Promise<void> => site.startServiceTasks(tasks);
    rows.push([tasks, await measureSite({ workersPerDataCentre: 50 }, fill, waitInterval)]);
  }
  printRows('Running tasks on 50 workers', 'task', rows);
};

const measureLoad = async (): Promise<void> => {
  const rows: Row[] = [];
  for (const rate of requestRates) {
    const load = (site: CapacitySite): Promise<number> => site.submitAtRate(rate, intervalMs);
    rows.push([rate, await measureSite({ workersPerDataCentre: 50 }, waitToSettle, load)]);
  }
  printRows('Batch requests on 50 workers', 'request a second', rows);
};

const measureCallers = async (): Promise<void> => {
  const rows: Row[] = [];
  for (const callers of callerCounts) {
    const waitSeconds = (3 * settleMs + intervalMs) / 1000;
    let waiting: Promise<void> | undefined;
    const openCalls = (site: CapacitySite): Promise<void> => {
      // Stopping the site closes calls that are still open, which rejects them.
      waiting = site.openWaitingCalls(callers, waitSeconds).catch(() => undefined);
      return sleep(settleMs);
    };
    rows.push([callers, await measureSite({ workersPerDataCentre: 50 }, openCalls, waitInterval)]);
    await waiting;
  }
  printRows('Waiting callers', 'caller', rows);
};

const measurePeers = async (): Promise<void> => {
  for (const rate of [0, peakRate]) {
    const rows: Row[] = [];
    for (const dataCentres of dataCentreCounts) {
      const load = (site: CapacitySite): Promise<unknown> =>
        rate === 0 ? waitInterval() : site.submitAtRate(rate * dataCentres, intervalMs);
      const options = { dataCentres, workersPerDataCentre: 4, teams: 12 };
      rows.push([dataCentres, await measureSite(options, waitToSettle, load)]);
    }
    const title = `Data centres with a scheduler and an entry each, ${rate} requests/s each`;
    printRows(title, 'data centre', rows);
  }
};

const measureTeams = async (): Promise<void> => {
  for (const rate of [0, peakRate]) {
    const rows: Row[] = [];
    for (const teams of teamCounts) {
      const load = (site: CapacitySite): Promise<unknown> =>
        rate === 0 ? waitInterval() : site.submitAtRate(rate * 2, intervalMs);
      const options = { dataCentres: 2, workersPerDataCentre: 10, teams };
      const prepare = (site: CapacitySite): Promise<void> => site.startTeamServices();
      rows.push([teams, await measureSite(options, prepare, load)]);
    }
    printRows(`Teams with a service each, two peers, ${rate} requests/s each`, 'team', rows);
  }
};

const measureShards = async (): Promise<void> => {
  const rows: Row[] = [];
  for (const shardsPerDataCentre of shardCounts) {
    const options = { shardsPerDataCentre, workersPerDataCentre: 48 };
    rows.push([shardsPerDataCentre, await measureSite(options, waitToSettle, waitInterval)]);
  }
  printRows('Shards of one scheduler, 48 workers', 'shard', rows);
};

const measurements: Readonly<Record<string, () => Promise<void>>> = {
  workers: measureWorkers,
  tasks: measureTasks,
  load: measureLoad,
  callers: measureCallers,
  peers: measurePeers,
  teams: measureTeams,
  shards: measureShards,
};

/**
 * Measures how the resource use of each daemon grows with the size of the site, and prints the slope and the
 * error of a linear fit for each quantity. Traffic is the bytes on TCP sockets; bytes of the log on standard
 * output are counted separately.
 *
 * @param names - measurements to run, such as `workers` or `peers`; all if empty
 */
export const measureCapacity = async (names: readonly string[]): Promise<void> => {
  for (const [name, measure] of Object.entries(measurements)) {
    if (names.length === 0 || names.includes(name)) await measure();
  }
};
