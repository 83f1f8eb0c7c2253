import type { Worker } from '@toucanline/jobs';
import { computeReportPause } from './computeReportPause.js';
import type { DriverContext } from './DriverContext.js';
import { hostTimes } from './hostTimes.js';
import { WorkerDriver } from './WorkerDriver.js';

/** The drivers of all workers of a leader. */
export class DriverSet {
  readonly #context: DriverContext;
  readonly #drivers = new Map<Worker, WorkerDriver>();
  #reportPauseMs: number = hostTimes.reportPauseMs;

  /** @param context - what the drivers share, but for the pause between reports */
  public constructor(context: Omit<DriverContext, 'reportPauseMs'>) {
    this.#context = { ...context, reportPauseMs: () => this.#reportPauseMs };
  }

  /** @param worker - worker that is to be surveyed and kept an eye on */
  public add(worker: Worker): void {
    const driver = new WorkerDriver(worker, this.#context);
    this.#drivers.set(worker, driver);
    void driver.run();
  }

  /**
   * Finds the driver of a worker.
   *
   * @param worker - the worker
   * @returns its driver, unless the worker has ended
   */
  public find(worker: Worker): WorkerDriver | undefined {
    return this.#drivers.get(worker);
  }

  /**
   * Ends the drivers of workers that have ended, and sets the pause between reports of the others.
   *
   * @param workers - workers that may run something
   */
  public update(workers: readonly Worker[]): void {
    const alive = new Set(workers);
    for (const [worker, driver] of this.#drivers) {
      if (alive.has(worker)) continue;
      driver.stop();
      this.#drivers.delete(worker);
      this.#context.control.releaseAddress(worker.entry.address);
    }
    const busy = workers.filter(({ tasks }) => tasks.size > 0).length;
    this.#reportPauseMs = computeReportPause(busy);
  }

  /** Ends all rests: ends were written and can be acknowledged. */
  public wake(): void {
    for (const driver of this.#drivers.values()) driver.wake();
  }

  /** Ends all drivers. */
  public stop(): void {
    for (const driver of this.#drivers.values()) driver.stop();
  }
}
