import { Caller, Site, sleep } from '@toucanline/testkit';
import { build, type Histogram } from 'hdr-histogram-js';
import { Benchmark } from './Benchmark.js';
import { ProcessProbe } from './ProcessProbe.js';
import { SeededRandom } from './SeededRandom.js';

const durationMs = 30_000;
const dataCentres = ['dc1', 'dc2', 'dc3', 'dc4'];
const smallCapacity = { processors: 16, memoryMb: 65_536, accelerators: 0 };
const largeCapacity = { processors: 64, memoryMb: 131_072, accelerators: 8 };
/** Requests per second of each team; a few teams submit most of the load. */
const rates: Readonly<Record<string, number>> = { a: 12, b: 8, c: 2, d: 2, e: 1, f: 1 };

const document = [
  'schema = 1',
  ...dataCentres.map((name) => `[shards.${name.replace('dc', 's')}]\ndataCentre = "${name}"`),
  ...Object.keys(rates).map((team) => `[teams.${team}]\nshare = 1`),
  '[teams.a.limit]\nprocessors = 300\nmemoryMb = 2000000\naccelerators = 80',
  '[queues.renders]\nkind = "batch"\nidempotent = true',
  '[queues.banners]\nkind = "batch"\nidempotent = false',
  '[queues.flyovers]\nkind = "gang"\nidempotent = true',
].join('\n');

/** A kind of request and its fraction of all requests. */
interface RequestShape {
  readonly queue: string;
  readonly weight: number;
  readonly tasks: number;
  readonly accelerators: number;
  readonly runMs: number;
}

const shapes: readonly RequestShape[] = [
  { queue: 'renders', weight: 0.7, tasks: 1, accelerators: 0, runMs: 1500 },
  { queue: 'banners', weight: 0.2, tasks: 1, accelerators: 0, runMs: 300 },
  { queue: 'flyovers', weight: 0.1, tasks: 4, accelerators: 1, runMs: 2000 },
];

/**
 * Measures waiting times and the resource use of schedulers and entries on a whole site with real
 * processes. The site resembles that of the weather graphics users: four data centres, about 25 small and
 * 10 large workers, six teams.
 */
export class SiteBenchmark extends Benchmark {
  readonly #waits = new Map<string, Histogram>();
  #answered = 0;
  #unsuccessful = 0;

  /** {@inheritDoc Benchmark.name} */
  public override get name(): string {
    return 'site';
  }

  /** {@inheritDoc Benchmark.run} */
  public override async run(seed: number, print: (line: string) => void): Promise<boolean> {
    const random = new SeededRandom(seed);
    const site = new Site({
      document,
      dataCentres,
      entriesPerDataCentre: 1,
      schedulersPerDataCentre: 1,
      workersPerDataCentre: 6,
      workerCapacity: smallCapacity,
      teams: Object.keys(rates),
    });
    await site.start();
    for (let index = 0; index < 10; index += 1) {
      const dataCentre = dataCentres[index % dataCentres.length] ?? 'dc1';
      await site.addWorker(dataCentre, `large${index}`, `rack${index}`, largeCapacity);
    }
    await sleep(3000);
    const daemons = [...site.schedulers, ...site.entries];
    const probes = daemons.map((daemon) => new ProcessProbe(daemon.pid));
    const callsBefore = site.store.callCount;
    const loads = Object.entries(rates).map(([team, rate]) =>
      this.#generateLoad(site, team, rate, random),
    );
    await Promise.all(loads);
    const seconds = durationMs / 1000;
    for (const [name, histogram] of [...this.#waits].sort()) {
      const [p50, p99, p999] = [50, 99, 99.9].map((rank) => histogram.getValueAtPercentile(rank));
      print(`${name.padEnd(16)} wait p50 ${p50} ms, p99 ${p99} ms, p99.9 ${p999} ms`);
    }
    print(`answered ${this.#answered}, other outcomes ${this.#unsuccessful}`);
    const processUses = probes.map((probe) => probe.measure());
    daemons.forEach(({ settings }, index) => {
      const use = processUses[index];
      if (use === undefined) return;
      print(
        `${settings.process.padEnd(10)} ${(use.cores * 100).toFixed(1)}% of a core, ` +
          `${use.residentMb.toFixed(0)} MB, ${(use.bytesPerSecond / 1024).toFixed(1)} KB/s`,
      );
    });
    const calls = site.store.callCount - callsBefore;
    print(
      `store calls ${(calls / seconds).toFixed(1)}/s, ${(calls / this.#answered).toFixed(2)} per answer`,
    );
    print(`violations ${site.monitor.violations.length}`);
    const isClean = site.monitor.violations.length === 0 && this.#unsuccessful === 0;
    await site.stop();
    return isClean;
  }

  async #generateLoad(site: Site, team: string, rate: number, random: SeededRandom): Promise<void> {
    const endsAt = performance.now() + durationMs;
    const submissions: Promise<void>[] = [];
    while (performance.now() < endsAt) {
      const entry = random.pick(site.entries);
      submissions.push(this.#submit(new Caller(() => entry.url, `key-${team}`), team, random));
      await sleep((-Math.log(1 - random.next()) * 1000) / rate);
    }
    await Promise.all(submissions);
  }

  async #submit(caller: Caller, team: string, random: SeededRandom): Promise<void> {
    const draw = random.next();
    let sum = 0;
    const shape = shapes.find(({ weight }) => (sum += weight) > draw) ?? shapes[0];
    if (shape === undefined) return;
    const { queue, tasks, accelerators, runMs } = shape;
    // Actual run times differ from the declared ones by up to a factor of two in either direction.
    const actualMs = runMs * 2 ** (random.next() * 2 - 1);
    const size = { processors: 2 + Math.floor(random.next() * 3), memoryMb: 4096, accelerators };
    const sentAt = performance.now();
    const { view } = await caller.submit(
      queue,
      { size, tasks, runTimeSeconds: runMs / 1000, command: `sleep ${actualMs}; echo ok` },
      { wait: 30 },
    );
    if (view.state !== 'succeeded') {
      this.#unsuccessful += 1;
      return;
    }
    this.#answered += 1;
    const waitMs = Math.max(0, performance.now() - sentAt - actualMs);
    this.#recordWait(queue, waitMs);
    this.#recordWait(`team ${team}`, waitMs);
  }

  #recordWait(name: string, waitMs: number): void {
    const histogram = this.#waits.get(name) ?? build();
    this.#waits.set(name, histogram);
    histogram.recordValue(Math.round(waitMs));
  }
}
