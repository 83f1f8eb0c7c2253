import { Caller, Site, sleep, type DaemonProcess } from '@toucanline/testkit';
import { DaemonMeter } from './DaemonMeter.js';
import { TrafficSampler } from './TrafficSampler.js';

const workerCapacity = { processors: 64, memoryMb: 131_072, accelerators: 8 };
const size = { processors: 1, memoryMb: 1024, accelerators: 0 };

/** Numbers of data centres, shards, workers and teams of a site; omitted numbers are 1. */
interface CapacitySize {
  readonly dataCentres?: number;
  readonly shardsPerDataCentre?: number;
  readonly workersPerDataCentre: number;
  readonly teams?: number;
}

/** Measured values by name of the quantity. */
type Values = Readonly<Record<string, number>>;

const readPort = (address: string): string => address.split(':').at(-1) ?? '';

const listNames = (prefix: string, count: number): readonly string[] =>
  Array.from({ length: count }, (_, index) => `${prefix}${index + 1}`);

const averageByRole = (uses: readonly Values[], role: string): Values => {
  const names = [...new Set(uses.flatMap((use) => Object.keys(use)))];
  const sum = (name: string): number => uses.reduce((total, use) => total + (use[name] ?? 0), 0);
  return Object.fromEntries(names.map((name) => [`${role} ${name}`, sum(name) / uses.length]));
};

/**
 * Site of real processes on loopback with one scheduler and one entry per data centre, for capacity
 * measurements.
 */
export class CapacitySite {
  readonly #site: Site;
  readonly #teams: readonly string[];
  readonly #callers: readonly Caller[];
  readonly #sampler = new TrafficSampler();

  /** @param options - numbers of data centres, shards, workers and teams */
  public constructor(options: CapacitySize) {
    const dataCentres = listNames('dc', options.dataCentres ?? 1);
    const shards = listNames('', options.shardsPerDataCentre ?? 1);
    this.#teams = listNames('t', options.teams ?? 1);
    this.#site = new Site({
      document: [
        'schema = 1',
        ...dataCentres.flatMap((name) =>
          shards.map((shard) => `[shards.${name}s${shard}]\ndataCentre = "${name}"`),
        ),
        ...this.#teams.map((team) => `[teams.${team}]\nshare = 1`),
        '[queues.services]\nkind = "service"\nidempotent = true',
        '[queues.jobs]\nkind = "batch"\nidempotent = true',
      ].join('\n'),
      dataCentres,
      entriesPerDataCentre: 1,
      schedulersPerDataCentre: 1,
      workersPerDataCentre: options.workersPerDataCentre,
      workerCapacity: workerCapacity,
      teams: this.#teams,
    });
    this.#callers = dataCentres.flatMap((_, index) =>
      this.#teams.map(
        (team) => new Caller(() => this.#site.entries[index]?.url ?? '', `key-${team}`),
      ),
    );
  }

  /** Starts the site with counting of traffic enabled in its daemons. */
  public async start(): Promise<void> {
    this.#sampler.enable();
    await this.#site.start();
  }

  /** Stops the site and deletes the files with the counters. */
  public async stop(): Promise<void> {
    await this.#site.stop();
    this.#sampler.dispose();
  }

  /**
   * Measures the resource use of all schedulers and entries while a load runs.
   *
   * @param load - runs the load; the measurement ends when it resolves
   * @returns averages per role, and the store calls per second of the whole site
   */
  public async measure(load: () => Promise<unknown>): Promise<Values> {
    const schedulers = this.#site.schedulers.map((daemon) => this.#createMeter(daemon));
    const entries = this.#site.entries.map((daemon) => this.#createMeter(daemon));
    await Promise.all([...schedulers, ...entries].map((meter) => meter.start()));
    const callsBefore = this.#site.store.callCount;
    const startedAt = performance.now();
    await load();
    const seconds = (performance.now() - startedAt) / 1000;
    const storeCalls = (this.#site.store.callCount - callsBefore) / seconds;
    return {
      ...averageByRole(await Promise.all(schedulers.map((meter) => meter.end())), 'scheduler'),
      ...averageByRole(await Promise.all(entries.map((meter) => meter.end())), 'entry'),
      'store calls (1/s)': storeCalls,
    };
  }

  /**
   * Starts long-running service tasks, several per request.
   *
   * @param tasks - number of tasks
   */
  public async startServiceTasks(tasks: number): Promise<void> {
    const tasksPerRequest = 50;
    for (let started = 0; started < tasks; started += tasksPerRequest) {
      const count = Math.min(tasksPerRequest, tasks - started);
      await this.#callers[0]?.submit('services', { size, tasks: count, command: 'serve' });
    }
  }

  /** Starts one long-running service task for each team in each data centre. */
  public async startTeamServices(): Promise<void> {
    const submissions = this.#callers.map((caller) =>
      caller.submit('services', { size, command: 'serve' }),
    );
    await Promise.all(submissions);
  }

  /**
   * Submits short batch requests at a constant rate, alternating between all entries and teams.
   *
   * @param perSecond - requests per second
   * @param durationMs - duration in milliseconds
   * @returns number of requests with status 200
   */
  public async submitAtRate(perSecond: number, durationMs: number): Promise<number> {
    const startedAt = performance.now();
    const answers: Promise<number>[] = [];
    for (let sent = 0; (sent / perSecond) * 1000 < durationMs; sent += 1) {
      const caller = this.#callers[sent % this.#callers.length];
      const answer = caller?.submit('jobs', { size, command: 'sleep 100; echo done' });
      if (answer !== undefined) answers.push(answer.then(({ status }) => status));
      await sleep(Math.max(0, startedAt + ((sent + 1) / perSecond) * 1000 - performance.now()));
    }
    return (await Promise.all(answers)).filter((status) => status === 200).length;
  }

  /**
   * Submits long batch requests whose calls stay open until the wait time is over.
   *
   * @param count - number of open calls
   * @param waitSeconds - wait time of each call in seconds
   * @returns resolves once all calls were answered
   */
  public async openWaitingCalls(count: number, waitSeconds: number): Promise<void> {
    const body = { size, command: 'sleep 60000' };
    const wait = { wait: waitSeconds };
    const openCall = (): unknown => this.#callers[0]?.submit('jobs', body, wait);
    await Promise.all(Array.from({ length: count }, openCall));
  }

  #createMeter(daemon: DaemonProcess): DaemonMeter {
    return new DaemonMeter(daemon.pid, this.#sampler, (connection) =>
      this.#classifyConnection(connection),
    );
  }

  /** Determines the peer of a connection from the port of the accepting side. */
  #classifyConnection(connection: string): string {
    const [direction, port] = connection.split(' ');
    if (port === readPort(this.#site.store.address)) return 'store';
    if (port === readPort(this.#site.hostList.address)) return 'host list';
    if (this.#site.workers.some(({ address }) => port === readPort(address))) return 'workers';
    const isLink = this.#site.schedulers.some(
      ({ settings }) => String(settings.link?.port) === port,
    );
    if (isLink) return 'links';
    return direction === 'at' ? 'callers' : 'other';
  }
}
