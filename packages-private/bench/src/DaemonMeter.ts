import { ProcessProbe } from './ProcessProbe.js';
import type { TrafficSampler } from './TrafficSampler.js';

const bytesPerMb = 1024 * 1024;

/** Resource use of one daemon over an interval, by name of the quantity and its unit. */
type DaemonUse = Readonly<Record<string, number>>;

/** Measures CPU time, memory, traffic per peer and log volume of one daemon. */
export class DaemonMeter {
  readonly #pid: number;
  readonly #sampler: TrafficSampler;
  readonly #classify: (connection: string) => string;
  readonly #probe: ProcessProbe;
  #before: Awaited<ReturnType<TrafficSampler['sample']>> | undefined;

  /**
   * @param pid - process id
   * @param sampler - reads the counters of the daemon
   * @param classify - returns the name of the peer of a connection
   */
  public constructor(
    pid: number,
    sampler: TrafficSampler,
    classify: (connection: string) => string,
  ) {
    this.#pid = pid;
    this.#sampler = sampler;
    this.#classify = classify;
    this.#probe = new ProcessProbe(pid);
  }

  /** Starts the measured interval. */
  public async start(): Promise<void> {
    this.#before = await this.#sampler.sample(this.#pid);
    this.#probe.reset();
  }

  /**
   * Ends the measured interval.
   *
   * @returns CPU time in percent of a core, memory in MB, traffic and log in bytes per second
   */
  public async end(): Promise<DaemonUse> {
    const { cores, seconds } = this.#probe.measure();
    const after = await this.#sampler.sample(this.#pid);
    const before = this.#before;
    const traffic: Record<string, number> = {};
    for (const [connection, bytes] of Object.entries(after.traffic)) {
      const name = `${this.#classify(connection)} (B/s)`;
      const bytesPerSecond = (bytes - (before?.traffic[connection] ?? 0)) / seconds;
      traffic[name] = (traffic[name] ?? 0) + bytesPerSecond;
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
