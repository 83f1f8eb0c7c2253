import { ChaosRandom } from './ChaosRandom.js';
import { isHostReady } from './isHostReady.js';
import { PlatformExitMonitor } from './PlatformExitMonitor.js';
import { PlatformRunMonitor } from './PlatformRunMonitor.js';
import { PlatformSite } from './PlatformSite.js';
import { PlatformSoakCallers } from './PlatformSoakCallers.js';
import { PlatformSoakFaults } from './PlatformSoakFaults.js';
import { waitUntil } from './waitUntil.js';

const dataCentres = ['dc1', 'dc2'] as const;
/** Bound for the start of the hosts and for the end of all jobs after the faults, in milliseconds. */
const settleMs = 90_000;

/** Result of a run. */
interface SoakResult {
  /** Number of answers by call and status. */
  readonly outcomes: ReadonlyMap<string, number>;
  /** Number of runs that were started on workers. */
  readonly runCount: number;
  /** Violated invariants, one sentence each. */
  readonly violations: readonly string[];
  /** Folder with the output of the hosts. */
  readonly folder: string;
}

/** A run of real hosts on fakes of the users' platform, with callers and overlapping faults from one seed. */
export class PlatformSoak {
  readonly #seed: number;
  readonly #durationMs: number;
  readonly #hostCount: number | undefined;
  readonly #print: (line: string) => void;

  /**
   * @param seed - determines the site, the load and the faults, but not their interleaving with the hosts
   * @param durationMs - time during which faults are started, in milliseconds
   * @param print - prints a line of output
   * @param hostCount - number of hosts; 2 to 6 by the seed if undefined
   */
  public constructor(
    seed: number,
    durationMs: number,
    print: (line: string) => void,
    hostCount?: number,
  ) {
    this.#seed = seed;
    this.#durationMs = durationMs;
    this.#print = print;
    this.#hostCount = hostCount;
  }

  /**
   * Runs the callers under faults and checks the invariants.
   *
   * @returns answers and violations
   */
  public async run(): Promise<SoakResult> {
    const monitor = new PlatformRunMonitor();
    const exits = new PlatformExitMonitor();
    const site = new PlatformSite({
      dataCentres,
      hostDataCentres: dataCentres,
      monitor,
      keepsOutput: true,
    });
    const random = new ChaosRandom(this.#seed);
    const hostCount = this.#hostCount ?? 2 + random.drawInteger(5);
    const workerCount = 3 + random.drawInteger(6);
    const startedAt = performance.now();
    const print = (line: string): void => {
      this.#print(`${((performance.now() - startedAt) / 1000).toFixed(3).padStart(7)} s ${line}`);
    };
    print(
      `seed ${this.#seed}: ${hostCount} hosts, ${workerCount} workers, ${site.folder}, ${new Date().toISOString()}`,
    );
    const callers = new PlatformSoakCallers(site, monitor, random, this.#seed);
    const faults = new PlatformSoakFaults(site, exits, new ChaosRandom(this.#seed + 1), print);
    try {
      await site.start(hostCount, workerCount);
      for (const host of site.hosts) exits.watch(host.name, host.process);
      print('callers and faults start');
      callers.start();
      await faults.run(this.#durationMs);
      print('faults have ended');
      await callers.stop();
      await waitUntil(() => this.#areReady(site), settleMs, 'all hosts are ready after the faults');
      await callers.awaitJobs(settleMs);
      print('callers have ended');
    } finally {
      exits.stop();
      site.stop();
    }
    return {
      outcomes: callers.outcomes,
      runCount: monitor.runCount,
      violations: [...monitor.violations, ...exits.violations, ...callers.violations],
      folder: site.folder,
    };
  }

  async #areReady(site: PlatformSite): Promise<boolean> {
    return (await Promise.all(site.hosts.map((host) => isHostReady(host.readinessAddress)))).every(
      Boolean,
    );
  }
}
