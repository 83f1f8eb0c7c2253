import type { Worker } from '@toucanline/jobs';
import { computeReportPause } from './computeReportPause.js';
import type { SessionContext } from './SessionContext.js';
import { hostLimits } from './hostLimits.js';
import { WorkerSession } from './WorkerSession.js';

/** The drivers of all workers of a leader. */
export class WorkerSessions {
  readonly #context: SessionContext;
  readonly #sessions = new Map<Worker, WorkerSession>();
  #reportPauseMs: number = hostLimits.minReportPauseMs;

  /** @param context - what the drivers share, but for the pause between reports */
  public constructor(context: Omit<SessionContext, 'reportPauseMs'>) {
    this.#context = { ...context, reportPauseMs: () => this.#reportPauseMs };
  }

  /** @param worker - worker that is to be surveyed and kept an eye on */
  public add(worker: Worker): void {
    const driver = new WorkerSession(worker, this.#context);
    this.#sessions.set(worker, driver);
    void driver.run();
  }

  /**
   * Finds the driver of a worker.
   *
   * @param worker - the worker
   * @returns its driver, unless the worker has ended
   */
  public find(worker: Worker): WorkerSession | undefined {
    return this.#sessions.get(worker);
  }

  /**
   * Ends the drivers of workers that have ended, and sets the pause between reports of the others.
   *
   * @param workers - workers that may run something
   */
  public update(workers: readonly Worker[]): void {
    const alive = new Set(workers);
    for (const [worker, driver] of this.#sessions) {
      if (alive.has(worker)) continue;
      driver.stop();
      this.#sessions.delete(worker);
      this.#context.control.releaseAddress(worker.entry.address);
    }
    const busy = workers.filter(({ tasks }) => tasks.size > 0).length;
    this.#reportPauseMs = computeReportPause(busy);
  }

  /** Ends all rests: ends were written and can be acknowledged. */
  public wakeAll(): void {
    for (const driver of this.#sessions.values()) driver.wake();
  }

  /** Ends all drivers. */
  public stopAll(): void {
    for (const driver of this.#sessions.values()) driver.stop();
  }
}
