import { readdirSync, readFileSync } from 'node:fs';

/** Highest use of memory and descriptors by a process, from the files of the kernel. */
export class ProcessUsage {
  readonly #pid: number;
  #maxDescriptors = 0;

  /** @param pid - id of the process */
  public constructor(pid: number) {
    this.#pid = pid;
  }

  /** Highest number of open descriptors in all samples. */
  public get maxDescriptors(): number {
    return this.#maxDescriptors;
  }

  /** Counts the open descriptors of the process, if it still exists. */
  public sample(): void {
    try {
      const { length } = readdirSync(`/proc/${this.#pid}/fd`);
      this.#maxDescriptors = Math.max(this.#maxDescriptors, length);
    } catch {
      // The process has ended.
    }
  }

  /**
   * Reads the highest resident memory since the start of the process.
   *
   * @returns memory in MB; infinite if the process has ended
   */
  public readPeakMemoryMb(): number {
    try {
      const status = readFileSync(`/proc/${this.#pid}/status`, 'utf8');
      return Number(/VmHWM:\s+(\d+) kB/.exec(status)?.[1] ?? Infinity) / 1024;
    } catch {
      // The process has ended.
      return Infinity;
    }
  }
}
