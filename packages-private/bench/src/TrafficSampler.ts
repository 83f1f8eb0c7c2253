import { existsSync, mkdtempSync, readFileSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { sleep } from '@toucanline/testkit';

const sampleTimeoutMs = 5000;
const pollMs = 10;

/** What a daemon counted since its start. */
interface TrafficSample {
  readonly samples: number;
  /** Bytes read and written by `to PORT` for dialled and `at PORT` for accepted connections. */
  readonly traffic: Readonly<Record<string, number>>;
  readonly logBytes: number;
  /** Memory of live objects after a collection. */
  readonly usedBytes: number;
  readonly rss: number;
}

/** Folder through which the daemons of the capacity benchmark hand their counters over. */
export class TrafficSampler {
  readonly #path = mkdtempSync(join(tmpdir(), 'toucanline-traffic-'));
  readonly #samples = new Map<number, number>();

  /** Makes daemons that are started from now on count their traffic. */
  public enable(): void {
    const script = fileURLToPath(new URL('./bin/countTraffic.js', import.meta.url));
    process.env.TOUCANLINE_TRAFFIC_FOLDER = this.#path;
    process.env.NODE_OPTIONS = `--import ${script}`;
  }

  /** Removes the folder; daemons that are started from now on count nothing. */
  public dispose(): void {
    delete process.env.NODE_OPTIONS;
    delete process.env.TOUCANLINE_TRAFFIC_FOLDER;
    rmSync(this.#path, { recursive: true, force: true });
  }

  /**
   * Asks a daemon for its counters.
   *
   * @param pid - process id
   * @returns the counters
   * @throws Error if the daemon does not write them in time
   */
  public async sample(pid: number): Promise<TrafficSample> {
    const file = join(this.#path, `${pid}.json`);
    const next = (this.#samples.get(pid) ?? 0) + 1;
    this.#samples.set(pid, next);
    process.kill(pid, 'SIGUSR2');
    const endsAt = performance.now() + sampleTimeoutMs;
    while (performance.now() < endsAt) {
      if (existsSync(file)) {
        const sample = JSON.parse(readFileSync(file, 'utf8')) as TrafficSample;
        if (sample.samples >= next) return sample;
      }
      await sleep(pollMs);
    }
    throw new Error(`process ${pid} does not tell its counters`);
  }
}
