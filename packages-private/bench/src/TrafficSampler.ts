import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sleep } from '@toucanline/testkit';

const sampleTimeoutMs = 5000;
const pollMs = 10;

/** Counters of a daemon since its start, and its current memory use. */
interface TrafficSample {
  /** Number of samples that the daemon has written, this one included. */
  readonly samples: number;
  /** Bytes read and written per remote port (`to PORT`, outgoing) or local port (`at PORT`, accepted). */
  readonly traffic: Readonly<Record<string, number>>;
  readonly logBytes: number;
  /** Heap and external memory after a garbage collection, in bytes. */
  readonly usedBytes: number;
  /** Resident memory in bytes. */
  readonly rss: number;
}

/** Reads traffic and memory counters of daemons, which each daemon writes to a file in a shared folder. */
export class TrafficSampler {
  readonly #path = mkdtempSync(join(tmpdir(), 'toucanline-traffic-'));
  readonly #samples = new Map<number, number>();

  /** Enables traffic counting in daemons that are started from now on. */
  public enable(): void {
    const script = fileURLToPath(new URL('./bin/countTraffic.js', import.meta.url));
    process.env.TOUCANLINE_TRAFFIC_FOLDER = this.#path;
    process.env.NODE_OPTIONS = `--import ${script}`;
  }

  /** Disables traffic counting for daemons that are started from now on, and removes the folder. */
  public dispose(): void {
    delete process.env.NODE_OPTIONS;
    delete process.env.TOUCANLINE_TRAFFIC_FOLDER;
    rmSync(this.#path, { recursive: true, force: true });
  }

  /**
   * Requests the counters of a daemon with SIGUSR2 and reads them.
   *
   * @param pid - process id
   * @returns the counters
   * @throws Error if the daemon does not write them within 5 seconds
   */
  public async sample(pid: number): Promise<TrafficSample> {
    const file = join(this.#path, `${pid}.json`);
    const next = (this.#samples.get(pid) ?? 0) + 1;
    this.#samples.set(pid, next);
    process.kill(pid, 'SIGUSR2');
    const deadlineAt = performance.now() + sampleTimeoutMs;
    while (performance.now() < deadlineAt) {
      if (existsSync(file)) {
        const sample = JSON.parse(readFileSync(file, 'utf8')) as TrafficSample;
        if (sample.samples >= next) return sample;
      }
      await sleep(pollMs);
    }
    throw new Error(`process ${pid} did not write its traffic counters in time`);
  }
}
