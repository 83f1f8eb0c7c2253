import { ProcessProbe } from './ProcessProbe.js';
import type { TrafficSampler } from './TrafficSampler.js';

const bytesPerMb = 1024 * 1024;

/** Use of one daemon over an interval, by name of the quantity. */
type DaemonUse = Readonly<Record<string, number>>;

/** Measures CPU, memory, traffic by partner and log of one daemon. */
export class DaemonMeter {
  readonly #pid: number;
  readonly #sampler: TrafficSampler;
  readonly #classify: (connection: string) => string;
  readonly #probe: ProcessProbe;
  #before: Awaited<ReturnType<TrafficSampler['sample']>> | undefined;

  /**
   * @param pid - process id
   * @param folder - where the daemon writes its counters
   * @param classify - names the partner of a connection
   */
  public constructor(
    pid: number,
    folder: TrafficSampler,
    classify: (connection: string) => string,
  ) {
    this.#pid = pid;
    this.#sampler = folder;
    this.#classify = classify;
    this.#probe = new ProcessProbe(pid);
  }

  /** Starts the interval. */
  public async start(): Promise<void> {
    this.#before = await this.#sampler.sample(this.#pid);
    this.#probe.reset();
  }

  /**
   * Ends the interval.
   *
   * @returns the use: fraction of a core, MB, bytes per second
   */
  public async end(): Promise<DaemonUse> {
    const { cores, seconds } = this.#probe.measure();
    const after = await this.#sampler.sample(this.#pid);
    const before = this.#before;
    const traffic: Record<string, number> = {};
    for (const [connection, bytes] of Object.entries(after.traffic)) {
      const name = `${this.#classify(connection)} (B/s)`;
      const added = (bytes - (before?.traffic[connection] ?? 0)) / seconds;
      traffic[name] = (traffic[name] ?? 0) + added;
    }
    return {
      'CPU (% of a core)': cores * 100,
      'live memory (MB)': after.usedBytes / bytesPerMb,
      'resident (MB)': after.rss / bytesPerMb,
      ...traffic,
      'log (B/s)': (after.logBytes - (before?.logBytes ?? 0)) / seconds,
    };
  }
}
