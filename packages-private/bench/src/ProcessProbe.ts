import { readFileSync } from 'node:fs';

/** Clock ticks per second in which Linux reports CPU time in `/proc/PID/stat`. */
const ticksPerSecond = 100;

/** Cumulative resource use of a process at a point in time. */
interface ProcessSample {
  /** Monotonic time in milliseconds. */
  readonly atMs: number;
  /** User and system CPU time in seconds. */
  readonly cpuSeconds: number;
  /** Bytes read from and written to files and sockets. */
  readonly ioBytes: number;
}

/** Resource use of a process over an interval. */
interface ProcessUse {
  /** CPU time as a fraction of one core. */
  readonly cores: number;
  /** Resident memory at the end, in MB. */
  readonly residentMb: number;
  /** Bytes read and written per second. */
  readonly bytesPerSecond: number;
  /** Length of the interval in seconds. */
  readonly seconds: number;
}

/** Measures the resource use of a process with `/proc`. */
export class ProcessProbe {
  readonly #pid: number;
  #start: ProcessSample;

  /** @param pid - process id */
  public constructor(pid: number) {
    this.#pid = pid;
    this.#start = this.#sample();
  }

  /** Starts a new interval. */
  public reset(): void {
    this.#start = this.#sample();
  }

  /**
   * Measures the interval since the last reset.
   *
   * @returns the resource use
   */
  public measure(): ProcessUse {
    const end = this.#sample();
    const seconds = (end.atMs - this.#start.atMs) / 1000;
    return {
      cores: (end.cpuSeconds - this.#start.cpuSeconds) / seconds,
      residentMb: this.#readNumber('status', /VmRSS:\s+(\d+)/) / 1024,
      bytesPerSecond: (end.ioBytes - this.#start.ioBytes) / seconds,
      seconds,
    };
  }

  #sample(): ProcessSample {
    const fields = this.#read('stat').split(') ')[1]?.split(' ') ?? [];
    const ticks = Number(fields[11]) + Number(fields[12]);
    return {
      atMs: performance.now(),
      cpuSeconds: ticks / ticksPerSecond,
      ioBytes: this.#readNumber('io', /rchar: (\d+)/) + this.#readNumber('io', /wchar: (\d+)/),
    };
  }

  #readNumber(file: string, pattern: RegExp): number {
    return Number(pattern.exec(this.#read(file))?.[1] ?? 0);
  }

  #read(file: string): string {
    return readFileSync(`/proc/${this.#pid}/${file}`, 'utf8');
  }
}
